"""How long a first attempt waits for a target that may be stalling."""

import pytest
from jacinthcroft_decisions.traffic import AttemptTimeout

REMAINING_SECONDS = 4.0


def test_half_of_the_time_is_given_before_any_answer_was_seen() -> None:
    half = pytest.approx(REMAINING_SECONDS / 2)
    assert AttemptTimeout().first(REMAINING_SECONDS) == half


def test_a_fast_service_is_given_up_long_before_the_deadline() -> None:
    timeout = AttemptTimeout()
    for _ in range(20):
        timeout.note(0.05)
    assert timeout.first(REMAINING_SECONDS) == pytest.approx(8 * 0.05)


def test_very_fast_answers_do_not_make_a_busy_vm_give_up() -> None:
    timeout = AttemptTimeout()
    for _ in range(20):
        timeout.note(0.001)
    assert timeout.first(REMAINING_SECONDS) == pytest.approx(0.25)


def test_a_service_that_slows_down_as_a_whole_is_soon_given_more_time() -> None:
    timeout = AttemptTimeout()
    for _ in range(32):
        timeout.note(0.02)
    for _ in range(32):
        # Every attempt is given up at its timeout.
        timeout.note(timeout.first(remaining=60))
    assert timeout.first(remaining=60) > 2
