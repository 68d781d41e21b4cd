"""No target ever runs more requests at once than it has slots.

Simulates a small fleet with one cell: messages are lost, duplicated and late,
holders crash or hand over, targets leave and return, and zones are evacuated.
"""

from random import Random
from typing import ClassVar

import pytest
from attrs import define
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from jacinthcroft_decisions.internal.traffic import permit_issuer
from jacinthcroft_decisions.internal.traffic.concurrency_limit import (
    ConcurrencyLimit,
)
from jacinthcroft_decisions.internal.traffic.target_pool import TargetPool
from jacinthcroft_decisions.traffic import (
    Cell,
    CellHandover,
    HeldPermit,
    PermitPool,
    PermitReport,
    RunOutcome,
    TargetCondition,
)

from tests.cover.traffic.builders import (
    LONGEST_RUN_SECONDS,
    ZONES,
    make_ask,
    make_service,
    mark_leaving,
)

LEASE_SECONDS = 3.0
VMS = ('vm0', 'vm1', 'vm2')


@define
class RunningRequest:
    """A request that is running on a target."""

    vm: str
    held: HeldPermit
    ends_at: float


class SimulatedFleet:
    """Three VMs and one cell, with the requests that are really running."""

    pool_class: ClassVar[type[PermitPool]] = PermitPool

    def __init__(self, random: Random) -> None:
        """Starts the first holder."""
        self.random = random
        self.service = make_service(targets=2, cold_start_seconds=0.5)
        self.now: float = 0
        self.holder_count = 0
        self.started_runs = 0
        self.is_undisturbed = True
        self.lease_until = LEASE_SECONDS
        self.closed_targets: frozenset[str] = frozenset()
        self.running: list[RunningRequest] = []
        self.reports_in_flight: list[tuple[PermitReport, float]] = []
        self.waiting: dict[int, tuple[str, float]] = {}
        self.pools = {vm: self.pool_class(vm) for vm in VMS}
        self.cell = self.build_cell()

    def step(self) -> None:
        """Takes one random action, then grants permits and ends runs.

        Every new run and every grant is checked.
        """
        self.now += self.random.choice((0.001, 0.01, 0.05, 0.1))
        actions = (
            self.request_permit,
            self.start_run,
            self.finish_run,
            self.deliver_reports,
            self.change_targets,
            self.advance_clock,
            self.change_holder,
        )
        weights = (60, 70, 20, 40, 3, 5, 2)
        self.random.choices(actions, weights)[0]()
        self.grant_permits()
        self.end_due_runs()

    def draw_chance(self, percent: int) -> bool:
        return self.random.randrange(100) < percent

    def advance_clock(self) -> None:
        self.now += self.random.choice((0.5, 1))

    def request_permit(self) -> None:
        vm = self.random.choice(VMS)
        ticket = self.cell.enqueue(make_ask(vm, patience=0.5), self.now)
        if isinstance(ticket, int):
            self.waiting[ticket] = (vm, self.now)

    def grant_permits(self) -> None:
        if self.now >= self.lease_until:
            self.change_holder()
        self.lease_until = self.now + LEASE_SECONDS
        self.cell.tick(self.now)
        for granted in self.cell.grant_permits(self.now, self.lease_until):
            vm, asked_at = self.waiting.pop(granted.ticket)
            assert granted.permit.target not in self.closed_targets
            if self.draw_chance(90):
                self.pools[vm].add_permit(granted.permit, asked_at, self.now)
        for ticket in self.cell.drop_expired(self.now):
            self.waiting.pop(ticket)

    def start_run(self) -> None:
        vm = self.random.choice(VMS)
        held = self.pools[vm].take_permit(self.now)
        if held is None:
            return
        self.now += self.random.choice((0, 0, 0.2))
        if held.is_startable(self.now):
            ends_at = self.now + self.random.choice((0.2, LONGEST_RUN_SECONDS))
            self.started_runs += 1
            self.running.append(RunningRequest(vm, held, ends_at))
            self.check_slots_of(held.target)
        else:
            self.report_end(vm, held, RunOutcome.UNUSED)

    def finish_run(self) -> None:
        if self.running:
            index = self.random.randrange(len(self.running))
            run = self.running.pop(index)
            self.report_end(run.vm, run.held, RunOutcome.ANSWERED)

    def end_due_runs(self) -> None:
        due = [run for run in self.running if run.ends_at <= self.now]
        self.running = [run for run in self.running if run.ends_at > self.now]
        for run in due:
            self.report_end(run.vm, run.held, RunOutcome.ANSWERED)

    def report_end(
        self, vm: str, held: HeldPermit, outcome: RunOutcome
    ) -> None:
        self.pools[vm].finish_run(
            held.permit_id,
            outcome,
            latency=0.01,
            boot_id=None,
            is_draining=False,
            has_waiting_request=self.draw_chance(70),
            now=self.now,
        )

    def deliver_reports(self) -> None:
        for pool in self.pools.values():
            sent = pool.take_reports(self.now)
            self.reports_in_flight.extend((report, self.now) for report in sent)
        self.random.shuffle(self.reports_in_flight)
        first_delivered = self.random.randrange(len(self.reports_in_flight) + 1)
        for report, sent_at in self.reports_in_flight[first_delivered:]:
            for _ in range(self.random.choice((0, 1, 1, 1, 2))):
                self.deliver_report(report, sent_at)
        self.reports_in_flight = self.reports_in_flight[:first_delivered]

    def deliver_report(self, report: PermitReport, sent_at: float) -> None:
        renewal = self.cell.process_report(report, self.now)
        pool = self.pools[report.vm]
        if renewal is not None:
            pool.apply_renewals((renewal,), (), sent_at, self.now)
        elif not report.is_returned:
            pool.apply_renewals((), (report.permit_id,), sent_at, self.now)

    def change_targets(self) -> None:
        self.is_undisturbed = False
        leaving = frozenset(self.random.sample(('t0', 't1'), 1))
        zones_out = frozenset(self.random.sample(ZONES, 1))
        if self.draw_chance(50):
            zones_out = frozenset()
            leaving = frozenset()
        self.closed_targets = leaving | frozenset(
            target.name
            for target in self.service.targets
            if target.zone in zones_out
        )
        service = mark_leaving(self.service, leaving)
        self.cell.reconfigure(service, zones_out, self.now)

    def change_holder(self) -> None:
        self.is_undisturbed = False
        is_planned = self.draw_chance(50) and self.now < self.lease_until
        handover = self.cell.hand_over(self.now) if is_planned else None
        if handover is None:
            self.now = max(self.now, self.lease_until)
        self.closed_targets = frozenset()
        self.waiting.clear()
        self.cell = self.build_cell(handover)

    def check_slots_of(self, target: str) -> None:
        running = sum(run.held.target == target for run in self.running)
        limits = self.service.limits
        assert running <= limits.slots
        views = self.cell.view_targets(self.now)
        states = {view.name: view.state for view in views}
        if states[target] is TargetCondition.COLD and self.is_undisturbed:
            assert running <= limits.cold_slots

    def build_cell(self, handover: CellHandover | None = None) -> Cell:
        self.holder_count += 1
        return Cell.from_config(
            self.service,
            self.now,
            f'inc{self.holder_count}',
            self.random,
            handover=handover,
        )


@settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    phases=(Phase.generate,),
)
@given(st.randoms(use_true_random=True))
def check_slots(random: Random) -> None:
    fleet = SimulatedFleet(random)
    for _ in range(250):
        fleet.step()


def test_no_target_runs_more_requests_than_it_has_slots() -> None:
    check_slots()


def test_the_simulated_fleet_runs_requests() -> None:
    fleet = SimulatedFleet(Random(7))
    for _ in range(2000):
        fleet.step()
    assert fleet.started_runs > 40


def test_the_simulation_detects_slots_freed_when_the_window_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        permit_issuer, 'find_longest_deadline', lambda service: 0
    )
    with pytest.raises(AssertionError):
        check_slots()


class LatePool(PermitPool):
    """Faulty: uses permits after their window has ended."""

    def take_permit(self, now: float) -> HeldPermit | None:
        return super().take_permit(now - LEASE_SECONDS)


def test_the_simulation_detects_permits_used_after_their_window(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(SimulatedFleet, 'pool_class', LatePool)
    monkeypatch.setattr(HeldPermit, 'is_startable', lambda held, now: True)
    monkeypatch.setattr(LatePool, 'return_unusable', lambda pool, now: None)
    with pytest.raises(AssertionError):
        check_slots()


def test_the_simulation_detects_permits_for_leaving_targets(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        TargetPool,
        'is_accepting_work',
        lambda pool, name, now: not pool.targets[name].is_draining(now),
    )
    with pytest.raises(AssertionError):
        check_slots()


def test_the_simulation_detects_cold_targets_with_all_their_slots(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ConcurrencyLimit, 'allowed', lambda concurrency, now: 2)
    with pytest.raises(AssertionError):
        check_slots()
