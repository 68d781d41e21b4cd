"""Timeouts of first attempts, and the time reserved for answers."""

import pytest
from jacinthcroft_decisions.traffic import AttemptTimeout

REMAINING_SECONDS = 4.0


def test_the_timeout_is_half_of_the_time_without_any_answer_yet() -> None:
    half = pytest.approx(REMAINING_SECONDS / 2)
    assert AttemptTimeout().compute_first_timeout(REMAINING_SECONDS) == half


def test_the_timeout_of_a_fast_service_is_eight_usual_latencies() -> None:
    timeout = AttemptTimeout()
    for _ in range(20):
        timeout.record_answer(0.05)
    assert timeout.compute_first_timeout(REMAINING_SECONDS) == pytest.approx(
        8 * 0.05
    )


def test_the_timeout_of_a_very_fast_service_has_a_minimum() -> None:
    timeout = AttemptTimeout()
    for _ in range(20):
        timeout.record_answer(0.001)
    assert timeout.compute_first_timeout(REMAINING_SECONDS) == pytest.approx(
        0.25
    )


def test_the_timeout_grows_if_the_whole_service_becomes_slower() -> None:
    timeout = AttemptTimeout()
    for _ in range(32):
        timeout.record_answer(0.02)
    for _ in range(32):
        # Every attempt is abandoned at its timeout.
        timeout.record_abandoned(timeout.compute_first_timeout(remaining=60))
    assert timeout.compute_first_timeout(remaining=60) > 2


def test_attempts_cut_off_by_deadlines_do_not_reduce_the_reserve() -> None:
    """Otherwise each attempt would be dispatched later than the last one."""
    timeout = AttemptTimeout()
    for _ in range(32):
        timeout.record_answer(0.07)
    before = timeout.compute_answer_reserve(REMAINING_SECONDS)
    for _ in range(64):
        timeout.record_abandoned(
            timeout.compute_answer_reserve(REMAINING_SECONDS) / 4
        )
    assert timeout.compute_answer_reserve(REMAINING_SECONDS) == pytest.approx(
        before
    )


@pytest.mark.parametrize('latency', [0.07, 0.5, 1.0])
def test_the_reserve_grows_until_answers_arrive_within_it(
    latency: float,
) -> None:
    timeout = AttemptTimeout()
    for _ in range(32):
        timeout.record_answer(0.02)
    for _ in range(64):
        remaining = timeout.compute_answer_reserve(REMAINING_SECONDS)
        if remaining < latency:
            timeout.record_abandoned(remaining)
        else:
            timeout.record_answer(latency)
    assert timeout.compute_answer_reserve(REMAINING_SECONDS) >= latency


def test_an_attempt_may_be_dispatched_while_the_usual_latency_is_left() -> None:
    timeout = AttemptTimeout()
    for _ in range(32):
        timeout.record_answer(0.07)
    latest = REMAINING_SECONDS - timeout.compute_answer_reserve(
        REMAINING_SECONDS
    )
    dispatch_by = timeout.compute_latest_dispatch(latest, REMAINING_SECONDS)
    assert latest < dispatch_by
    assert REMAINING_SECONDS - dispatch_by == pytest.approx(0.07)


def test_the_reserve_assumes_a_latency_without_any_answer_yet() -> None:
    timeout = AttemptTimeout()
    assert timeout.compute_answer_reserve(REMAINING_SECONDS) > 0
    for _ in range(64):
        timeout.record_abandoned(0.005)
    assert timeout.compute_answer_reserve(REMAINING_SECONDS) == pytest.approx(
        0.25
    )
