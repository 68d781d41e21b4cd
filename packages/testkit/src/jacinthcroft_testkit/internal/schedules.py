"""Random schedules of link faults, the same for the same seed."""

import random
from collections.abc import Iterator, Sequence

from attrs import frozen

from jacinthcroft_testkit.internal.links import Direction, Mode, Setting

_MAX_DELAY_MS = 200
_FAULTS = (Mode.CUT, Mode.DELAY, Mode.FREEZE, Mode.RESET, Mode.REFUSE)


@frozen
class Change:
    """A setting that begins `at` seconds after the schedule's start."""

    at: float
    pattern: str
    direction: Direction
    setting: Setting


def make_schedule(
    randomness: random.Random,
    patterns: Sequence[str],
    total_seconds: float,
    mean_seconds: float,
) -> tuple[Change, ...]:
    """Returns faults and their ends in order of time.

    Faults begin at random times on average `mean_seconds` apart and last
    that long on average; every fault ends before `total_seconds`.
    """
    changes = [
        change
        for begin in _draw_times(randomness, total_seconds, mean_seconds)
        for change in _draw_fault(
            randomness,
            randomness.choice(patterns),
            begin,
            min(
                total_seconds,
                begin + randomness.expovariate(1 / mean_seconds),
            ),
        )
    ]
    return tuple(sorted(changes, key=_by_time))


def _draw_times(
    randomness: random.Random,
    total_seconds: float,
    mean_seconds: float,
) -> Iterator[float]:
    now = randomness.expovariate(1 / mean_seconds)
    while now < total_seconds:
        yield now
        now += randomness.expovariate(1 / mean_seconds)


def _draw_fault(
    randomness: random.Random,
    pattern: str,
    begin: float,
    end: float,
) -> tuple[Change, Change]:
    direction = randomness.choice(tuple(Direction))
    fault = Setting(
        randomness.choice(_FAULTS),
        randomness.randint(1, _MAX_DELAY_MS),
    )
    return (
        Change(begin, pattern, direction, fault),
        Change(end, pattern, direction, Setting()),
    )


def _by_time(change: Change) -> float:
    return change.at
