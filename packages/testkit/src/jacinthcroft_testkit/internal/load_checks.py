"""Checks of what teams may spend and targets bear.

Pure functions over the targets' journals; each returns the violations it
found.
"""

import heapq
import math
from collections.abc import Container, Iterable

from attrs import frozen

from jacinthcroft_testkit.internal.history import Run
from jacinthcroft_testkit.internal.violations import (
    BelowFloor,
    LateRun,
    OverConnections,
    OverLimit,
    OverSlots,
)

_ROUNDING_RUNS = 1e-6


@frozen
class Bearing:
    """What each target of one service bears.

    `cold_grace_seconds` is how long after an unannounced cold start the
    fleet may still send up to `slots` requests.
    """

    slots: int
    cold_slots: int
    connections: int
    cold_grace_seconds: float = 0

    def allows_at(self, run: Run) -> int:
        """Returns how many requests its target bore when `run` started."""
        if run.cold_seconds is None:
            return self.slots
        if run.cold_seconds < self.cold_grace_seconds:
            return self.slots
        return self.cold_slots


@frozen
class FloorSample:
    """How many of a service's targets were in use at one time."""

    service: str
    at: float
    in_use: int
    targets: int
    floor: float


def find_overspending(
    runs: Iterable[Run],
    team: str,
    rate: float,
    burst: int,
) -> tuple[OverLimit, ...]:
    """Finds the runs that exceed a team's limit in any window.

    A bucket of `burst` tokens refilled at `rate` a second goes below zero
    exactly when some window [s, t] holds more than burst + rate * (t - s)
    runs, so one pass over the starts covers every window.
    """
    starts = sorted(run.started for run in runs if run.team == team)
    level = float(burst)
    previous = starts[0] if starts else 0
    found = []
    for start in starts:
        level = min(burst, level + rate * (start - previous)) - 1
        previous = start
        if level < -_ROUNDING_RUNS:
            found.append(OverLimit(team, start, -level))
    return tuple(found)


def find_overfilled_slots(
    runs: Iterable[Run],
    bearing: Bearing,
) -> tuple[OverSlots, ...]:
    """Finds runs that started on a target that was already full."""
    ends: dict[str, list[float]] = {}
    found = []
    for run in sorted(runs, key=_by_start):
        running = ends.setdefault(run.target, [])
        while running and running[0] <= run.started:
            heapq.heappop(running)
        heapq.heappush(running, math.inf if run.ended is None else run.ended)
        if len(running) > bearing.allows_at(run):
            found.append(_over_slots(run, len(running), bearing))
    return tuple(found)


def find_excess_connections(
    runs: Iterable[Run],
    bearing: Bearing,
) -> tuple[OverConnections, ...]:
    """Finds targets that held too many open connections."""
    return tuple(
        OverConnections(
            run.target,
            run.started,
            run.connections,
            bearing.connections,
        )
        for run in runs
        if run.connections > bearing.connections
    )


def find_late_runs_on(
    runs: Iterable[Run],
    targets: Container[str],
    published_at: float,
    grace_seconds: float,
) -> tuple[LateRun, ...]:
    """Finds new work on targets that leave or whose zone is out."""
    return tuple(
        _late_run(run, published_at)
        for run in runs
        if run.target in targets and _is_late(run, published_at, grace_seconds)
    )


def find_late_runs_of(
    runs: Iterable[Run],
    team: str,
    withdrawn_at: float,
    grace_seconds: float,
) -> tuple[LateRun, ...]:
    """Finds new work of a team whose only key was withdrawn."""
    return tuple(
        _late_run(run, withdrawn_at)
        for run in runs
        if run.team == team and _is_late(run, withdrawn_at, grace_seconds)
    )


def find_breached_floors(
    samples: Iterable[FloorSample],
) -> tuple[BelowFloor, ...]:
    """Finds times at which ejection went below the floor."""
    return tuple(
        BelowFloor(
            sample.service,
            sample.at,
            sample.in_use,
            _count_at_floor(sample),
        )
        for sample in samples
        if sample.in_use < _count_at_floor(sample)
    )


def _by_start(run: Run) -> float:
    return run.started


def _count_at_floor(sample: FloorSample) -> int:
    return math.ceil(sample.floor * sample.targets)


def _is_late(run: Run, changed_at: float, grace_seconds: float) -> bool:
    return run.started > changed_at + grace_seconds


def _late_run(run: Run, changed_at: float) -> LateRun:
    return LateRun(
        run.target,
        run.team,
        run.request_id,
        run.started - changed_at,
    )


def _over_slots(run: Run, running: int, bearing: Bearing) -> OverSlots:
    return OverSlots(
        run.target,
        run.started,
        running,
        bearing.allows_at(run),
        is_cold=run.cold_seconds is not None,
    )
