"""How a VM proves that it has forgotten no vote under later lists.

A shard's witnesses vote under a revision of the VM list. One that is installed
at a list serves it, and one that is fenced for a list refuses all earlier
lists. Its state is whole for a list if it can't have lost a vote under it.

A VM that is no witness of a shard may become one with a later list, while a
network partition leaves no more than a majority of that list's witnesses: too
few to read back from. So after its start the VM asks the witnesses of its
current list. Each activation of a list fences a majority of every list that
was active before it. If a majority of an active list was fenced for no later
list, then no later list was active, and an earlier incarnation of this VM
can't have voted under one.

The check needs answers of a majority, since the asker is not one of the
witnesses. The state of each must be whole for the list, and one of them must
be installed at it. Answers from before the end of the asker's abstention would
prove nothing, so `Witness` sends no requests before that.
"""

from attrs import define, field

from jacinthcroft_decisions.internal.coordination.config import (
    CoordinationConfig,
    majority_of,
)
from jacinthcroft_decisions.internal.coordination.history_messages import (
    Outgoing,
)
from jacinthcroft_decisions.internal.coordination.messages import (
    ReadBackReply,
    ReadBackRequest,
    ShardView,
)
from jacinthcroft_decisions.internal.coordination.witness_sets import (
    WitnessSet,
)

_NEVER = float('-inf')


@define
class LaterListCheck:
    """The check of one shard's witnesses, run by a VM that is not one."""

    shard: int
    witness_set: WitnessSet
    config: CoordinationConfig
    _last_asked_at: float = field(default=_NEVER, init=False)
    _view_by_vm: dict[str, ShardView] = field(factory=dict, init=False)

    @property
    def has_failed(self) -> bool:
        """Whether a witness was fenced for a later list."""
        return any(
            fence.revision > self.witness_set.revision
            for view in self._view_by_vm.values()
            for fence in view.fences
        )

    @property
    def has_passed(self) -> bool:
        """Whether no later list can have been active at the VM's start."""
        if self.has_failed:
            return False
        revision = self.witness_set.revision
        views = self._view_by_vm.values()
        whole_views = [view for view in views if view.is_whole_for(revision)]
        is_active = any(view.installed == revision for view in views)
        return is_active and len(whole_views) >= majority_of(
            len(self.witness_set.vms)
        )

    def start_due_requests(
        self, incarnation: str, now: float
    ) -> tuple[Outgoing, ...]:
        """Asks all witnesses once per lease term; the check is not urgent."""
        if now - self._last_asked_at < self.config.lease_term:
            return ()
        self._last_asked_at = now
        message = ReadBackRequest(
            self.shard,
            self.witness_set.revision,
            incarnation,
            self.witness_set.vms,
            wants_records=False,
        )
        return tuple(Outgoing(vm, message) for vm in self.witness_set.vms)

    def receive(self, sender: str, reply: ReadBackReply) -> None:
        """Records a witness's answer."""
        is_listed = sender in self.witness_set.vms
        is_valid = is_listed and reply.revision == self.witness_set.revision
        if is_valid and reply.view is not None:
            self._view_by_vm[sender] = reply.view
