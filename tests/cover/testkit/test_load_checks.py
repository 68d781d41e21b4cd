"""Each load check fails on a journal that breaks its promise."""

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st
from jacinthcroft_testkit import (
    Bearing,
    BelowFloor,
    FloorSample,
    LateRun,
    OverConnections,
    OverSlots,
    Run,
    find_breached_floors,
    find_excess_connections,
    find_late_runs_of,
    find_late_runs_on,
    find_overfilled_slots,
    find_overspending,
)

_RUN = Run('t1', 'id1', '', 'app', 'GET', '/p', 1.0, 2.0)
_BEARING = Bearing(slots=2, cold_slots=1, connections=10)


def _runs_at(starts: list[float]) -> list[Run]:
    return [attrs.evolve(_RUN, started=start) for start in starts]


def _exceeds_some_window(starts: list[float], rate: float, burst: int) -> bool:
    ordered = sorted(starts)
    return any(
        last - first + 1 > burst + rate * (ordered[last] - ordered[first])
        for first in range(len(ordered))
        for last in range(first, len(ordered))
    )


@settings(derandomize=True)
@given(
    st.lists(st.integers(min_value=0, max_value=40), max_size=25),
    st.integers(min_value=1, max_value=8),
    st.integers(min_value=1, max_value=6),
)
def test_overspending_is_found_exactly_when_some_window_exceeds_the_limit(
    ticks: list[int],
    rate: int,
    burst: int,
) -> None:
    starts = [tick / 8 for tick in ticks]
    found = find_overspending(_runs_at(starts), 'app', rate, burst)
    assert bool(found) == _exceeds_some_window(starts, rate, burst)


def test_another_teams_runs_are_not_counted() -> None:
    runs = _runs_at([1.0, 1.0])
    assert find_overspending(runs, 'app', rate=1, burst=1)
    assert not find_overspending(runs, 'web', rate=1, burst=1)


def test_a_slot_is_free_again_when_its_run_has_ended() -> None:
    runs = [_RUN, _RUN, attrs.evolve(_RUN, started=2.0, ended=3.0)]
    assert not find_overfilled_slots(runs, _BEARING)


def test_a_third_run_on_two_slots_is_found() -> None:
    third = attrs.evolve(_RUN, started=1.5)
    unended = attrs.evolve(_RUN, ended=None)
    assert find_overfilled_slots([unended, _RUN, third], _BEARING) == (
        OverSlots('t1', 1.5, 3, 2, is_cold=False),
    )


def test_slots_are_counted_for_each_target() -> None:
    runs = [attrs.evolve(_RUN, target=f't{number}') for number in range(3)]
    assert not find_overfilled_slots(runs, _BEARING)


def test_a_cold_target_bears_its_cold_slots_after_the_grace() -> None:
    cold = attrs.evolve(_RUN, started=1.5, cold_seconds=0.5)
    patient = attrs.evolve(_BEARING, cold_grace_seconds=1.0)
    assert find_overfilled_slots([_RUN, cold], _BEARING)
    assert not find_overfilled_slots([_RUN, cold], patient)
    assert not find_overfilled_slots([cold], _BEARING)


def test_excess_connections_are_found() -> None:
    crowded = attrs.evolve(_RUN, connections=11)
    assert not find_excess_connections([_RUN], _BEARING)
    assert find_excess_connections([crowded], _BEARING) == (
        OverConnections('t1', 1.0, 11, 10),
    )


def test_new_work_is_late_only_after_the_grace() -> None:
    assert not find_late_runs_on([_RUN], {'t1'}, 0.5, grace_seconds=0.5)
    assert not find_late_runs_on([_RUN], {'t2'}, 0, grace_seconds=0.5)
    assert find_late_runs_on([_RUN], {'t1'}, 0, grace_seconds=0.5) == (
        LateRun('t1', 'app', 'id1', 1.0),
    )


def test_work_of_a_withdrawn_key_is_late_only_after_the_grace() -> None:
    assert not find_late_runs_of([_RUN], 'app', 0.5, grace_seconds=0.5)
    assert not find_late_runs_of([_RUN], 'web', 0, grace_seconds=0.5)
    assert find_late_runs_of([_RUN], 'app', 0, grace_seconds=0.5)


def test_the_floor_rounds_up() -> None:
    sample = FloorSample('recipes', 1.0, in_use=3, targets=5, floor=0.5)
    below = attrs.evolve(sample, in_use=2)
    assert find_breached_floors([sample, below]) == (
        BelowFloor('recipes', 1.0, 2, 3),
    )
