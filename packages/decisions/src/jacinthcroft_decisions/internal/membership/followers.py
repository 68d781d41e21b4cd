"""The VMs that take their decisions from this one, and the fleet's size."""

import math
from typing import Final

from attrs import define, field

from jacinthcroft_decisions.internal.membership.peers import Peer

# A follower that has not polled for this long is removed.
FOLLOWER_TIMEOUT_SECONDS: Final = 2.0
# A VM counts towards the fleet's size for this long after its last poll. A VM
# that has ended can't be told from one behind a partition, which continues to
# use its share of the fleet's limits; so this is longer than most partitions.
FLEET_SIZE_MEMORY_SECONDS: Final = 300.0
# Many VMs may start at once and know none of the others yet; during this
# period after its start a VM assumes a fleet of at least this size.
MIN_FLEET_SIZE_AT_START: Final = 8
START_PERIOD_SECONDS: Final = 8.0
# How many followers are named as possible next leaders.
MAX_SUCCESSORS: Final = 3
# How many followers the reply to a poll names.
HOSTS_PER_REPLY: Final = 3


@define
class Followers:
    """The VMs that poll this one as their leader, by host."""

    _peers: dict[str, Peer] = field(factory=dict)
    _polled_at: dict[str, float] = field(factory=dict)
    _last_seen_at: dict[str, float] = field(factory=dict)
    _departed_hosts: list[str] = field(factory=list)
    _reported_size: int = 1
    _reported_at: float = -math.inf
    _next_index_by_polling_host: dict[str, int] = field(factory=dict)
    _started_at: float | None = None
    _best_successors: tuple[str, ...] | None = None

    @property
    def count(self) -> int:
        """The number of followers."""
        return len(self._peers)

    def is_follower(self, host: str) -> bool:
        """Whether a VM follows this one."""
        return host in self._peers

    def hosts(self) -> tuple[str, ...]:
        """Returns the hosts of all followers."""
        return tuple(self._peers)

    def zone_of(self, host: str) -> str:
        """Returns a follower's zone, or '' if the VM does not follow."""
        peer = self._peers.get(host)
        return peer.zone if peer else ''

    def record_poll(self, peer: Peer, now: float) -> None:
        """Records a follower's poll.

        A follower whose incarnation has changed has restarted, so the host is
        listed as departed once, on behalf of the former process.
        """
        known = self._peers.get(peer.host)
        if known is not None and known.incarnation != peer.incarnation:
            self._departed_hosts.append(peer.host)
        if known != peer:
            self._best_successors = None
        self._peers[peer.host] = peer
        self._polled_at[peer.host] = now
        self._last_seen_at[peer.host] = now

    def remove(self, host: str) -> None:
        """Removes a VM that no longer follows this one."""
        if self._peers.pop(host, None) is not None:
            self._best_successors = None
            self._polled_at.pop(host)
            self._next_index_by_polling_host.pop(host, None)
            self._departed_hosts.append(host)

    def remove_silent(self, now: float) -> None:
        """Removes followers that have stopped polling."""
        for host, polled_at in list(self._polled_at.items()):
            if now > polled_at + FOLLOWER_TIMEOUT_SECONDS:
                self.remove(host)
        for host, seen_at in list(self._last_seen_at.items()):
            if now > seen_at + FLEET_SIZE_MEMORY_SECONDS:
                self._last_seen_at.pop(host)

    def pop_departed_hosts(self) -> list[str]:
        """Returns the hosts whose VM restarted or left since the last call."""
        departed = self._departed_hosts
        self._departed_hosts = []
        return departed

    def best_successors(self) -> tuple[str, ...]:
        """Returns the followers that should lead next, best first.

        The best-ranked follower of each zone comes before all others, so that
        the loss of one zone leaves a successor.
        """
        if self._best_successors is None:
            self._best_successors = self._rank_successors()
        return self._best_successors

    def next_hosts_for(self, polling_host: str) -> tuple[str, ...]:
        """Returns the hosts of some followers, to be named to a polling VM.

        Repeated calls for a follower go through all of them.
        """
        hosts = self.hosts()
        if not hosts:
            return ()
        start = self._next_index_by_polling_host.get(polling_host, 0) % len(
            hosts
        )
        if polling_host in self._peers:
            self._next_index_by_polling_host[polling_host] = (
                start + HOSTS_PER_REPLY
            )
        return (hosts + hosts)[start : start + HOSTS_PER_REPLY]

    def record_reported_fleet_size(self, size: int, now: float) -> None:
        """Records the fleet size that the leader reported.

        A smaller size is ignored until the recorded one is too old: a VM that
        has just begun to lead may know fewer VMs than its predecessor.
        """
        is_outdated = now >= self._reported_at + FLEET_SIZE_MEMORY_SECONDS
        if is_outdated or size >= self._reported_size:
            self._reported_size = size
            self._reported_at = now

    def estimate_fleet_size(self, now: float) -> int:
        """Returns how many VMs the fleet has, as far as this VM knows.

        A VM that begins to lead has seen few of the others itself, so the
        size that its last leader reported still counts.
        """
        if self._started_at is None:
            self._started_at = now
        size = len(self._last_seen_at) + 1
        if now < self._reported_at + FLEET_SIZE_MEMORY_SECONDS:
            size = max(size, self._reported_size)
        if now < self._started_at + START_PERIOD_SECONDS:
            size = max(size, MIN_FLEET_SIZE_AT_START)
        return size

    def fleet_share(self, now: float) -> float:
        """Returns the share of the fleet that takes this VM's decisions."""
        size = self.estimate_fleet_size(now)
        return min(1, (self.count + 1) / size)

    def _rank_successors(self) -> tuple[str, ...]:
        ranked = sorted(self._peers.values(), key=lambda peer: peer.rank)
        best_by_zone: dict[str, Peer] = {}
        for follower in ranked:
            best_by_zone.setdefault(follower.zone, follower)
        chosen = dict.fromkeys((*best_by_zone.values(), *ranked))
        return tuple(peer.host for peer in chosen)[:MAX_SUCCESSORS]
