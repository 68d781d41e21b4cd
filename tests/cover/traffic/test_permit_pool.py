"""Which permits a VM keeps while no request waits, and which it gives back."""

from jacinthcroft_decisions.traffic import Permit, PermitPool, RunOutcome


def make_permit(*, may_be_kept: bool) -> Permit:
    return Permit('p1', 'history', 't1', '127.0.0.1', 9000, 1, may_be_kept)


def test_a_permit_that_no_request_waits_for_is_given_back_at_once() -> None:
    pool = PermitPool('vm1')
    pool.add_permit(make_permit(may_be_kept=False), 0, 0)
    pool.return_surplus(0)
    reports = pool.take_reports(0)
    assert [report.outcome for report in reports] == [RunOutcome.UNUSED]
    assert reports[0].is_returned


def test_a_permit_is_kept_if_the_cell_has_spare_capacity() -> None:
    pool = PermitPool('vm1')
    pool.add_permit(make_permit(may_be_kept=True), 0, 0)
    pool.return_surplus(0)
    assert pool.count_idle(0) == 1
