"""The slot of a cancelled run is freed after its target has noticed it."""

import pytest
from jacinthcroft_decisions.internal.traffic.slot_table import (
    CANCELLATION_DELAY_SECONDS,
)
from jacinthcroft_decisions.traffic import RunOutcome

from tests.cover.traffic.builders import CellDriver, make_ask, make_service


@pytest.mark.parametrize(
    ('outcome', 'is_free_at_once'),
    [
        (RunOutcome.ANSWERED, True),
        (RunOutcome.STALLED, False),
        (RunOutcome.CANCELLED, False),
        (RunOutcome.RESET, False),
        (RunOutcome.CROSSED, False),
    ],
)
def test_the_slot_of_a_cancelled_run_is_freed_after_a_delay(
    outcome: RunOutcome,
    is_free_at_once: bool,
) -> None:
    driver = CellDriver(make_service(targets=1, slots=1))
    driver.cell.enqueue(make_ask(), driver.now)
    granted = driver.cell.grant_permits(driver.now, driver.now + 3)
    driver.cell.enqueue(make_ask(), driver.now)
    driver.report_run(granted[0].permit, 'vm0', outcome)
    granted_at_once = driver.cell.grant_permits(driver.now, driver.now + 3)
    assert bool(granted_at_once) == is_free_at_once
    later = driver.now + CANCELLATION_DELAY_SECONDS
    driver.cell.tick(later)
    assert bool(driver.cell.grant_permits(later, later + 3)) != is_free_at_once
