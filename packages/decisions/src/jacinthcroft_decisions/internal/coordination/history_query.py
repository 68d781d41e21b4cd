"""The question to a list's VMs which other lists they have met.

A driver that finds no earlier list in force may be too young to know of one.
The fleet starts cold only when every VM of its list has told what it met, or
when a majority has and the rest kept silent for a whole abstention, and when
each list that they named is known here.

Limit: when most of a list's VMs are new, and those that knew the list before
can't be reached, nobody tells of it. A VM that starts should therefore learn
the earlier lists from its peers before it adopts one.
"""

from attrs import define, field

from jacinthcroft_decisions.internal.coordination.history_messages import (
    HistoryReply,
    HistoryRequest,
    Outgoing,
)
from jacinthcroft_decisions.internal.coordination.messages import Outcome
from jacinthcroft_decisions.internal.coordination.parameters import (
    CoordinationParameters,
    majority_of,
)
from jacinthcroft_decisions.internal.coordination.placement import Placement
from jacinthcroft_decisions.internal.coordination.placement_history import (
    PlacementHistory,
)

_NEVER = float('-inf')


@define
class HistoryQuery:
    """One VM's question under one list revision."""

    placement: Placement
    parameters: CoordinationParameters
    _answered: set[str] = field(factory=set, init=False)
    _first_asked_at: float | None = field(default=None, init=False)
    _asked_at: float = field(default=_NEVER, init=False)

    def is_complete(self, history: PlacementHistory, now: float) -> bool:
        """Whether enough VMs answered and each list they named is known."""
        missing = [
            revision
            for revision in history.missing
            if revision < self.placement.revision
        ]
        return not missing and len(self._answered) >= self._needed(now)

    def requests(self, now: float) -> tuple[Outgoing, ...]:
        """Asks those that have not answered, once in a renewal interval."""
        if now - self._asked_at < self.parameters.renew_interval:
            return ()
        self._asked_at = now
        if self._first_asked_at is None:
            self._first_asked_at = now
        message = HistoryRequest(self.placement.revision)
        return tuple(
            Outgoing(vm, message)
            for vm in self.placement.members
            if vm not in self._answered
        )

    def receive(self, sender: str, reply: HistoryReply) -> None:
        """Counts a VM that has told its lists."""
        is_member = sender in self.placement.members
        if is_member and reply.outcome is Outcome.DONE:
            self._answered.add(sender)

    def _needed(self, now: float) -> int:
        """Returns how many answers do: all, or a majority after a wait."""
        count = len(self.placement.members)
        first_asked_at = self._first_asked_at
        if first_asked_at is None:
            return count
        if now - first_asked_at < self.parameters.abstention:
            return count
        return majority_of(count)
