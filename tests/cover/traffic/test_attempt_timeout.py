"""How long a first attempt waits for a target that may be stalling."""

import pytest
from jacinthcroft_decisions.traffic import AttemptTimeout

REMAINING_SECONDS = 4.0


def test_half_of_the_time_is_given_before_any_answer_was_seen() -> None:
    half = pytest.approx(REMAINING_SECONDS / 2)
    assert AttemptTimeout().compute_first_timeout(REMAINING_SECONDS) == half


def test_a_fast_service_is_given_up_long_before_the_deadline() -> None:
    timeout = AttemptTimeout()
    for _ in range(20):
        timeout.record_answer(0.05)
    assert timeout.compute_first_timeout(REMAINING_SECONDS) == pytest.approx(
        8 * 0.05
    )


def test_very_fast_answers_do_not_make_a_busy_vm_give_up() -> None:
    timeout = AttemptTimeout()
    for _ in range(20):
        timeout.record_answer(0.001)
    assert timeout.compute_first_timeout(REMAINING_SECONDS) == pytest.approx(
        0.25
    )


def test_a_service_that_slows_down_as_a_whole_is_soon_given_more_time() -> None:
    timeout = AttemptTimeout()
    for _ in range(32):
        timeout.record_answer(0.02)
    for _ in range(32):
        # Every attempt is given up at its timeout.
        timeout.record_abandoned(timeout.compute_first_timeout(remaining=60))
    assert timeout.compute_first_timeout(remaining=60) > 2


def test_attempts_cut_by_their_deadlines_do_not_shrink_the_reserve() -> None:
    """Else each is dispatched with less time than the one before."""
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
def test_the_reserve_grows_until_answers_come_within_it(latency: float) -> None:
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


def test_an_attempt_keeps_the_usual_time_though_its_permit_came_late() -> None:
    timeout = AttemptTimeout()
    for _ in range(32):
        timeout.record_answer(0.07)
    latest = REMAINING_SECONDS - timeout.compute_answer_reserve(
        REMAINING_SECONDS
    )
    dispatch_by = timeout.compute_latest_dispatch(latest, REMAINING_SECONDS)
    assert latest < dispatch_by
    assert REMAINING_SECONDS - dispatch_by == pytest.approx(0.07)


def test_time_is_kept_for_the_answer_before_any_was_seen() -> None:
    timeout = AttemptTimeout()
    assert timeout.compute_answer_reserve(REMAINING_SECONDS) > 0
    for _ in range(64):
        timeout.record_abandoned(0.005)
    assert timeout.compute_answer_reserve(REMAINING_SECONDS) == pytest.approx(
        0.25
    )
