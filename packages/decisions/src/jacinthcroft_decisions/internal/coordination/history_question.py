"""The question to a list's VMs which other lists they have met.

A driver that finds no earlier list in force may be too young to know of one.
Only when a majority of its list's VMs has told what it met, and every list
that they named is known here, does the fleet start cold.
"""

from attrs import define, field

from jacinthcroft_decisions.internal.coordination.history import (
    PlacementHistory,
)
from jacinthcroft_decisions.internal.coordination.history_messages import (
    HistoryReply,
    HistoryRequest,
    Outgoing,
)
from jacinthcroft_decisions.internal.coordination.messages import Outcome
from jacinthcroft_decisions.internal.coordination.placement import Placement
from jacinthcroft_decisions.internal.coordination.terms import (
    CoordinationTerms,
    majority_of,
)

_NEVER = float('-inf')


@define
class HistoryQuestion:
    """One VM's question under one list revision."""

    placement: Placement
    terms: CoordinationTerms
    _answered: set[str] = field(factory=set, init=False)
    _asked_at: float = field(default=_NEVER, init=False)

    def is_complete(self, history: PlacementHistory) -> bool:
        """Whether a majority answered and each list it named is known."""
        members = self.placement.members
        missing = [
            revision
            for revision in history.missing
            if revision < self.placement.revision
        ]
        return len(self._answered) >= majority_of(len(members)) and not missing

    def requests(self, now: float) -> tuple[Outgoing, ...]:
        """Asks those that have not answered, once in a renewal interval."""
        if now - self._asked_at < self.terms.renew_interval:
            return ()
        self._asked_at = now
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
