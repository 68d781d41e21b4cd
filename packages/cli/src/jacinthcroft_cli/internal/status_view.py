"""Formats the status of a fleet as text tables."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator

from attrs import frozen

from jacinthcroft_cli.internal.operator_ports import Unreachable
from jacinthcroft_cli.internal.text_tables import Row, format_table
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

# A service and one of its targets or teams.
_RowKey = tuple[str, str]


@frozen
class UnreachableVm:
    """A VM that gave no usable response."""

    address: str
    reason: str


@frozen
class FleetStatus:
    """The reports of the queried VMs, and those that gave none."""

    vms: tuple[VmReport, ...]
    unreachable: tuple[UnreachableVm, ...]

    @classmethod
    def from_outcomes(
        cls,
        outcomes: Iterable[VmReport | Unreachable],
    ) -> 'FleetStatus':
        """Separates the reports from the VMs that gave none."""
        vms: list[VmReport] = []
        unreachable: list[UnreachableVm] = []
        for outcome in outcomes:
            if isinstance(outcome, VmReport):
                vms.append(outcome)
            else:
                vm = UnreachableVm(str(outcome.address), outcome.reason)
                unreachable.append(vm)
        return cls(tuple(vms), tuple(unreachable))


def format_status(status: FleetStatus) -> str:
    """Returns one table each for VMs, targets, teams and refusals.

    Empty tables are left out.
    """
    tables = (
        _format_rows(_VM_HEADING, _vm_rows(status)),
        _format_rows(_TARGET_HEADING, _target_rows(status)),
        _format_rows(_TEAM_HEADING, _team_rows(status)),
        _format_rows(_REFUSAL_HEADING, _refusal_rows(status)),
    )
    parts = [table for table in tables if table]
    parts.extend(
        f'UNREACHABLE {vm.address}: {vm.reason}' for vm in status.unreachable
    )
    return '\n\n'.join(parts)


def _format_rows(heading: Row, rows: Iterable[Row]) -> str:
    all_rows = list(rows)
    return format_table(heading, all_rows) if all_rows else ''


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
    """Yields a row for each target, with all states that VMs report."""
    reports_by_target: defaultdict[_RowKey, list[TargetReport]] = defaultdict(
        list
    )
    for vm in status.vms:
        for target in vm.targets:
            reports_by_target[(target.service, target.target)].append(target)
    for key, reports in sorted(reports_by_target.items()):
        states = sorted({report.state for report in reports})
        running = sum(report.running for report in reports)
        allowed = max(report.allowed for report in reports)
        yield (*key, '/'.join(states), running, allowed)


def _team_rows(status: FleetStatus) -> Iterator[Row]:
    answered: Counter[_RowKey] = Counter()
    refused: Counter[_RowKey] = Counter()
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
