"""The requests of one service that wait for a target, and their order.

Load answered: bursts above what the targets bear. The most urgent go first,
those that can still meet their objective before those that are late anyway,
and what cannot be served before its caller leaves is refused at once.
"""

from bisect import insort
from typing import Final

from attrs import define, field, frozen

from jacinthcroft_decisions.internal.dispatch.arrival_rates import (
    ArrivalRates,
)
from jacinthcroft_decisions.internal.dispatch.messages import Ask, AskKey
from jacinthcroft_decisions.internal.dispatch.route_latencies import (
    ExpectedLatency,
)

# Part of the room that is left to the least urgent, and the least requests a
# second that are counted on, where more urgent ones take all of it.
LEAST_ROOM_SHARE: Final = 0.05
LEAST_ROOM: Final = 0.5
# Part of the expected wait that must not fit any more before one that waits
# already is refused: the estimate is rough.
SURE_SHARE: Final = 0.6
# Part of the usual service time that must be left to begin at all.
LAST_START_SHARE: Final = 0.8
# How many of those that wait are looked at when a slot becomes free. All of
# them are at each turn.
FIRST_WAITING: Final = 8
# Shortest wait that is told to a caller, in seconds.
MIN_RETRY_SECONDS: Final = 0.2


@define
class Waiting:
    """An ask that waits; times on the deciding VM's clock."""

    ask: Ask
    zone: str
    since: float
    expected_latency: ExpectedLatency

    @property
    def deadline(self) -> float:
        """When the caller gives up."""
        return self.since + self.ask.time_left

    @property
    def objective(self) -> float:
        """When an answer begins to count as late."""
        return self.since + self.ask.objective_left


def order_of(waiting: Waiting, now: float) -> tuple[int, int, float]:
    """Returns the sort key of a waiting ask: the smallest goes first."""
    is_late = now + waiting.expected_latency.mean_seconds > waiting.objective
    return (waiting.ask.rank, int(is_late), waiting.since)


@frozen
class Room:
    """What a service serves: `per_second` requests."""

    per_second: float
    rates: ArrivalRates

    def wait(self, ahead: int, rank: int, now: float) -> float:
        """Returns how long an ask with so many ahead will wait, in seconds.

        More urgent requests that come meanwhile go first as well.
        """
        urgent = self.rates.more_urgent_than(rank, now)
        least = self.per_second * LEAST_ROOM_SHARE
        return (ahead + 1) / max(least, self.per_second - urgent, LEAST_ROOM)


@define
class WaitQueue:
    """Asks of one service, by key."""

    _waiting: dict[AskKey, Waiting] = field(factory=dict)
    _ordered: list[Waiting] = field(factory=list)

    def __len__(self) -> int:
        """Returns how many wait."""
        return len(self._waiting)

    def add(self, waiting: Waiting) -> None:
        """Takes an ask in."""
        self._waiting[waiting.ask.key] = waiting
        insort(
            self._ordered,
            waiting,
            key=lambda other: order_of(other, waiting.since),
        )

    def discard(self, key: AskKey) -> None:
        """Forgets an ask that was decided or given up."""
        self._waiting.pop(key, None)
        self._forget_order()

    def drop_vm(self, vm: str) -> None:
        """Forgets the asks of a VM that is gone."""
        for key in tuple(self._waiting):
            if key[0] == vm:
                self._waiting.pop(key)
        self._forget_order()

    def in_order(self, now: float) -> list[Waiting]:
        """Returns all that wait, the first to be served first."""
        self._ordered = sorted(
            self._waiting.values(),
            key=lambda waiting: order_of(waiting, now),
        )
        return self._ordered

    def first(self) -> list[Waiting]:
        """Returns the first few, as the last turn put them in order."""
        first: list[Waiting] = []
        for waiting in self._ordered:
            if waiting.ask.key in self._waiting:
                first.append(waiting)
            if len(first) == FIRST_WAITING:
                break
        return first

    def hopeless(self, room: Room, now: float) -> list[Waiting]:
        """Returns those that will not be served in time as things stand."""
        return [
            waiting
            for ahead, waiting in enumerate(self.in_order(now))
            if now
            + room.wait(ahead, waiting.ask.rank, now) * SURE_SHARE
            + waiting.expected_latency.mean_seconds * LAST_START_SHARE
            > waiting.deadline
        ]

    def refuse_after(
        self,
        waiting: Waiting,
        room: Room,
        now: float,
    ) -> float | None:
        """Returns the `Retry-After` of an ask that must not wait, or None."""
        ask = waiting.ask
        ahead = sum(
            other.ask.rank <= ask.rank for other in self._waiting.values()
        )
        wait = room.wait(ahead, ask.rank, now)
        needed = waiting.expected_latency.mean_seconds * LAST_START_SHARE
        if wait + needed > ask.time_left:
            return max(MIN_RETRY_SECONDS, wait)
        return None

    def _forget_order(self) -> None:
        # Only a queue that is not empty is put in order anew.
        if not self._waiting:
            self._ordered = []
