"""Grants, renewals, cold starts and handovers of a cell."""

from random import Random

import pytest
from jacinthcroft_decisions.internal.traffic.concurrency_limit import (
    ConcurrencyLimit,
)
from jacinthcroft_decisions.traffic import (
    Cell,
    GrantedPermit,
    PermitRenewal,
    PermitReport,
    RunOutcome,
    TargetCondition,
)

from tests.cover.traffic.builders import (
    FIRST_GRANT_AT,
    LONGEST_RUN_SECONDS,
    make_ask,
    make_service,
)


def make_cell(targets: int = 1) -> Cell:
    service = make_service(targets=targets, cold_start_seconds=1)
    return Cell.from_config(service, 0, 'inc', Random(1))


def grant_permit(
    cell: Cell, now: float, lease_seconds: float = 3
) -> GrantedPermit:
    cell.enqueue(make_ask(), now)
    return cell.grant_permits(now, now + lease_seconds)[0]


def make_report(
    granted: GrantedPermit,
    outcome: RunOutcome = RunOutcome.ANSWERED,
    is_returned: bool = True,
    is_draining: bool = False,
    run_number: int = 0,
    boot_id: str | None = None,
) -> PermitReport:
    return PermitReport(
        permit_id=granted.permit.id,
        cell=granted.permit.cell,
        vm='vm0',
        target=granted.permit.target,
        outcome=outcome,
        latency=0.01,
        is_returned=is_returned,
        boot_id=boot_id,
        is_draining=is_draining,
        run_number=run_number,
    )


def test_a_new_holder_grants_after_its_predecessors_last_run() -> None:
    cell = make_cell()
    cell.enqueue(make_ask(patience=9), now=0)
    assert not cell.grant_permits(LONGEST_RUN_SECONDS, LONGEST_RUN_SECONDS + 3)
    assert len(cell.grant_permits(FIRST_GRANT_AT, FIRST_GRANT_AT + 3)) == 1


def test_a_permit_expires_with_the_lease() -> None:
    granted = grant_permit(make_cell(), FIRST_GRANT_AT, lease_seconds=0.25)
    assert granted.permit.start_within == pytest.approx(0.25)
    assert not make_cell().grant_permits(FIRST_GRANT_AT, FIRST_GRANT_AT)


def test_time_spent_in_the_queue_does_not_shorten_a_permit() -> None:
    cell = make_cell()
    cell.enqueue(make_ask(patience=5), FIRST_GRANT_AT)
    granted = cell.grant_permits(FIRST_GRANT_AT + 2, FIRST_GRANT_AT + 5)[0]
    assert round(granted.permit.start_within, 6) == 3


def test_a_lost_permit_takes_its_slot_until_its_run_must_have_ended() -> None:
    cell = make_cell()
    grant_permit(cell, FIRST_GRANT_AT)
    cell.enqueue(make_ask(patience=9), FIRST_GRANT_AT)
    assert not cell.grant_permits(
        FIRST_GRANT_AT + 1 + LONGEST_RUN_SECONDS, FIRST_GRANT_AT + 9
    )
    assert cell.grant_permits(
        FIRST_GRANT_AT + 1.1 + LONGEST_RUN_SECONDS, FIRST_GRANT_AT + 9
    )


def test_a_kept_permit_is_renewed_while_no_ask_waits() -> None:
    cell = make_cell()
    granted = grant_permit(cell, FIRST_GRANT_AT)
    report = make_report(granted, is_returned=False)
    renewal = cell.process_report(report, FIRST_GRANT_AT + 0.5)
    assert renewal == PermitRenewal(granted.permit.id, 1)
    cell.enqueue(make_ask(team='another'), FIRST_GRANT_AT + 0.6)
    assert cell.process_report(report, FIRST_GRANT_AT + 0.6) is None


def test_a_renewal_expires_with_the_lease() -> None:
    cell = make_cell()
    report = make_report(
        grant_permit(cell, FIRST_GRANT_AT, lease_seconds=1), is_returned=False
    )
    later = FIRST_GRANT_AT + 2
    assert cell.process_report(report, later) is None
    renewal = cell.process_report(report, later, lease_until=later + 0.5)
    assert renewal is not None
    assert renewal.start_within == pytest.approx(0.5)


def test_a_returned_permit_is_not_renewed_by_a_late_report() -> None:
    cell = make_cell()
    granted = grant_permit(cell, FIRST_GRANT_AT)
    assert (
        cell.process_report(make_report(granted), FIRST_GRANT_AT + 0.1) is None
    )
    late = make_report(granted, is_returned=False)
    assert cell.process_report(late, FIRST_GRANT_AT + 0.2) is None


def test_a_draining_target_gets_no_permits() -> None:
    cell = make_cell()
    granted = grant_permit(cell, FIRST_GRANT_AT)
    cell.process_report(make_report(granted, is_draining=True), FIRST_GRANT_AT)
    cell.enqueue(make_ask(), FIRST_GRANT_AT)
    assert not cell.grant_permits(FIRST_GRANT_AT, FIRST_GRANT_AT + 3)
    assert cell.view_targets(FIRST_GRANT_AT)[0].state is TargetCondition.LEAVING


def test_a_drain_report_of_an_earlier_process_is_ignored() -> None:
    cell = make_cell()
    granted = grant_permit(cell, FIRST_GRANT_AT)
    for boot_id in ('old', 'new'):
        cell.process_report(
            make_report(granted, boot_id=boot_id), FIRST_GRANT_AT
        )
    late = make_report(granted, is_draining=True, boot_id='old')
    cell.process_report(late, FIRST_GRANT_AT)
    assert cell.view_targets(FIRST_GRANT_AT)[0].state is TargetCondition.COLD


def test_answers_over_the_time_of_the_cold_start_end_it() -> None:
    cell = make_cell()
    now = FIRST_GRANT_AT
    for _ in range(9):
        cell.process_report(make_report(grant_permit(cell, now)), now)
        assert cell.view_targets(now)[0].allowed == 1
        now += 0.1
    for _ in range(5):
        cell.process_report(make_report(grant_permit(cell, now)), now)
        now += 0.1
    view = cell.view_targets(now)[0]
    assert (view.state, view.allowed) == (TargetCondition.HEALTHY, 2)


def test_a_repeated_report_counts_once_towards_the_cold_start() -> None:
    cell = make_cell()
    granted = grant_permit(cell, FIRST_GRANT_AT)
    for step in range(40):
        report = make_report(granted, is_returned=False, run_number=1)
        cell.process_report(report, FIRST_GRANT_AT + step * 0.1)
    assert (
        cell.view_targets(FIRST_GRANT_AT + 4)[0].state is TargetCondition.COLD
    )


def test_shed_load_lowers_the_limit_until_answers_raise_it() -> None:
    limits = make_service(slots=8).limits
    limit = ConcurrencyLimit(limits, now=0)
    limit.mark_warm()
    limit.record_shed(now=1)
    assert limit.allowed(1) == 0
    assert limit.allowed(1.2) == 4
    for _ in range(60):
        limit.record_answer(0.01, now=2)
    assert limit.allowed(2) == 8


def test_a_handover_keeps_slots_and_warm_targets_without_a_wait() -> None:
    old = make_cell()
    now = FIRST_GRANT_AT
    for _ in range(20):
        old.process_report(make_report(grant_permit(old, now)), now)
        now += 0.1
    held = grant_permit(old, now)
    handover = old.hand_over(now)
    old.enqueue(make_ask(), now)
    assert not old.grant_permits(now, now + 3)
    new = Cell.from_config(
        make_service(targets=1),
        now,
        'next',
        Random(2),
        handover=handover,
    )
    assert grant_permit(new, now).permit.id != held.permit.id
    new.enqueue(make_ask(), now)
    assert not new.grant_permits(now, now + 3)
    new.process_report(make_report(held), now)
    assert len(new.grant_permits(now, now + 3)) == 1


def test_a_target_in_the_vms_zone_is_preferred_at_equal_load() -> None:
    cell = make_cell(targets=3)
    for zone, target in (('z2', 't2'), ('z1', 't1'), ('z0', 't0')):
        cell.enqueue(make_ask(zone=zone), FIRST_GRANT_AT)
        granted = cell.grant_permits(FIRST_GRANT_AT, FIRST_GRANT_AT + 3)[0]
        assert granted.permit.target == target
        cell.process_report(make_report(granted), FIRST_GRANT_AT)
