"""The status of a fleet as tables for people."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator

from attrs import frozen

from jacinthcroft_cli.internal.operator_ports import Unreachable
from jacinthcroft_cli.internal.text_tables import Row, lay_out
from jacinthcroft_cli.internal.vm_reports import TargetReport, VmReport

_VM_HEADING = (
    'VM',
    'ZONE',
    'STATE',
    'VM LIST',
    'CONFIGURATION',
    'AGE',
    'FRESH',
    'LEASES',
    'PERMITS',
)
_TARGET_HEADING = ('SERVICE', 'TARGET', 'STATE', 'RUNNING', 'ALLOWED')
_TEAM_HEADING = ('SERVICE', 'TEAM', 'ANSWERED', 'REFUSED')
_REFUSAL_HEADING = ('REFUSAL', 'COUNT')

# A service, and one of its targets or teams.
_Key = tuple[str, str]


@frozen
class MissingVm:
    """A VM that gave no usable answer."""

    address: str
    reason: str


@frozen
class FleetStatus:
    """What the VMs that were asked have answered."""

    vms: tuple[VmReport, ...]
    unreachable: tuple[MissingVm, ...]

    @classmethod
    def from_outcomes(
        cls,
        outcomes: Iterable[VmReport | Unreachable],
    ) -> 'FleetStatus':
        """Parts the answers from the VMs that gave none."""
        vms: list[VmReport] = []
        unreachable: list[MissingVm] = []
        for outcome in outcomes:
            if isinstance(outcome, VmReport):
                vms.append(outcome)
            else:
                missing = MissingVm(str(outcome.address), outcome.reason)
                unreachable.append(missing)
        return cls(tuple(vms), tuple(unreachable))


def view_status(status: FleetStatus) -> str:
    """Returns a table each for VMs, targets, teams and refusals.

    A table without a row is left out.
    """
    tables = (
        _view(_VM_HEADING, _vm_rows(status)),
        _view(_TARGET_HEADING, _target_rows(status)),
        _view(_TEAM_HEADING, _team_rows(status)),
        _view(_REFUSAL_HEADING, _refusal_rows(status)),
    )
    parts = [table for table in tables if table]
    parts.extend(
        f'UNREACHABLE {missing.address}: {missing.reason}'
        for missing in status.unreachable
    )
    return '\n\n'.join(parts)


def _view(heading: Row, rows: Iterable[Row]) -> str:
    listed = list(rows)
    return lay_out(heading, listed) if listed else ''


def _vm_rows(status: FleetStatus) -> Iterator[Row]:
    for vm in status.vms:
        yield [
            vm.vm,
            vm.zone,
            vm.state,
            vm.list_revision,
            vm.configuration_revision,
            f'{vm.configuration_age_seconds:.1f} s',
            'yes' if vm.is_fresh else 'NO',
            vm.leases,
            vm.permits,
        ]


def _target_rows(status: FleetStatus) -> Iterator[Row]:
    """Yields a row for each target, with every state that a VM sees."""
    seen: defaultdict[_Key, list[TargetReport]] = defaultdict(list)
    for vm in status.vms:
        for target in vm.targets:
            seen[(target.service, target.target)].append(target)
    for key, reports in sorted(seen.items()):
        states = sorted({report.state for report in reports})
        running = sum(report.running for report in reports)
        allowed = max(report.allowed for report in reports)
        yield (*key, '/'.join(states), running, allowed)


def _team_rows(status: FleetStatus) -> Iterator[Row]:
    answered: Counter[_Key] = Counter()
    refused: Counter[_Key] = Counter()
    for vm in status.vms:
        for team in vm.teams:
            key = (team.service, team.team)
            answered[key] += team.answered
            refused[key] += team.refused
    for key in sorted(answered):
        yield (*key, answered[key], refused[key])


def _refusal_rows(status: FleetStatus) -> Iterator[Row]:
    counts: Counter[str] = Counter()
    for vm in status.vms:
        for refusal in vm.refusals:
            counts[refusal.reason] += refusal.count
    yield from sorted(counts.items())
