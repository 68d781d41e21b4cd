"""Builders of services and asks, and a driver of a cell, for these tests."""

from random import Random

from attrs import evolve
from jacinthcroft_config import (
    Access,
    Address,
    Route,
    Service,
    Target,
    TargetLimits,
    TargetState,
    Team,
)
from jacinthcroft_decisions.traffic import (
    Cell,
    CellEvent,
    Permit,
    PermitReport,
    PermitRequest,
    RunOutcome,
    TargetCondition,
)

LONGEST_RUN_SECONDS = 2.0
# A new holder may grant permits from this time on, in seconds.
FIRST_GRANT_AT = LONGEST_RUN_SECONDS + 0.1
NORMAL_LATENCY_SECONDS = 0.01
ZONES = ('z0', 'z1', 'z2')
# No target is in a zone of these VMs, so they prefer none of the targets.
VM_ZONES = ('va', 'vb', 'vc')


def make_team(rate: float = 50, burst: int = 100) -> Team:
    return Team('app', rate, burst, ())


def make_service(
    targets: int = 6,
    slots: int = 2,
    cold_slots: int = 1,
    floor: float = 0.5,
    cold_start_seconds: float = 5,
) -> Service:
    route = Route(
        name='read',
        methods=('GET',),
        path='/pots',
        access=Access.TEAMS,
        teams=('app',),
        is_idempotent=True,
        request_class='reads',
        deadline_ms=int(LONGEST_RUN_SECONDS * 1000),
    )
    return Service(
        name='history',
        limits=TargetLimits(
            slots=slots,
            cold_slots=cold_slots,
            cold_start_seconds=cold_start_seconds,
            connections=300,
            floor=floor,
        ),
        routes=(route,),
        teams=(make_team(),),
        targets=tuple(make_target(number) for number in range(targets)),
    )


def make_target(number: int) -> Target:
    return Target(
        name=f't{number}',
        address=Address('127.0.0.1', 9000 + number),
        zone=ZONES[number % len(ZONES)],
        state=TargetState.ACTIVE,
    )


def mark_leaving(service: Service, leaving: frozenset[str]) -> Service:
    targets = tuple(
        evolve(target, state=TargetState.LEAVING)
        if target.name in leaving
        else target
        for target in service.targets
    )
    return evolve(service, targets=targets)


def make_ask(
    vm: str = 'vm0',
    zone: str = 'z0',
    team: str = 'app',
    request_class: str = 'reads',
    patience: float = 1,
) -> PermitRequest:
    return PermitRequest('history', vm, zone, team, request_class, patience)


class CellDriver:
    """Runs requests through a cell, one at a time."""

    def __init__(self, service: Service, seed: int = 1) -> None:
        """Starts at the time from which the new holder may grant permits."""
        self.cell = Cell.from_config(service, 0, 'inc', Random(seed))
        self.now = FIRST_GRANT_AT
        self.request_count = 0
        self.events: list[CellEvent] = []
        self.used_targets: list[str] = []

    def run_request(
        self,
        outcomes: dict[str, RunOutcome],
        vm: str = 'vm0',
        zone: str = 'va',
        latency: float = NORMAL_LATENCY_SECONDS,
        latencies: dict[str, float] | None = None,
        boot_id: str | None = None,
    ) -> str | None:
        """Runs one request; returns its target, or None without a permit.

        Args:
            outcomes: The outcome by target; others answer.
            vm: The VM that asks for a permit.
            zone: The zone of that VM.
            latency: The latency of targets that are not in `latencies`.
            latencies: The latency by target.
            boot_id: The boot id that the answer carries.
        """
        self.now += 0.02
        self.cell.tick(self.now)
        self.cell.enqueue(make_ask(vm, zone), self.now)
        granted = self.cell.grant_permits(self.now, self.now + 3)
        if not granted:
            self.cell.drop_expired(self.now + 10)
            self.events.extend(self.cell.take_events())
            return None
        permit = granted[0].permit
        self.now += NORMAL_LATENCY_SECONDS
        outcome = outcomes.get(permit.target, RunOutcome.ANSWERED)
        target_latency = (latencies or {}).get(permit.target, latency)
        self.report_run(permit, vm, outcome, target_latency, boot_id)
        self.events.extend(self.cell.take_events())
        self.used_targets.append(permit.target)
        return permit.target

    def report_run(
        self,
        permit: Permit,
        vm: str,
        outcome: RunOutcome = RunOutcome.ANSWERED,
        latency: float = NORMAL_LATENCY_SECONDS,
        boot_id: str | None = None,
    ) -> None:
        """Reports a run and returns its permit."""
        report = PermitReport(
            permit_id=permit.id,
            cell=permit.cell,
            vm=vm,
            target=permit.target,
            outcome=outcome,
            latency=latency,
            is_returned=True,
            boot_id=boot_id,
            is_draining=False,
            run_number=1,
        )
        self.cell.process_report(report, self.now)

    def run_requests(
        self,
        count: int,
        outcomes: dict[str, RunOutcome] | None = None,
        latencies: dict[str, float] | None = None,
    ) -> list[str | None]:
        """Runs requests of six VMs in three zones in turn."""
        targets = []
        for _ in range(count):
            self.request_count += 1
            vm = f'vm{self.request_count % 6}'
            zone = VM_ZONES[self.request_count % len(VM_ZONES)]
            targets.append(
                self.run_request(outcomes or {}, vm, zone, latencies=latencies)
            )
        return targets

    def target_conditions(self) -> dict[str, TargetCondition]:
        """Returns the condition of each target."""
        views = self.cell.view_targets(self.now)
        return {view.name: view.state for view in views}
