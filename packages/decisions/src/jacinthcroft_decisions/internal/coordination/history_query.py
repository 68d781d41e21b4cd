"""A query to the VMs of a list for the other lists that they have seen.

The driver of a list is the VM that activates it: it makes the list's witnesses
serve it, with the records that it collects under earlier lists.

A driver that finds no earlier active list may have started too recently to
know of it. It starts the fleet cold, without earlier records, only when every
VM of its list has answered, or a majority has and the others have been silent
for one abstention, and when it has each list that they named. An abstention is
the time for which a restarted witness does not vote.

Limit: if most of a list's VMs are new, and those that know the previous list
can't be reached, nobody names it. A VM that starts should therefore learn the
earlier lists from its peers before it adopts one.
"""

from attrs import define, field

from jacinthcroft_decisions.internal.coordination.config import (
    CoordinationConfig,
    majority_of,
)
from jacinthcroft_decisions.internal.coordination.history_messages import (
    HistoryReply,
    HistoryRequest,
    Outgoing,
)
from jacinthcroft_decisions.internal.coordination.messages import Outcome
from jacinthcroft_decisions.internal.coordination.placement import Placement
from jacinthcroft_decisions.internal.coordination.placement_history import (
    PlacementHistory,
)

_NEVER = float('-inf')


@define
class HistoryQuery:
    """One VM's query under one list revision."""

    placement: Placement
    config: CoordinationConfig
    _answered: set[str] = field(factory=set, init=False)
    _first_asked_at: float | None = field(default=None, init=False)
    _last_asked_at: float = field(default=_NEVER, init=False)

    def is_complete(self, history: PlacementHistory, now: float) -> bool:
        """Whether enough VMs answered and each list they named is known."""
        missing = [
            revision
            for revision in history.missing
            if revision < self.placement.revision
        ]
        return not missing and len(self._answered) >= self._quorum(now)

    def start_due_requests(self, now: float) -> tuple[Outgoing, ...]:
        """Asks the VMs that have not answered, once per renewal interval."""
        if now - self._last_asked_at < self.config.renew_interval:
            return ()
        self._last_asked_at = now
        if self._first_asked_at is None:
            self._first_asked_at = now
        message = HistoryRequest(self.placement.revision)
        return tuple(
            Outgoing(vm, message)
            for vm in self.placement.members
            if vm not in self._answered
        )

    def receive(self, sender: str, reply: HistoryReply) -> None:
        """Counts a VM that has answered with its lists."""
        is_member = sender in self.placement.members
        if is_member and reply.outcome is Outcome.DONE:
            self._answered.add(sender)

    def _quorum(self, now: float) -> int:
        """Returns how many answers suffice: all, or a majority after a wait."""
        count = len(self.placement.members)
        first_asked_at = self._first_asked_at
        if first_asked_at is None:
            return count
        if now - first_asked_at < self.config.abstention:
            return count
        return majority_of(count)
