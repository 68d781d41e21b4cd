"""What a VM keeps by itself: its permits, retry budget and quarantine."""

from jacinthcroft_decisions.traffic import (
    CrashReport,
    Permit,
    PermitPool,
    PermitRenewal,
    Quarantine,
    QuarantineCache,
    RetryBudget,
    RunOutcome,
    fingerprint,
)


def pool_with_permit(start_within: float = 1) -> PermitPool:
    pool = PermitPool('vm0')
    permit = Permit('p', 'history', 't0', '127.0.0.1', 9000, start_within)
    pool.add_permit(permit, asked_at=10, now=10.1)
    return pool


def finish_run(
    pool: PermitPool,
    now: float,
    outcome: RunOutcome = RunOutcome.ANSWERED,
    is_draining: bool = False,
    has_waiting_request: bool = True,
) -> bool:
    """Ends a run; returns whether its permit is given back."""
    pool.finish_run(
        'p', outcome, 0.01, None, is_draining, has_waiting_request, now
    )
    return pool.take_reports(now)[-1].is_returned


def test_the_window_of_a_permit_counts_from_before_the_request() -> None:
    pool = pool_with_permit()
    held = pool.take_permit(10.99)
    assert held is not None
    assert held.is_startable(10.99)
    assert not held.is_startable(11)


def test_a_permit_past_its_window_is_given_back_unused() -> None:
    pool = pool_with_permit()
    assert pool.take_permit(11) is None
    report = pool.take_reports(11)[0]
    assert report.outcome is RunOutcome.UNUSED
    assert report.is_returned
    assert not pool.take_reports(11)


def test_a_permit_is_kept_only_if_a_request_is_waiting() -> None:
    pool = pool_with_permit()
    assert pool.take_permit(10.1)
    assert not finish_run(pool, 10.2)
    assert pool.take_permit(10.3)
    assert finish_run(pool, 10.4, has_waiting_request=False)
    assert pool.take_permit(10.5) is None


def test_a_permit_is_given_back_after_a_failure_or_if_the_target_drains() -> (
    None
):
    for outcome, is_draining in (
        (RunOutcome.RESET, False),
        (RunOutcome.ANSWERED, True),
    ):
        pool = pool_with_permit()
        pool.take_permit(10.1)
        assert finish_run(pool, 10.2, outcome, is_draining=is_draining)


def test_a_renewal_extends_a_permit_and_a_recall_ends_it() -> None:
    pool = pool_with_permit()
    pool.take_permit(10.1)
    finish_run(pool, 10.2)
    pool.apply_renewals((PermitRenewal('p', 1),), (), sent_at=10.2, now=10.3)
    held = pool.take_permit(11.1)
    assert held is not None
    pool.apply_renewals((), ('p',), sent_at=11.1, now=11.1)
    assert finish_run(pool, 11.15)


def test_an_idle_permit_that_is_recalled_is_given_back_at_once() -> None:
    pool = pool_with_permit()
    pool.apply_renewals((), ('p',), sent_at=10.2, now=10.2)
    assert pool.take_permit(10.2) is None
    assert pool.has_urgent_report


def test_each_run_has_its_own_number() -> None:
    pool = pool_with_permit()
    numbers = []
    for now in (10.1, 10.2, 10.3):
        pool.take_permit(now)
        pool.finish_run('p', RunOutcome.ANSWERED, 0.01, None, False, True, now)
        numbers.append(pool.take_reports(now)[0].run_number)
    assert numbers == [1, 2, 3]


def test_retries_are_limited_to_a_share_of_requests() -> None:
    budget = RetryBudget(floor_rate=0)
    retries = 0
    for _ in range(1000):
        budget.record_request(now=5)
        if budget.may_retry(now=5):
            budget.record_retry(now=5)
            retries += 1
    assert retries in {99, 100}


def test_a_service_with_few_requests_may_retry_once_a_second() -> None:
    budget = RetryBudget()
    budget.record_request(now=0)
    assert not budget.may_retry(now=0.5)
    assert budget.may_retry(now=1)


def test_crashes_of_two_targets_quarantine_a_request_for_a_minute() -> None:
    quarantine = Quarantine()
    assert not quarantine.record_crash(CrashReport('f', 't0'), now=0)
    assert not quarantine.record_crash(CrashReport('f', 't0'), now=1)
    assert not quarantine.is_quarantined('f', now=1)
    assert quarantine.record_crash(CrashReport('f', 't1'), now=2) == 60
    assert quarantine.is_quarantined('f', now=61)
    assert not quarantine.is_quarantined('f', now=62)
    assert not quarantine.is_quarantined('another', now=3)


def test_crashes_long_after_one_another_do_not_add_up() -> None:
    quarantine = Quarantine()
    quarantine.record_crash(CrashReport('f', 't0'), now=0)
    assert not quarantine.record_crash(CrashReport('f', 't1'), now=1000)


def test_the_number_of_remembered_fingerprints_is_bounded() -> None:
    quarantine = Quarantine(limit=2)
    cache = QuarantineCache(limit=2)
    for crashing in 'abc':
        quarantine.record_crash(CrashReport(crashing, 't0'), now=0)
        quarantine.record_crash(CrashReport(crashing, 't1'), now=0)
        cache.record_refusal(crashing, 60, now=0)
    for checked in (quarantine, cache):
        refused = [name for name in 'abc' if checked.is_quarantined(name, 1)]
        assert refused == ['b', 'c']
    assert not cache.is_quarantined('c', now=60)


def test_fingerprints_differ_if_any_part_differs() -> None:
    base = ('GET', '/a', 'team', 'body')
    others = [
        ('POST', '/a', 'team', 'body'),
        ('GET', '/ateam', '', 'body'),
        ('GET', '/a', 'team2', 'body'),
        ('GET', '/a', 'team', ''),
    ]
    assert fingerprint(*base) == fingerprint(*base)
    assert len({fingerprint(*parts) for parts in (base, *others)}) == 5
