"""The requests of one service that wait for a target, and their order.

Load answered: bursts above what the targets bear. The most urgent go first,
those that can still meet their objective before those that are late anyway,
and what cannot be served before its caller leaves is refused at once.
"""

from typing import Final

from attrs import define, field

from jacinthcroft_decisions.internal.dispatch.messages import Ask, AskKey

# Asks that wait at a time, for each usable slot; longer queues only make
# everybody late.
MAX_WAITING_PER_SLOT: Final = 6
MIN_WAITING: Final = 8
# Part of the usual service time that must be left to begin at all.
LAST_START_SHARE: Final = 0.8
# Shortest wait that is told to a caller, in seconds.
MIN_RETRY_SECONDS: Final = 0.2


@define
class Waiting:
    """An ask that waits; times on the deciding VM's clock."""

    ask: Ask
    zone: str
    since: float

    @property
    def deadline(self) -> float:
        """When the caller gives up."""
        return self.since + self.ask.time_left

    @property
    def objective(self) -> float:
        """When an answer begins to count as late."""
        return self.since + self.ask.objective_left


def order_of(
    waiting: Waiting, now: float, mean: float
) -> tuple[int, int, float]:
    """Returns the sort key of a waiting ask: the smallest goes first."""
    is_late = now + mean > waiting.objective
    return (waiting.ask.rank, int(is_late), waiting.since)


def expected_wait(ahead: int, usable_slots: int, mean: float) -> float:
    """Returns how long an ask with so many ahead will wait, in seconds."""
    return (ahead + 1) * mean / max(1, usable_slots)


@define
class WaitQueue:
    """Asks of one service, by key."""

    _waiting: dict[AskKey, Waiting] = field(factory=dict)

    def __len__(self) -> int:
        """Returns how many wait."""
        return len(self._waiting)

    def add(self, waiting: Waiting) -> None:
        """Takes an ask in."""
        self._waiting[waiting.ask.key] = waiting

    def discard(self, key: AskKey) -> None:
        """Forgets an ask that was decided or given up."""
        self._waiting.pop(key, None)

    def drop_vm(self, vm: str) -> None:
        """Forgets the asks of a VM that is gone."""
        for key in tuple(self._waiting):
            if key[0] == vm:
                self._waiting.pop(key)

    def in_order(self, now: float, mean: float) -> list[Waiting]:
        """Returns all that wait, the first to be served first."""
        return sorted(
            self._waiting.values(),
            key=lambda waiting: order_of(waiting, now, mean),
        )

    def hopeless(self, now: float, mean: float) -> list[Waiting]:
        """Returns those that can no longer be served in time."""
        last_start = now + mean * LAST_START_SHARE
        return [
            waiting
            for waiting in self._waiting.values()
            if waiting.deadline < last_start
        ]

    def refuse_after(
        self,
        ask: Ask,
        usable_slots: int,
        mean: float,
    ) -> float | None:
        """Returns the `Retry-After` of an ask that must not wait, or None."""
        ahead = sum(
            other.ask.rank <= ask.rank for other in self._waiting.values()
        )
        wait = expected_wait(ahead, usable_slots, mean)
        bound = max(MIN_WAITING, usable_slots * MAX_WAITING_PER_SLOT)
        if ahead >= bound or wait + mean * LAST_START_SHARE > ask.time_left:
            return max(MIN_RETRY_SECONDS, wait)
        return None
