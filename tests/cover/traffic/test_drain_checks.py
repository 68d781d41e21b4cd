"""A holder learns by probes that a target drains, without a request to it."""

from random import Random

from jacinthcroft_decisions.internal.traffic.cell_target import (
    DRAIN_RETENTION_SECONDS,
)
from jacinthcroft_decisions.internal.traffic.drain_checks import (
    DRAIN_CHECK_INTERVAL_SECONDS,
)
from jacinthcroft_decisions.traffic import Cell, TargetCondition

from tests.cover.traffic.builders import FIRST_GRANT_AT, make_ask, make_service


def _make_cell() -> Cell:
    return Cell.from_config(make_service(targets=1), 0, 'inc', Random(1))


def _grants_permit(cell: Cell, now: float) -> bool:
    cell.tick(now)
    cell.enqueue(make_ask(), now)
    return bool(cell.grant_permits(now, now + 3))


def test_a_new_holder_checks_every_target_once_before_it_grants() -> None:
    cell = _make_cell()
    assert cell.take_due_drain_checks(0) == ('t0',)
    cell.record_process_state(
        't0', 'boot', is_draining=True, now=FIRST_GRANT_AT / 2
    )
    assert cell.take_due_drain_checks(FIRST_GRANT_AT / 2) == ()
    assert not _grants_permit(cell, FIRST_GRANT_AT)


def test_a_target_that_drains_for_long_gets_no_requests() -> None:
    cell = _make_cell()
    cell.take_due_drain_checks(0)
    cell.record_process_state('t0', 'boot', is_draining=True, now=0)
    now = 0.0
    while now < 3 * DRAIN_RETENTION_SECONDS:
        now += 1
        for target in cell.take_due_drain_checks(now):
            cell.record_process_state(target, 'boot', is_draining=True, now=now)
        assert not _grants_permit(cell, now)


def test_a_check_without_a_drain_report_does_not_end_the_retention() -> None:
    cell = _make_cell()
    cell.record_process_state(
        't0', 'boot', is_draining=True, now=FIRST_GRANT_AT
    )
    later = FIRST_GRANT_AT + DRAIN_CHECK_INTERVAL_SECONDS
    cell.record_process_state('t0', 'boot', is_draining=False, now=later)
    assert not _grants_permit(cell, later)
    assert _grants_permit(cell, FIRST_GRANT_AT + DRAIN_RETENTION_SECONDS)


def test_a_planned_handover_keeps_the_drain_report() -> None:
    old = _make_cell()
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
    assert not _grants_permit(new, FIRST_GRANT_AT)


def test_a_drain_report_of_a_target_that_is_not_listed_is_ignored() -> None:
    _make_cell().record_process_state('t9', 'boot', is_draining=True, now=0)
