"""How a VM learns that it has forgotten nothing of lists yet to come.

A VM that is no witness of a shard may become one with a later list, at a
moment when a split leaves just a majority of that list's witnesses: too few to
read back from. So after its start it observes the shard's witnesses. Each list
that was put in force has fenced a majority of every list in force before it.
A majority of one list in force that was fenced for no later list therefore
proves that no later list had got that far, and that the VM's earlier
incarnation can't have voted under any of them.

A majority answers, since the asker is none of them; each has to be whole, and
one of them installed. Answers to questions from before the end of the asker's
abstention would prove nothing; the witness asks none before.
"""

from attrs import define, field

from jacinthcroft_decisions.internal.coordination.history_messages import (
    Outgoing,
)
from jacinthcroft_decisions.internal.coordination.messages import (
    ReadBackReply,
    ReadBackRequest,
    ShardView,
)
from jacinthcroft_decisions.internal.coordination.parameters import (
    CoordinationParameters,
    majority_of,
)
from jacinthcroft_decisions.internal.coordination.witness_sets import (
    WitnessSet,
)

_NEVER = float('-inf')


@define
class LaterListCheck:
    """One shard's witnesses under one list, seen by a VM outside of them."""

    shard: int
    listed: WitnessSet
    parameters: CoordinationParameters
    _asked_at: float = field(default=_NEVER, init=False)
    _views: dict[str, ShardView] = field(factory=dict, init=False)

    @property
    def has_failed(self) -> bool:
        """Whether a later list has left a trace."""
        return any(
            fence.revision > self.listed.revision
            for view in self._views.values()
            for fence in view.fences
        )

    @property
    def has_passed(self) -> bool:
        """Whether no later list can have been in force at the VM's start."""
        if self.has_failed:
            return False
        revision = self.listed.revision
        views = self._views.values()
        whole = [view for view in views if view.is_whole_for(revision)]
        is_in_force = any(view.installed == revision for view in views)
        return is_in_force and len(whole) >= majority_of(len(self.listed.vms))

    def requests(self, incarnation: str, now: float) -> tuple[Outgoing, ...]:
        """Asks all witnesses, once in a lease term: it is not urgent."""
        if now - self._asked_at < self.parameters.lease_term:
            return ()
        self._asked_at = now
        message = ReadBackRequest(
            self.shard,
            self.listed.revision,
            incarnation,
            self.listed.vms,
            wants_records=False,
        )
        return tuple(Outgoing(vm, message) for vm in self.listed.vms)

    def receive(self, sender: str, reply: ReadBackReply) -> None:
        """Takes a witness's answer."""
        is_listed = sender in self.listed.vms
        is_wanted = is_listed and reply.revision == self.listed.revision
        if is_wanted and reply.view is not None:
            self._views[sender] = reply.view
