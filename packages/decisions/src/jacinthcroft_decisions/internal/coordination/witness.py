"""A VM's part as a witness of the shards that lists have given it.

A witness votes for claims and leases, and answers for one list revision of a
shard at a time. It refuses what is fenced, grants what is free and tells
what it knows. After a restart it first reads back what it may have lost.
"""

from attrs import define, field

from jacinthcroft_decisions.internal.coordination import claim_votes
from jacinthcroft_decisions.internal.coordination.history_messages import (
    CoordinationReply,
    CoordinationRequest,
    Outgoing,
)
from jacinthcroft_decisions.internal.coordination.messages import ReadBackReply
from jacinthcroft_decisions.internal.coordination.placement import Placement
from jacinthcroft_decisions.internal.coordination.recovery import ReadBack
from jacinthcroft_decisions.internal.coordination.terms import (
    CoordinationTerms,
)
from jacinthcroft_decisions.internal.coordination.witness_handlers import (
    handle,
)
from jacinthcroft_decisions.internal.coordination.witness_state import (
    WitnessState,
)

_EVICTION_INTERVAL_SECONDS = 5.0


@define
class Witness:
    """One incarnation of a VM as a witness.

    `started_at` is on the boot clock, `started_wall` in unix seconds.
    """

    vm: str
    incarnation: str
    started_at: float
    started_wall: float
    terms: CoordinationTerms
    _state: WitnessState = field(init=False)
    _read_backs: dict[int, ReadBack] = field(factory=dict, init=False)
    _evicted_at: float = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        """Starts without memory."""
        self._state = WitnessState(
            self.vm,
            self.incarnation,
            self.started_at,
            self.started_wall,
            self.terms,
        )

    @property
    def record_count(self) -> int:
        """How many claim records are kept over all shards."""
        return sum(
            len(memory.records) for memory in self._state.shards.values()
        )

    def adopt(self, placement: Placement, now: float) -> None:
        """Takes a newer list; an older or equal one changes nothing.

        The first one should be the newest that the VM's peers know: all
        revisions below it are refused.
        """
        state = self._state
        if placement.revision <= state.adopted:
            return
        if state.placement is None:
            state.first_revision = placement.revision
        state.placement = placement
        state.revisions.add(placement.revision)
        self._plan_read_backs(placement)

    def learn_history(self, placements: tuple[Placement, ...]) -> None:
        """Notes earlier lists, to tell of them when asked."""
        known = (placement.revision for placement in placements)
        self._state.revisions.update(known)

    def handle(
        self,
        message: CoordinationRequest,
        now: float,
        wall: float,
    ) -> CoordinationReply:
        """Answers a request at `now` of the boot clock, `wall` unix time."""
        return handle(self._state, message, now, wall)

    def tick(self, now: float) -> tuple[Outgoing, ...]:
        """Returns the read-back requests that are due; evicts old records."""
        self._evict(now)
        if self._state.is_abstaining(now):
            return ()
        incarnation = self._state.incarnation
        for read_back in tuple(self._read_backs.values()):
            self._finish(read_back)
        return tuple(
            outgoing
            for unfinished in self._read_backs.values()
            for outgoing in unfinished.requests(incarnation, now)
        )

    def receive(
        self,
        sender: str,
        reply: CoordinationReply,
        now: float,
    ) -> None:
        """Takes the reply to a request that `tick` returned."""
        if not isinstance(reply, ReadBackReply):
            return
        read_back = self._read_backs.get(reply.shard)
        is_current = reply.incarnation == self._state.incarnation
        if read_back is None or not is_current:
            return
        if read_back.revision == reply.revision:
            read_back.receive(sender, reply)
            self._finish(read_back)

    def _plan_read_backs(self, placement: Placement) -> None:
        state = self._state
        self._read_backs.clear()
        for shard in range(state.terms.shard_count):
            witnesses = placement.witnesses(shard)
            if state.vm in witnesses and not state.memory(shard).is_recovered:
                self._read_backs[shard] = ReadBack(
                    shard,
                    placement.revision,
                    tuple(vm for vm in witnesses if vm != state.vm),
                    state.terms,
                )

    def _finish(self, read_back: ReadBack) -> None:
        """Takes over what was read back, once enough others have answered."""
        if not read_back.is_complete:
            return
        memory = self._state.memory(read_back.shard)
        for view in read_back.views:
            memory.fences.update(view.fences)
        views = read_back.installed_views()
        is_served = memory.installed >= read_back.revision
        is_stale = memory.is_stale(read_back.revision)
        if views and not is_served and not is_stale:
            vouch_from = read_back.vouch_from(self._state.start_wall_limit)
            memory.restore(read_back.revision, vouch_from, views)
        memory.is_recovered = True
        self._read_backs.pop(read_back.shard)

    def _evict(self, now: float) -> None:
        if now - self._evicted_at < _EVICTION_INTERVAL_SECONDS:
            return
        self._evicted_at = now
        wall = self._state.wall(now)
        for memory in self._state.shards.values():
            memory.records = {
                key: record
                for key, record in memory.records.items()
                if claim_votes.is_kept(record, wall, self._state.terms)
            }
