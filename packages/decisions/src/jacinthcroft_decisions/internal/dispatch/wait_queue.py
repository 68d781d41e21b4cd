"""The queue of a service's asks.

A VM sends the deciding VM an ask for each attempt to have a target run a
request, and waits until a target is granted. A request's rank is its urgency;
0 is the most urgent.

In a burst more requests arrive than the targets can serve. The most urgent
are served first, and among equally urgent ones those that can still meet
their latency objective. Those that cannot be served before their caller gives
up are refused at once.
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

# Lower bounds of the capacity that an estimate leaves to the less urgent
# requests when more urgent ones use all of it: a share of the capacity, and
# requests a second.
MIN_CAPACITY_SHARE: Final = 0.05
MIN_CAPACITY_PER_SECOND: Final = 0.5
# A queued ask is refused if not even this share of its estimated wait fits
# before its deadline: the estimate is rough.
CERTAIN_WAIT_SHARE: Final = 0.6
# Share of the expected latency that must be left before the deadline for a
# request to be started at all.
MIN_TIME_LEFT_SHARE: Final = 0.8
# How many queued asks are considered when a slot becomes free. Each tick of
# the decider considers all of them.
MAX_ASKS_PER_FREE_SLOT: Final = 8
# Minimum `Retry-After` that a caller is told.
MIN_RETRY_AFTER_SECONDS: Final = 0.2


@define
class QueuedAsk:
    """An ask that waits; times on the deciding VM's clock.

    `zone` is the availability zone of the VM that asks.
    """

    ask: Ask
    zone: str
    since: float
    expected_latency: ExpectedLatency

    @property
    def deadline(self) -> float:
        """When the caller gives up."""
        return self.since + self.ask.time_left

    @property
    def objective_at(self) -> float:
        """Until when a response still meets its latency objective."""
        return self.since + self.ask.objective_left


def urgency_key(queued: QueuedAsk, now: float) -> tuple[int, int, float]:
    """Returns the sort key of a queued ask: the smallest is served first."""
    is_late = now + queued.expected_latency.mean_seconds > queued.objective_at
    return (queued.ask.rank, int(is_late), queued.since)


@frozen
class Capacity:
    """How many requests a service can serve a second."""

    per_second: float
    arrival_rates: ArrivalRates

    def estimate_wait(self, ahead: int, rank: int, now: float) -> float:
        """Returns the seconds that an ask of a rank is expected to wait.

        `ahead` is how many queued asks are served before it. More urgent
        requests that arrive meanwhile are served first as well.
        """
        more_urgent_per_second = self.arrival_rates.sum_more_urgent(rank, now)
        min_per_second = self.per_second * MIN_CAPACITY_SHARE
        return (ahead + 1) / max(
            min_per_second,
            self.per_second - more_urgent_per_second,
            MIN_CAPACITY_PER_SECOND,
        )


@define
class WaitQueue:
    """The queued asks of one service, by key."""

    _queued: dict[AskKey, QueuedAsk] = field(factory=dict)
    # Most urgent first, as sorted by the last tick; asks added since are in
    # their place. May still hold asks that have left the queue.
    _ordered: list[QueuedAsk] = field(factory=list)

    def __len__(self) -> int:
        """Returns how many asks wait."""
        return len(self._queued)

    def add(self, queued: QueuedAsk) -> None:
        """Adds an ask at its place in the order of urgency."""
        self._queued[queued.ask.key] = queued
        insort(
            self._ordered,
            queued,
            key=lambda other: urgency_key(other, queued.since),
        )

    def discard(self, key: AskKey) -> None:
        """Removes an ask that was decided or given up, if it is queued."""
        self._queued.pop(key, None)
        self._clear_order_if_empty()

    def drop_vm(self, vm: str) -> None:
        """Removes the asks of a VM that is gone."""
        for key in tuple(self._queued):
            if key[0] == vm:
                self._queued.pop(key)
        self._clear_order_if_empty()

    def sort_asks(self, now: float) -> list[QueuedAsk]:
        """Sorts the queued asks and returns them, the most urgent first."""
        self._ordered = sorted(
            self._queued.values(),
            key=lambda queued: urgency_key(queued, now),
        )
        return self._ordered

    def peek_first(self) -> list[QueuedAsk]:
        """Returns the first few asks, without sorting them again."""
        first: list[QueuedAsk] = []
        for queued in self._ordered:
            if queued.ask.key in self._queued:
                first.append(queued)
            if len(first) == MAX_ASKS_PER_FREE_SLOT:
                break
        return first

    def find_unservable(
        self,
        capacity: Capacity,
        now: float,
    ) -> list[QueuedAsk]:
        """Returns the asks that are unlikely to be served in time."""
        return [
            queued
            for ahead, queued in enumerate(self.sort_asks(now))
            if now
            + capacity.estimate_wait(ahead, queued.ask.rank, now)
            * CERTAIN_WAIT_SHARE
            + queued.expected_latency.mean_seconds * MIN_TIME_LEFT_SHARE
            > queued.deadline
        ]

    def estimate_retry_after(
        self,
        queued: QueuedAsk,
        capacity: Capacity,
        now: float,
    ) -> float | None:
        """Returns the `Retry-After` of an ask that would wait too long.

        Returns:
            Seconds, or None if the ask can be served before its deadline and
            may be queued.
        """
        ask = queued.ask
        ahead = sum(
            other.ask.rank <= ask.rank for other in self._queued.values()
        )
        wait = capacity.estimate_wait(ahead, ask.rank, now)
        seconds_to_serve = (
            queued.expected_latency.mean_seconds * MIN_TIME_LEFT_SHARE
        )
        if wait + seconds_to_serve > ask.time_left:
            return max(MIN_RETRY_AFTER_SECONDS, wait)
        return None

    def _clear_order_if_empty(self) -> None:
        # A tick sorts only a queue that is not empty, so the old order would
        # keep its asks in memory.
        if not self._queued:
            self._ordered = []
