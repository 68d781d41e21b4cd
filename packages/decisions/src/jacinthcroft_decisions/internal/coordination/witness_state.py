"""What a witness keeps, apart from how it answers."""

from attrs import define, field

from jacinthcroft_decisions.internal.coordination.later_list_check import (
    LaterListCheck,
)
from jacinthcroft_decisions.internal.coordination.messages import ShardView
from jacinthcroft_decisions.internal.coordination.parameters import (
    CoordinationParameters,
)
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
    """One incarnation's memory of all shards.

    `started_at` is on the boot clock, `started_wall_time` in unix seconds.
    """

    vm: str
    incarnation: str
    started_at: float
    started_wall_time: float
    parameters: CoordinationParameters
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
        """The latest key time that an earlier incarnation may have met."""
        return self.started_wall_time + self.parameters.vouch_margin

    @property
    def adopted_revision(self) -> int:
        """The revision of the newest adopted list, 0 before any."""
        return self.placement.revision if self.placement else 0

    def is_abstaining(self, now: float) -> bool:
        """Whether an earlier incarnation's votes may still count."""
        if self.placement is None:
            return True
        return now < self.started_at + self.parameters.abstention

    def is_past_key_retention(self, now: float) -> bool:
        """Whether nothing that an earlier incarnation knew matters now."""
        return now >= self.started_at + self.parameters.key_retention

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
        """Returns what others may know of a shard."""
        return self.shard_state(shard).view(
            now,
            self.parameters.transfer_body_limit,
            self.is_past_key_retention(now),
            has_records=has_records,
        )

    def plan_read_back(
        self,
        shard: int,
        revision: int,
        witnesses: tuple[str, ...],
    ) -> None:
        """Starts to read back what may be lost of a list's votes."""
        is_whole = revision in self.shard_state(shard).whole_at
        is_planned = (shard, revision) in self.read_backs
        if is_whole or is_planned or self.vm not in witnesses:
            return
        self.read_backs[shard, revision] = ReadBack(
            shard,
            revision,
            self.vm,
            witnesses,
            self.parameters,
        )

    def plan_later_list_check(self, shard: int, listed: WitnessSet) -> None:
        """Starts to observe the witnesses of an adopted list from outside.

        One of an earlier list goes on when this VM is a witness now.
        """
        is_wanted = (
            self.shard_state(shard).needs_later_list_check and listed.vms
        )
        if is_wanted and self.vm not in listed.vms:
            self.later_list_checks[shard] = LaterListCheck(
                shard, listed, self.parameters
            )

    def shard_state(self, shard: int) -> ShardState:
        """Returns the state of a shard, created and fenced on first use."""
        known = self.shards.get(shard)
        if known is None:
            known = ShardState(self.newest_earlier_key_time)
            self.shards[shard] = known
            self._fence_shard_below_first(shard, known)
        return known

    def newest_revision(self, shard: int) -> int:
        """Returns the highest revision met for the shard."""
        return max(self.shard_state(shard).newest, self.adopted_revision)

    def wall_time(self, now: float) -> float:
        """Returns unix seconds at a time of the boot clock."""
        return self.started_wall_time + (now - self.started_at)

    def fence_below_first(self, placement: Placement) -> None:
        """Refuses whatever is below the first list of this incarnation."""
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
