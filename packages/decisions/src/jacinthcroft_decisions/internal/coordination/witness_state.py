"""What a witness keeps, apart from how it answers."""

from attrs import define, field

from jacinthcroft_decisions.internal.coordination.placement import Placement
from jacinthcroft_decisions.internal.coordination.shard_memory import (
    ShardMemory,
)
from jacinthcroft_decisions.internal.coordination.terms import (
    CoordinationTerms,
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
    terms: CoordinationTerms
    placement: Placement | None = field(default=None, init=False)
    first_revision: int = field(default=0, init=False)
    revisions: set[int] = field(factory=set, init=False)
    shards: dict[int, ShardMemory] = field(factory=dict, init=False)

    @property
    def start_wall_limit(self) -> float:
        """The latest key time that an earlier incarnation may have met."""
        return self.started_wall + self.terms.vouch_margin

    @property
    def adopted(self) -> int:
        """The revision of the newest adopted list, 0 before any."""
        return self.placement.revision if self.placement else 0

    def is_abstaining(self, now: float) -> bool:
        """Whether an earlier incarnation's votes may still count."""
        if self.placement is None:
            return True
        return now < self.started_at + self.terms.abstention

    def is_long_up(self, now: float) -> bool:
        """Whether nothing that an earlier incarnation knew matters now."""
        return now >= self.started_at + self.terms.key_retention

    def memory(self, shard: int) -> ShardMemory:
        """Returns the shard's memory, a new one being fenced at the list."""
        known = self.shards.get(shard)
        if known is None:
            known = ShardMemory(self.start_wall_limit)
            known.fences.add(self.first_revision)
            self.shards[shard] = known
        return known

    def newest(self, shard: int) -> int:
        """Returns the highest revision met for the shard."""
        return max(self.memory(shard).newest, self.adopted)

    def wall(self, now: float) -> float:
        """Returns unix seconds at a time of the boot clock."""
        return self.started_wall + (now - self.started_at)
