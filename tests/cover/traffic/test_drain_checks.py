"""A holder hears of a draining target without giving it work."""

from random import Random

from jacinthcroft_decisions.internal.traffic.cell_target import (
    DRAIN_RETENTION_SECONDS,
)
from jacinthcroft_decisions.internal.traffic.drain_checks import (
    DRAIN_CHECK_INTERVAL_SECONDS,
)
from jacinthcroft_decisions.traffic import Cell, TargetCondition

from tests.cover.traffic.builders import FIRST_GRANT_AT, make_ask, make_service


def _new_holder() -> Cell:
    return Cell.from_config(make_service(targets=1), 0, 'inc', Random(1))


def _may_grant(cell: Cell, now: float) -> bool:
    cell.tick(now)
    cell.enqueue(make_ask(), now)
    return bool(cell.grant_permits(now, now + 3))


def test_a_new_holder_reads_every_targets_signs_once_before_it_grants() -> None:
    cell = _new_holder()
    assert cell.take_due_drain_checks(0) == ('t0',)
    cell.record_process_state(
        't0', 'boot', is_draining=True, now=FIRST_GRANT_AT / 2
    )
    assert cell.take_due_drain_checks(FIRST_GRANT_AT / 2) == ()
    assert not _may_grant(cell, FIRST_GRANT_AT)


def test_a_target_that_goes_on_draining_gets_nothing_however_long() -> None:
    cell = _new_holder()
    cell.take_due_drain_checks(0)
    cell.record_process_state('t0', 'boot', is_draining=True, now=0)
    now = 0.0
    while now < 3 * DRAIN_RETENTION_SECONDS:
        now += 1
        for target in cell.take_due_drain_checks(now):
            cell.record_process_state(target, 'boot', is_draining=True, now=now)
        assert not _may_grant(cell, now)


def test_a_check_that_brings_no_sign_leaves_the_memory_to_end() -> None:
    cell = _new_holder()
    cell.record_process_state(
        't0', 'boot', is_draining=True, now=FIRST_GRANT_AT
    )
    later = FIRST_GRANT_AT + DRAIN_CHECK_INTERVAL_SECONDS
    cell.record_process_state('t0', 'boot', is_draining=False, now=later)
    assert not _may_grant(cell, later)
    assert _may_grant(cell, FIRST_GRANT_AT + DRAIN_RETENTION_SECONDS)


def test_a_planned_handover_tells_the_drain_sign() -> None:
    old = _new_holder()
    old.record_process_state('t0', 'boot', is_draining=True, now=FIRST_GRANT_AT)
    new = Cell.from_config(
        make_service(targets=1),
        FIRST_GRANT_AT,
        'next',
        Random(2),
        handover=old.hand_over(FIRST_GRANT_AT),
    )
    condition = new.view_targets(FIRST_GRANT_AT)[0].state
    assert condition is TargetCondition.LEAVING
    assert not _may_grant(new, FIRST_GRANT_AT)


def test_a_sign_of_a_target_that_is_not_listed_is_ignored() -> None:
    _new_holder().record_process_state('t9', 'boot', is_draining=True, now=0)
