"""How many targets are in use while requests are lost."""

import pytest
from jacinthcroft_decisions.internal.dispatch.target_record import (
    TargetRecord,
)
from jacinthcroft_decisions.internal.dispatch.use_floor import UseFloor

from tests.cover.dispatch.dispatch_builders import make_target

FLOOR_SHARE = 0.7
NOW = 10.0


def _make_records(unused: int) -> list[TargetRecord]:
    """Returns ten records; the first ones were not used for long."""
    records = [TargetRecord(make_target(number), 0) for number in range(10)]
    for record in records:
        record.last_used_at = NOW
    for record in records[:unused]:
        record.last_used_at = 0
    return records


def _make_floor(lost: int, share: float = FLOOR_SHARE) -> UseFloor:
    floor = UseFloor(share)
    for number in range(100):
        floor.record(NOW, is_lost=number < lost)
    return floor


@pytest.mark.parametrize(
    ('lost', 'unused', 'is_needed'),
    [(10, 4, True), (10, 1, False), (3, 4, False), (0, 10, False)],
)
def test_unused_targets_are_needed_below_the_floor_if_requests_are_lost(
    lost: int, unused: int, is_needed: bool
) -> None:
    floor = _make_floor(lost)
    records = _make_records(unused)
    assert floor.needs_unused_targets(records, NOW) is is_needed


def test_without_a_floor_no_unused_target_is_needed() -> None:
    floor = _make_floor(100, share=0)
    assert not floor.needs_unused_targets(_make_records(10), NOW)


def test_a_few_lost_requests_on_a_quiet_service_count_for_nothing() -> None:
    floor = UseFloor(FLOOR_SHARE)
    for _ in range(3):
        floor.record(NOW, is_lost=True)
    assert not floor.needs_unused_targets(_make_records(10), NOW)


def test_losses_are_forgotten() -> None:
    floor = _make_floor(10)
    for number in range(100):
        floor.record(NOW + number / 20, is_lost=False)
    assert not floor.needs_unused_targets(_make_records(10), NOW + 5)
