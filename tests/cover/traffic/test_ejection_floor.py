"""Ejections never leave fewer targets in use than the floor requires."""

import math
from random import Random

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from jacinthcroft_decisions.internal.traffic.ejection import Ejector
from jacinthcroft_decisions.traffic import (
    Cell,
    EjectionWithheld,
    PermitReport,
    RunOutcome,
    TargetCondition,
    TargetEjected,
    TargetReadmitted,
)

from tests.cover.traffic.builders import (
    FIRST_GRANT_AT,
    ZONES,
    CellDriver,
    make_ask,
    make_service,
    mark_leaving,
)

FAULTS = (RunOutcome.SERVER_ERROR, RunOutcome.RESET, RunOutcome.STALLED)
TARGETS = tuple(f't{number}' for number in range(6))


def assert_floor_holds(cell: Cell, floor: float, now: float) -> None:
    states = [view.state for view in cell.view_targets(now)]
    leaving = states.count(TargetCondition.LEAVING)
    active = len(states) - leaving
    in_use = active - states.count(TargetCondition.EJECTED)
    assert in_use >= math.ceil(floor * active)


@settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    phases=(Phase.generate,),
)
@given(
    floor=st.sampled_from((0, 0.3, 0.5, 1)),
    random=st.randoms(use_true_random=True),
)
def check_floor_in_random_runs(floor: float, random: Random) -> None:
    service = make_service(floor=floor)
    cell = Cell.from_config(service, 0, 'inc', random)
    now = FIRST_GRANT_AT
    for _ in range(200):
        now += random.choice((0.01, 0.01, 0.3, 3))
        cell.tick(now)
        if not random.randrange(30):
            leaving = frozenset(random.sample(TARGETS, random.randrange(5)))
            zones_out = random.sample(ZONES, random.randrange(2))
            cell.reconfigure(mark_leaving(service, leaving), zones_out, now)
        assert_floor_holds(cell, floor, now)
        vm = f'vm{random.randrange(6)}'
        cell.enqueue(make_ask(vm, zone=ZONES[int(vm[2:]) % 3]), now)
        for granted in cell.grant_permits(now, now + 3):
            report = PermitReport(
                permit_id=granted.permit.id,
                cell='history',
                vm=vm,
                target=granted.permit.target,
                outcome=random.choice((*FAULTS, RunOutcome.ANSWERED)),
                latency=1,
                is_returned=True,
                boot_id=None,
                is_draining=not random.randrange(50),
            )
            cell.process_report(report, now)
            assert_floor_holds(cell, floor, now)


def test_ejection_never_goes_below_the_floor() -> None:
    check_floor_in_random_runs()


def test_the_floor_check_catches_unbounded_ejection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Ejector, 'may_eject', lambda ejector: True)
    with pytest.raises(AssertionError):
        check_floor_in_random_runs()


def test_ejections_are_withheld_when_all_targets_fail() -> None:
    driver = CellDriver(make_service(floor=0.5))
    driver.run_requests(20)
    driver.run_requests(200, dict.fromkeys(TARGETS, RunOutcome.SERVER_ERROR))
    states = tuple(driver.target_conditions().values())
    assert states.count(TargetCondition.EJECTED) <= 3
    event_types = [type(event) for event in driver.events]
    assert EjectionWithheld in event_types


def test_ejected_targets_are_readmitted_when_fewer_are_active() -> None:
    service = make_service(floor=0.5)
    driver = CellDriver(service)
    driver.run_requests(40)
    driver.run_requests(80, {'t0': RunOutcome.RESET, 't1': RunOutcome.RESET})
    ejected = {
        event.target
        for event in driver.events
        if isinstance(event, TargetEjected)
    }
    assert ejected == {'t0', 't1'}
    leaving = mark_leaving(service, frozenset(('t2', 't3', 't4')))
    driver.cell.reconfigure(leaving, (), driver.now)
    assert_floor_holds(driver.cell, 0.5, driver.now)
    readmissions = [
        event
        for event in driver.cell.take_events()
        if isinstance(event, TargetReadmitted)
    ]
    assert [event.is_for_floor for event in readmissions] == [True]
