"""The fencing of a majority of an earlier list's witnesses.

A fenced witness refuses all list revisions below the new one. A driver, the
VM that activates a new list for a shard, fences before it installs the new
witnesses, so that the earlier lists can grant nothing more.

The replies of a majority must arrive within the claim timeout of the
requests. A witness that restarts abstains for longer than that and then reads
back from the others, so it finds the fences of the rest of the majority. If
the replies came in over a longer time, some of the fences could have been
forgotten in between.
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
    FenceReply,
    FenceRequest,
    Outcome,
    ShardView,
)
from jacinthcroft_decisions.internal.coordination.witness_sets import (
    WitnessSet,
)


@define
class FenceRound:
    """The fencing of one earlier list for one new revision."""

    shard: int
    current: WitnessSet
    earlier: WitnessSet
    config: CoordinationConfig
    _started_at: float = field(default=float('-inf'), init=False)
    _view_by_vm: dict[str, ShardView] = field(factory=dict, init=False)
    _is_complete: bool = field(default=False, init=False)

    @property
    def views(self) -> tuple[ShardView, ...]:
        """The states of the fenced witnesses."""
        return tuple(self._view_by_vm.values())

    @property
    def started_at(self) -> float:
        """When the current round's requests were sent."""
        return self._started_at

    @property
    def is_complete(self) -> bool:
        """Whether enough witnesses are fenced."""
        return self._is_complete

    def complete_without(self, removed: frozenset[str]) -> None:
        """Completes the round if only removed witnesses are not fenced.

        The remaining witnesses may be less than a majority, so every one of
        them has to report the lists that it was fenced for.
        """
        if removed.union(self._view_by_vm).issuperset(self.earlier.vms):
            self._is_complete = True

    def start_due_requests(self, now: float) -> tuple[Outgoing, ...]:
        """Starts a new round if the last one has timed out."""
        is_running = now - self._started_at <= self.config.claim_timeout
        if self.is_complete or is_running:
            return ()
        return self.restart(now)

    def restart(self, now: float) -> tuple[Outgoing, ...]:
        """Starts a new round and drops the replies to the last one."""
        self._is_complete = False
        self._started_at = now
        self._view_by_vm.clear()
        return self.requests_to(self.earlier.vms)

    def requests_to(self, witnesses: tuple[str, ...]) -> tuple[Outgoing, ...]:
        """Returns fence requests to some witnesses."""
        message = FenceRequest(
            self.shard,
            self.current.revision,
            self.current.vms,
            self.earlier,
        )
        return tuple(Outgoing(vm, message) for vm in witnesses)

    def receive(
        self,
        sender: str,
        reply: FenceReply,
        sent_at: float,
        now: float,
    ) -> None:
        """Counts a witness that was fenced in the current round."""
        if self.is_complete or sender not in self.earlier.vms:
            return
        is_late = now - self._started_at > self.config.claim_timeout
        if is_late or sent_at < self._started_at:
            return
        if reply.outcome is Outcome.DONE and reply.view is not None:
            self._view_by_vm[sender] = reply.view
            majority = majority_of(len(self.earlier.vms))
            self._is_complete = len(self._view_by_vm) >= majority
