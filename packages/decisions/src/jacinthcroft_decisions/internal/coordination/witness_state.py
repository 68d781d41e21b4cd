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
from jacinthcroft_decisions.internal.coordination.shard_memory import (
    ShardMemory,
)
from jacinthcroft_decisions.internal.coordination.witness_sets import (
    WitnessSet,
)


@define
class WitnessState:
    """One incarnation's memory of all shards.

    `started_at` is on the boot clock, `started_wall` in unix seconds.
    """

    vm: str
    incarnation: str
    started_at: float
    started_wall: float
    parameters: CoordinationParameters
    placement: Placement | None = field(default=None, init=False)
    first_placement: Placement | None = field(default=None, init=False)
    revisions: set[int] = field(factory=set, init=False)
    shards: dict[int, ShardMemory] = field(factory=dict, init=False)
    read_backs: dict[tuple[int, int], ReadBack] = field(
        factory=dict,
        init=False,
    )

    later_list_checks: dict[int, LaterListCheck] = field(
        factory=dict, init=False
    )

    @property
    def start_wall_limit(self) -> float:
        """The latest key time that an earlier incarnation may have met."""
        return self.started_wall + self.parameters.vouch_margin

    @property
    def adopted(self) -> int:
        """The revision of the newest adopted list, 0 before any."""
        return self.placement.revision if self.placement else 0

    def is_abstaining(self, now: float) -> bool:
        """Whether an earlier incarnation's votes may still count."""
        if self.placement is None:
            return True
        return now < self.started_at + self.parameters.abstention

    def is_long_up(self, now: float) -> bool:
        """Whether nothing that an earlier incarnation knew matters now."""
        return now >= self.started_at + self.parameters.key_retention

    def is_whole_for(self, shard: int, revision: int, now: float) -> bool:
        """Whether no vote under the revision can have been forgotten."""
        if self.is_long_up(now):
            return True
        return self.memory(shard).is_whole_for(revision)

    def view(
        self,
        shard: int,
        now: float,
        *,
        has_records: bool = True,
    ) -> ShardView:
        """Returns what others may know of a shard."""
        return self.memory(shard).view(
            now,
            self.parameters.handover_body_limit,
            self.is_long_up(now),
            has_records=has_records,
        )

    def plan_read_back(
        self,
        shard: int,
        revision: int,
        witnesses: tuple[str, ...],
    ) -> None:
        """Starts to read back what may be lost of a list's votes."""
        is_whole = revision in self.memory(shard).whole_at
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
        is_wanted = self.memory(shard).needs_later_list_check and listed.vms
        if is_wanted and self.vm not in listed.vms:
            self.later_list_checks[shard] = LaterListCheck(
                shard, listed, self.parameters
            )

    def memory(self, shard: int) -> ShardMemory:
        """Returns the shard's memory, a new one being fenced at the list."""
        known = self.shards.get(shard)
        if known is None:
            known = ShardMemory(self.start_wall_limit)
            self.shards[shard] = known
            self._fence_at_first(shard, known)
        return known

    def newest(self, shard: int) -> int:
        """Returns the highest revision met for the shard."""
        return max(self.memory(shard).newest, self.adopted)

    def wall(self, now: float) -> float:
        """Returns unix seconds at a time of the boot clock."""
        return self.started_wall + (now - self.started_at)

    def adopt_first(self, placement: Placement) -> None:
        """Refuses whatever is below the first list of this incarnation."""
        self.first_placement = placement
        for shard, memory in self.shards.items():
            self._fence_at_first(shard, memory)

    def _fence_at_first(self, shard: int, memory: ShardMemory) -> None:
        if self.first_placement is not None:
            memory.fence(
                WitnessSet.from_placement(self.first_placement, shard),
            )
