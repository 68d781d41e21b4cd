"""The state of a witness: its lists, shards, read-backs and checks.

A witness is a VM that votes on the leases and claims of a shard. All its state
is in memory, so each incarnation of the VM, which lasts from one start to the
next, begins without any. A read-back asks a shard's other witnesses for the
votes under one revision of the VM list; state is whole for the revision if no
vote under it can be missing. A later-list check proves, for a shard of which
the VM is no witness, that no vote under later lists can be missing. A fence
makes a witness refuse all lower revisions of the list.
"""

from attrs import define, field

from jacinthcroft_decisions.internal.coordination.config import (
    CoordinationConfig,
)
from jacinthcroft_decisions.internal.coordination.later_list_check import (
    LaterListCheck,
)
from jacinthcroft_decisions.internal.coordination.messages import ShardView
from jacinthcroft_decisions.internal.coordination.placement import Placement
from jacinthcroft_decisions.internal.coordination.recovery import ReadBack
from jacinthcroft_decisions.internal.coordination.shard_state import (
    ShardState,
)
from jacinthcroft_decisions.internal.coordination.witness_sets import (
    WitnessSet,
)


@define
class WitnessState:
    """The state that one incarnation of a VM keeps as a witness.

    `started_at` is on the boot clock, `started_wall_time` in Unix seconds.
    `placement` is the newest adopted list's, `first_placement` the first one's.
    `revisions` are those of all lists that the VM has adopted or learned of.
    `shards` and `later_list_checks` are keyed by shard, `read_backs` by shard
    and list revision.
    """

    vm: str
    incarnation: str
    started_at: float
    started_wall_time: float
    config: CoordinationConfig
    placement: Placement | None = field(default=None, init=False)
    first_placement: Placement | None = field(default=None, init=False)
    revisions: set[int] = field(factory=set, init=False)
    shards: dict[int, ShardState] = field(factory=dict, init=False)
    read_backs: dict[tuple[int, int], ReadBack] = field(
        factory=dict,
        init=False,
    )

    later_list_checks: dict[int, LaterListCheck] = field(
        factory=dict, init=False
    )

    @property
    def newest_earlier_key_time(self) -> float:
        """The latest key time that an earlier incarnation may have seen."""
        return self.started_wall_time + self.config.vouch_margin

    @property
    def adopted_revision(self) -> int:
        """The revision of the newest adopted list, 0 without a list."""
        return self.placement.revision if self.placement else 0

    def is_abstaining(self, now: float) -> bool:
        """Whether the witness must not vote yet.

        It abstains while votes of an earlier incarnation may still count.
        """
        if self.placement is None:
            return True
        return now < self.started_at + self.config.abstention

    def is_past_key_retention(self, now: float) -> bool:
        """Whether the witness has run for longer than the key retention.

        Votes of an earlier incarnation then no longer matter.
        """
        return now >= self.started_at + self.config.key_retention

    def is_whole_for(self, shard: int, revision: int, now: float) -> bool:
        """Whether no vote under the revision can have been forgotten."""
        if self.is_past_key_retention(now):
            return True
        return self.shard_state(shard).is_whole_for(revision)

    def view(
        self,
        shard: int,
        now: float,
        *,
        has_records: bool = True,
    ) -> ShardView:
        """Returns the shard's state as it is sent to other VMs.

        `has_records` tells whether claim records are included.
        """
        return self.shard_state(shard).view(
            now,
            self.config.transfer_body_limit,
            self.is_past_key_retention(now),
            has_records=has_records,
        )

    def start_read_back(
        self,
        shard: int,
        revision: int,
        witnesses: tuple[str, ...],
    ) -> None:
        """Starts to read back votes that a restart may have lost.

        Concerns the votes for one shard under one list revision. Does nothing
        if none of them can be lost, if a read-back is already running, or if
        this VM is not among the witnesses.
        """
        is_whole = revision in self.shard_state(shard).whole_at
        is_running = (shard, revision) in self.read_backs
        if is_whole or is_running or self.vm not in witnesses:
            return
        self.read_backs[shard, revision] = ReadBack(
            shard,
            revision,
            self.vm,
            witnesses,
            self.config,
        )

    def start_later_list_check(
        self, shard: int, witness_set: WitnessSet
    ) -> None:
        """Starts the check for later lists if this VM is no witness.

        A VM that is a witness under the adopted list keeps a check that it
        started under an earlier list.
        """
        is_needed = (
            self.shard_state(shard).needs_later_list_check and witness_set.vms
        )
        if is_needed and self.vm not in witness_set.vms:
            self.later_list_checks[shard] = LaterListCheck(
                shard, witness_set, self.config
            )

    def shard_state(self, shard: int) -> ShardState:
        """Returns the state of a shard, created and fenced on first use."""
        shard_state = self.shards.get(shard)
        if shard_state is None:
            shard_state = ShardState(self.newest_earlier_key_time)
            self.shards[shard] = shard_state
            self._fence_shard_below_first(shard, shard_state)
        return shard_state

    def newest_revision(self, shard: int) -> int:
        """Returns the highest revision known for the shard."""
        return max(self.shard_state(shard).newest_fence, self.adopted_revision)

    def to_wall_time(self, now: float) -> float:
        """Converts a time on the boot clock to Unix seconds."""
        return self.started_wall_time + (now - self.started_at)

    def fence_below_first(self, placement: Placement) -> None:
        """Refuses all revisions below this incarnation's first list."""
        self.first_placement = placement
        for shard, shard_state in self.shards.items():
            self._fence_shard_below_first(shard, shard_state)

    def _fence_shard_below_first(
        self, shard: int, shard_state: ShardState
    ) -> None:
        if self.first_placement is not None:
            shard_state.fence(
                WitnessSet.from_placement(self.first_placement, shard),
            )
