"""A VM's role as witness of the shards that VM lists assign to it.

A witness votes on leases, which let one VM at a time use a shard, and on
claims, which let a VM run the request with an idempotency key. For each shard
it serves one revision of the VM list at a time. The driver of a newer list,
the VM that activates it, fences the witnesses of earlier lists, which then
refuse all lower revisions, and installs the witnesses of the new list. A
witness sends its state to drivers and restarted witnesses.

All state is in memory. An incarnation of a VM, which lasts from one start to
the next, first reads back from the other witnesses what an earlier one may
have known. State is whole for a list if no vote under it can have been lost.
"""

from attrs import define, field

from jacinthcroft_decisions.internal.coordination import claim_votes
from jacinthcroft_decisions.internal.coordination.config import (
    CoordinationConfig,
)
from jacinthcroft_decisions.internal.coordination.history_messages import (
    CoordinationReply,
    CoordinationRequest,
    Outgoing,
)
from jacinthcroft_decisions.internal.coordination.later_list_check import (
    LaterListCheck,
)
from jacinthcroft_decisions.internal.coordination.messages import ReadBackReply
from jacinthcroft_decisions.internal.coordination.placement import Placement
from jacinthcroft_decisions.internal.coordination.recovery import ReadBack
from jacinthcroft_decisions.internal.coordination.witness_handlers import (
    handle,
)
from jacinthcroft_decisions.internal.coordination.witness_sets import (
    WitnessSet,
)
from jacinthcroft_decisions.internal.coordination.witness_state import (
    WitnessState,
)

_EVICTION_INTERVAL_SECONDS = 5.0
_READ_BACK_LIST_COUNT = 4  # Read-backs of older lists are dropped.


@define
class Witness:
    """One incarnation of a VM as a witness.

    `started_at` is on the boot clock, `started_wall_time` in Unix seconds.
    """

    vm: str
    incarnation: str
    started_at: float
    started_wall_time: float
    config: CoordinationConfig
    _state: WitnessState = field(init=False)
    _last_evicted_at: float = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        """Creates the empty state."""
        self._state = WitnessState(
            self.vm,
            self.incarnation,
            self.started_at,
            self.started_wall_time,
            self.config,
        )

    @property
    def record_count(self) -> int:
        """The number of claim records of all shards."""
        return sum(
            len(shard_state.records)
            for shard_state in self._state.shards.values()
        )

    @property
    def is_recovered(self) -> bool:
        """Whether all read-backs for the newest adopted list are complete."""
        return self._state.placement is not None and all(
            revision != self._state.adopted_revision
            for _, revision in self._state.read_backs
        )

    def adopt(self, placement: Placement, now: float) -> None:
        """Adopts a newer list; ignores an older or equal one.

        The first list should be the newest that the VM's peers know, because
        the witness refuses all revisions below it.
        """
        state = self._state
        if placement.revision <= state.adopted_revision:
            return
        if state.placement is None:
            state.fence_below_first(placement)
        state.placement = placement
        state.revisions.add(placement.revision)
        for shard in range(state.config.shard_count):
            witnesses = placement.witnesses(shard)
            state.start_read_back(shard, placement.revision, witnesses)
            state.start_later_list_check(
                shard,
                WitnessSet(placement.revision, witnesses),
            )
        self._drop_old_read_backs()

    def learn_history(self, placements: tuple[Placement, ...]) -> None:
        """Records the revisions of earlier lists, for history requests."""
        revisions = (placement.revision for placement in placements)
        self._state.revisions.update(revisions)

    def handle(
        self,
        message: CoordinationRequest,
        now: float,
        wall_time: float,
    ) -> CoordinationReply:
        """Answers a request.

        Args:
            message: the request.
            now: the time on the boot clock.
            wall_time: the same time in Unix seconds.
        """
        return handle(self._state, message, now, wall_time)

    def tick(self, now: float) -> tuple[Outgoing, ...]:
        """Evicts records, ends read-backs and returns the requests due."""
        self._evict_old_records(now)
        if self._state.is_abstaining(now):
            return ()
        read_backs = self._state.read_backs
        for read_back in tuple(read_backs.values()):
            self._complete_read_back(read_back, now)
        self._end_later_list_checks(now)
        pending: tuple[ReadBack | LaterListCheck, ...] = (
            *read_backs.values(),
            *self._state.later_list_checks.values(),
        )
        return tuple(
            outgoing
            for operation in pending
            for outgoing in operation.start_due_requests(self.incarnation, now)
        )

    def receive(
        self,
        sender: str,
        reply: CoordinationReply,
        now: float,
    ) -> None:
        """Processes the reply to a request that `tick` returned."""
        if not isinstance(reply, ReadBackReply):
            return
        if reply.incarnation != self.incarnation:
            return
        check = self._state.later_list_checks.get(reply.shard)
        if check is not None:
            check.receive(sender, reply)
        read_back = self._state.read_backs.get((reply.shard, reply.revision))
        if read_back is None:
            return
        read_back.receive(sender, reply)
        self._complete_read_back(read_back, now)

    def _complete_read_back(self, read_back: ReadBack, now: float) -> None:
        """Adopts what was read back once enough witnesses have answered.

        After the key retention, when earlier votes no longer matter, the
        answers received so far are enough.
        """
        state = self._state
        has_enough_answers = state.is_past_key_retention(
            now
        ) or read_back.is_complete(now)
        if state.is_abstaining(now) or not has_enough_answers:
            return
        shard_state = state.shard_state(read_back.shard)
        for view in read_back.views:
            for fence in view.fences:
                shard_state.fence(fence)
        shard_state.note_whole(
            read_back.revision,
            read_back.is_conclusive,
            state.config.history_limit,
        )
        installed_views = read_back.installed_views
        is_already_installed = shard_state.installed >= read_back.revision
        if (
            installed_views
            and not is_already_installed
            and not shard_state.is_stale(read_back.revision)
        ):
            vouch_from = read_back.vouch_from(state.newest_earlier_key_time)
            witnesses = WitnessSet(read_back.revision, read_back.witnesses)
            shard_state.restore(witnesses, vouch_from, installed_views)
            # This witness does not know whose lease may still be running.
            shard_state.lease.block(now + state.config.abstention)
        state.read_backs.pop((read_back.shard, read_back.revision))

    def _end_later_list_checks(self, now: float) -> None:
        """Ends checks that have passed, failed or become unnecessary.

        A later-list check proves, for a shard of which this VM is no witness,
        that no vote under lists later than the checked one can be lost.
        """
        state = self._state
        for shard, check in tuple(state.later_list_checks.items()):
            if check.has_passed:
                revision = check.witness_set.revision
                state.shard_state(shard).note_whole_above(revision)
            is_decided = check.has_passed or check.has_failed
            if is_decided or state.is_past_key_retention(now):
                state.later_list_checks.pop(shard)

    def _drop_old_read_backs(self) -> None:
        """Keeps only the read-backs of the newest lists.

        A driver that still needs an older one repeats its fence request,
        which starts the read-back again.
        """
        state = self._state
        kept_revisions = sorted(state.revisions)[-_READ_BACK_LIST_COUNT:]
        state.read_backs = {
            (shard, revision): read_back
            for (shard, revision), read_back in state.read_backs.items()
            if revision >= kept_revisions[0]
        }

    def _evict_old_records(self, now: float) -> None:
        if now - self._last_evicted_at < _EVICTION_INTERVAL_SECONDS:
            return
        self._last_evicted_at = now
        wall_time = self._state.to_wall_time(now)
        for shard_state in self._state.shards.values():
            shard_state.records = {
                key: record
                for key, record in shard_state.records.items()
                if claim_votes.is_kept(record, wall_time, self._state.config)
            }
