"""One attempt to fence a majority of an earlier list's witnesses.

The replies of a majority must come within the claim timeout of asking. A
witness that restarts abstains for longer and then reads back from the
others, so it finds the fences of the rest of the majority. A majority that
was gathered over a longer time could have been forgotten in part.
"""

from attrs import define, field

from jacinthcroft_decisions.internal.coordination.history_messages import (
    Outgoing,
)
from jacinthcroft_decisions.internal.coordination.messages import (
    FenceReply,
    FenceRequest,
    Outcome,
    ShardView,
)
from jacinthcroft_decisions.internal.coordination.parameters import (
    CoordinationParameters,
    majority_of,
)
from jacinthcroft_decisions.internal.coordination.witness_sets import (
    WitnessSet,
)


@define
class FenceRound:
    """The fences of one earlier list at one new revision."""

    shard: int
    current: WitnessSet
    earlier: WitnessSet
    parameters: CoordinationParameters
    _started_at: float = field(default=float('-inf'), init=False)
    _view_by_vm: dict[str, ShardView] = field(factory=dict, init=False)
    _is_complete: bool = field(default=False, init=False)

    @property
    def views(self) -> tuple[ShardView, ...]:
        """What the fenced witnesses knew."""
        return tuple(self._view_by_vm.values())

    @property
    def started_at(self) -> float:
        """When the witnesses were asked last."""
        return self._started_at

    @property
    def is_complete(self) -> bool:
        """Whether a majority was fenced within one round."""
        return self._is_complete

    def complete_without(self, removed: frozenset[str]) -> None:
        """Does without witnesses that are removed, once all others are fenced.

        A majority of the others may not be left, so each of them has to tell
        which lists it was fenced for.
        """
        if removed.union(self._view_by_vm).issuperset(self.earlier.vms):
            self._is_complete = True

    def requests(self, now: float) -> tuple[Outgoing, ...]:
        """Returns a new round's requests when the last one has failed."""
        is_running = now - self._started_at <= self.parameters.claim_timeout
        if self.is_complete or is_running:
            return ()
        return self.restart(now)

    def restart(self, now: float) -> tuple[Outgoing, ...]:
        """Starts a new round, whatever the last one brought."""
        self._is_complete = False
        self._started_at = now
        self._view_by_vm.clear()
        return self.requests_to(self.earlier.vms)

    def requests_to(self, witnesses: tuple[str, ...]) -> tuple[Outgoing, ...]:
        """Returns the question to some witnesses again."""
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
        """Counts a witness that was fenced in this round."""
        if self.is_complete or sender not in self.earlier.vms:
            return
        is_late = now - self._started_at > self.parameters.claim_timeout
        if is_late or sent_at < self._started_at:
            return
        if reply.outcome is Outcome.DONE and reply.view is not None:
            self._view_by_vm[sender] = reply.view
            majority = majority_of(len(self.earlier.vms))
            self._is_complete = len(self._view_by_vm) >= majority
