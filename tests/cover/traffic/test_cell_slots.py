"""No target gets more at once than it bears, whatever is lost or late.

A small fleet runs against one cell: messages are lost, doubled and late,
holders crash or hand over, targets leave and return, zones are taken out.
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
    PermitPurse,
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

LEASE = 3.0
VMS = ('vm0', 'vm1', 'vm2')


@define
class Running:
    """A request on a target, as the target sees it."""

    vm: str
    held: HeldPermit
    ends_at: float


class FleetRun:
    """Three VMs, one cell, and the truth about what runs where."""

    purse_class: ClassVar[type[PermitPurse]] = PermitPurse

    def __init__(self, random: Random) -> None:
        """Starts the first holder."""
        self.random = random
        self.service = make_service(targets=2, cold_start_seconds=0.5)
        self.now: float = 0
        self.holders = 0
        self.started = 0
        self.is_undisturbed = True
        self.lease_until = LEASE
        self.closed: frozenset[str] = frozenset()
        self.running: list[Running] = []
        self.mail: list[tuple[PermitReport, float]] = []
        self.waiting: dict[int, tuple[str, float]] = {}
        self.purses = {vm: self.purse_class(vm) for vm in VMS}
        self.cell = self.new_cell()

    def step(self) -> None:
        """Does one thing at random, then checks every target."""
        self.now += self.random.choice((0.001, 0.01, 0.05, 0.1))
        actions = (
            self.ask,
            self.start,
            self.finish,
            self.deliver_reports,
            self.change_targets,
            self.pause,
            self.change_holder,
        )
        weights = (60, 70, 20, 40, 3, 5, 2)
        self.random.choices(actions, weights)[0]()
        self.grant()
        self.end_overdue()

    def is_likely(self, percent: int) -> bool:
        return self.random.randrange(100) < percent

    def pause(self) -> None:
        self.now += self.random.choice((0.5, 1))

    def ask(self) -> None:
        vm = self.random.choice(VMS)
        ticket = self.cell.enqueue(make_ask(vm, patience=0.5), self.now)
        if isinstance(ticket, int):
            self.waiting[ticket] = (vm, self.now)

    def grant(self) -> None:
        if self.now >= self.lease_until:
            self.change_holder()
        self.lease_until = self.now + LEASE
        self.cell.tick(self.now)
        for granted in self.cell.grant_permits(self.now, self.lease_until):
            vm, asked_at = self.waiting.pop(granted.ticket)
            assert granted.permit.target not in self.closed
            if self.is_likely(90):
                self.purses[vm].add(granted.permit, asked_at, self.now)
        for ticket in self.cell.drop_expired(self.now):
            self.waiting.pop(ticket)

    def start(self) -> None:
        vm = self.random.choice(VMS)
        held = self.purses[vm].take(self.now)
        if held is None:
            return
        self.now += self.random.choice((0, 0, 0.2))
        if held.is_startable(self.now):
            ends_at = self.now + self.random.choice((0.2, LONGEST_RUN_SECONDS))
            self.started += 1
            self.running.append(Running(vm, held, ends_at))
            self.check(held.target)
        else:
            self.settle(vm, held, RunOutcome.UNUSED)

    def finish(self) -> None:
        if self.running:
            index = self.random.randrange(len(self.running))
            run = self.running.pop(index)
            self.settle(run.vm, run.held, RunOutcome.ANSWERED)

    def end_overdue(self) -> None:
        over = [run for run in self.running if run.ends_at <= self.now]
        self.running = [run for run in self.running if run.ends_at > self.now]
        for run in over:
            self.settle(run.vm, run.held, RunOutcome.ANSWERED)

    def settle(self, vm: str, held: HeldPermit, outcome: RunOutcome) -> None:
        self.purses[vm].finish(
            held.permit_id,
            outcome,
            latency=0.01,
            boot_id=None,
            is_draining=False,
            is_busy=self.is_likely(70),
            now=self.now,
        )

    def deliver_reports(self) -> None:
        for purse in self.purses.values():
            sent = purse.reports(self.now)
            self.mail.extend((report, self.now) for report in sent)
        self.random.shuffle(self.mail)
        late = self.random.randrange(len(self.mail) + 1)
        for report, sent_at in self.mail[late:]:
            for _ in range(self.random.choice((0, 1, 1, 1, 2))):
                self.deliver(report, sent_at)
        self.mail = self.mail[:late]

    def deliver(self, report: PermitReport, sent_at: float) -> None:
        renewal = self.cell.process_report(report, self.now)
        purse = self.purses[report.vm]
        if renewal is not None:
            purse.renew((renewal,), (), sent_at, self.now)
        elif not report.is_returned:
            purse.renew((), (report.permit_id,), sent_at, self.now)

    def change_targets(self) -> None:
        self.is_undisturbed = False
        leaving = frozenset(self.random.sample(('t0', 't1'), 1))
        zones_out = frozenset(self.random.sample(ZONES, 1))
        if self.is_likely(50):
            zones_out = frozenset()
            leaving = frozenset()
        self.closed = leaving | frozenset(
            target.name
            for target in self.service.targets
            if target.zone in zones_out
        )
        service = mark_leaving(self.service, leaving)
        self.cell.reconfigure(service, zones_out, self.now)

    def change_holder(self) -> None:
        self.is_undisturbed = False
        is_planned = self.is_likely(50) and self.now < self.lease_until
        handover = self.cell.hand_over(self.now) if is_planned else None
        if handover is None:
            self.now = max(self.now, self.lease_until)
        self.closed = frozenset()
        self.waiting.clear()
        self.cell = self.new_cell(handover)

    def check(self, target: str) -> None:
        running = sum(run.held.target == target for run in self.running)
        limits = self.service.limits
        assert running <= limits.slots
        views = self.cell.view_targets(self.now)
        states = {view.name: view.state for view in views}
        if states[target] is TargetCondition.COLD and self.is_undisturbed:
            assert running <= limits.cold_slots

    def new_cell(self, handover: CellHandover | None = None) -> Cell:
        self.holders += 1
        return Cell.from_config(
            self.service,
            self.now,
            f'inc{self.holders}',
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
    fleet = FleetRun(random)
    for _ in range(250):
        fleet.step()


def test_no_target_ever_runs_more_than_its_slots() -> None:
    check_slots()


def test_the_fleet_does_get_work_done() -> None:
    fleet = FleetRun(Random(7))
    for _ in range(2000):
        fleet.step()
    assert fleet.started > 40


def test_the_fleet_catches_a_slot_freed_at_the_end_of_its_window(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(permit_issuer, 'longest_deadline', lambda service: 0)
    with pytest.raises(AssertionError):
        check_slots()


class LatePurse(PermitPurse):
    """Broken: uses permits whose window is over."""

    def take(self, now: float) -> HeldPermit | None:
        return super().take(now - LEASE)


def test_the_fleet_catches_a_permit_used_after_its_window(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(FleetRun, 'purse_class', LatePurse)
    monkeypatch.setattr(HeldPermit, 'is_startable', lambda held, now: True)
    monkeypatch.setattr(LatePurse, 'expire', lambda purse, now: None)
    with pytest.raises(AssertionError):
        check_slots()


def test_the_fleet_catches_permits_for_targets_that_leave(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        TargetPool,
        'is_open',
        lambda pool, name, now: not pool.targets[name].is_draining(now),
    )
    with pytest.raises(AssertionError):
        check_slots()


def test_the_fleet_catches_a_cold_target_with_all_its_slots(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ConcurrencyLimit, 'allowed', lambda concurrency, now: 2)
    with pytest.raises(AssertionError):
        check_slots()
