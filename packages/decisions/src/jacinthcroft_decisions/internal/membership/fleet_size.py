"""How many VMs the fleet has, as far as one VM knows.

A deciding VM uses a share of every limit of the fleet, which is the part of the
fleet that takes its decisions. If the estimate is too small, VMs that cannot
reach each other exceed a limit together; if it is too large, requests are
refused that the limit allows.
"""

import math
from collections.abc import Iterable
from typing import Final, Self

from attrs import define, field

# A VM counts towards the fleet's size for this long after its last poll. A VM
# that has ended can't be told from one behind a partition, which continues to
# use its share of the fleet's limits; so this is longer than most partitions.
FLEET_SIZE_MEMORY_SECONDS: Final = 300.0
# Many VMs may start at once and know none of the others yet; during this
# period after its start a VM assumes a fleet of at least this size.
MIN_FLEET_SIZE_AT_START: Final = 8
START_PERIOD_SECONDS: Final = 8.0
# The size that a VM assumes which cannot reach any other one.
LARGEST_FLEET_SIZE: Final = 300


@define
class FleetSize:
    """Counts the VMs that this one has heard of since its start.

    After the start of a whole fleet behind a partition, every group of VMs
    knows itself only. The seeds show what is missing: until all of them have
    been heard from, as many VMs are assumed behind each missing seed as there
    are, on average, behind each known one. A VM that has no contact with any
    other one assumes the largest fleet.

    Attributes:
        missing_seeds: The seeds from which this VM has heard nothing.
        seed_count: The number of seeds, this VM included if it is one.
    """

    missing_seeds: set[str] = field(factory=set)
    seed_count: int = 0
    _last_polled_at: dict[str, float] = field(factory=dict)
    _reported_size: int = 1
    _reported_at: float = -math.inf
    _has_contact: bool = False
    _has_complete_leader: bool = False
    _started_at: float | None = None

    @classmethod
    def from_seeds(cls, seeds: Iterable[str], host: str) -> Self:
        """Returns what the VM at `host` knows at its start."""
        all_seeds = set(seeds)
        return cls(all_seeds - {host}, len(all_seeds))

    def record_contact(self, host: str) -> None:
        """Records that a VM, which may be a seed, can be heard."""
        self._has_contact = True
        self.missing_seeds.discard(host)

    def record_poll(self, host: str, now: float) -> None:
        """Records that a VM follows this one."""
        self._last_polled_at[host] = now

    def record_leader(self, size: int, is_complete: bool, now: float) -> None:
        """Records the fleet size that the leader reported.

        A smaller size is ignored until the recorded one is too old: a VM that
        has just begun to lead may know fewer VMs than its predecessor.

        Args:
            size: The number of VMs that the leader knows of.
            is_complete: Whether the leader assumes no others.
            now: The current time.
        """
        self._has_complete_leader = self._has_complete_leader or is_complete
        is_outdated = now >= self._reported_at + FLEET_SIZE_MEMORY_SECONDS
        if is_outdated or size >= self._reported_size:
            self._reported_size = size
            self._reported_at = now

    def remove_outdated(self, now: float) -> None:
        """Removes the VMs whose last poll is too long ago."""
        for host, polled_at in list(self._last_polled_at.items()):
            if now > polled_at + FLEET_SIZE_MEMORY_SECONDS:
                self._last_polled_at.pop(host)

    def count_known(self, now: float) -> int:
        """Returns the number of VMs that this one knows of.

        A VM that begins to lead has seen few of the others itself, so the
        size that its last leader reported still counts.
        """
        size = len(self._last_polled_at) + 1
        if now < self._reported_at + FLEET_SIZE_MEMORY_SECONDS:
            size = max(size, self._reported_size)
        return size

    def is_complete(self, now: float) -> bool:
        """Whether the VMs that are known are taken for the whole fleet."""
        return (
            not self.missing_seeds
            or self._has_complete_leader
            or self._compute_uptime(now) >= FLEET_SIZE_MEMORY_SECONDS
        )

    def compute_share(self, follower_count: int, now: float) -> float:
        """Returns the share of each limit that a deciding VM may use.

        Args:
            follower_count: The number of VMs for which this one decides, beside
                itself.
            now: The current time.
        """
        size = self._estimate(now)
        if self._compute_uptime(now) < START_PERIOD_SECONDS:
            size = max(size, MIN_FLEET_SIZE_AT_START)
        return min(1, (follower_count + 1) / size)

    def compute_retry_share(self, follower_count: int, now: float) -> float:
        """Returns the share of each retry budget that a deciding VM may use.

        A budget has room for two deciding VMs, so a VM that decides for half
        of the fleet may use all that one may.
        """
        return min(1, 2 * (follower_count + 1) / self._estimate(now))

    def _estimate(self, now: float) -> int:
        size = self.count_known(now)
        if self.is_complete(now):
            return size
        known_seeds = self.seed_count - len(self.missing_seeds)
        if not known_seeds or not self._has_contact:
            return max(size, LARGEST_FLEET_SIZE)
        return math.ceil(size * self.seed_count / known_seeds)

    def _compute_uptime(self, now: float) -> float:
        if self._started_at is None:
            self._started_at = now
        return now - self._started_at
