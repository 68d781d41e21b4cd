"""The VMs that take their decisions from this one."""

import math
from typing import Final

from attrs import define, field

from jacinthcroft_decisions.internal.membership.peers import Peer

# A follower that has not polled for so long is gone, in seconds.
GONE_SECONDS: Final = 2.0
# For so long a VM that was seen counts in the size of the fleet, in seconds.
# Nothing tells a VM that is gone from one behind a partition, which goes on
# spending its share; so this is longer than partitions mostly last.
FLEET_MEMORY_SECONDS: Final = 300.0
# A VM that has just started may be one of many that did; it takes the fleet
# for at least so large.
UNKNOWN_FLEET_SIZE: Final = 8
UNKNOWN_FLEET_SECONDS: Final = 8.0
# How many of them are named as successors, and how many more in turn.
SUCCESSORS: Final = 3
OTHERS: Final = 3


@define
class Followers:
    """Who polls this VM for decisions, and how large the fleet is."""

    _peers: dict[str, Peer] = field(factory=dict)
    _heard: dict[str, float] = field(factory=dict)
    _seen: dict[str, float] = field(factory=dict)
    _gone: list[str] = field(factory=list)
    _told_size: int = 1
    _told_at: float = -math.inf
    _turns: dict[str, int] = field(factory=dict)
    _started_at: float | None = None

    @property
    def count(self) -> int:
        """How many follow."""
        return len(self._peers)

    def has(self, host: str) -> bool:
        """Whether a VM follows this one."""
        return host in self._peers

    def hosts(self) -> tuple[str, ...]:
        """Returns the hosts of all followers."""
        return tuple(self._peers)

    def zone_of(self, host: str) -> str:
        """Returns a follower's zone, or nothing for a stranger."""
        peer = self._peers.get(host)
        return peer.zone if peer else ''

    def hear(self, peer: Peer, now: float) -> None:
        """Notes a follower's sign of life."""
        known = self._peers.get(peer.host)
        if known is not None and known.incarnation != peer.incarnation:
            self._gone.append(peer.host)
        self._peers[peer.host] = peer
        self._heard[peer.host] = now
        self._seen[peer.host] = now

    def discard(self, host: str) -> None:
        """Forgets a VM that follows another one now."""
        if self._peers.pop(host, None) is not None:
            self._heard.pop(host)
            self._turns.pop(host, None)
            self._gone.append(host)

    def drop_silent(self, now: float) -> None:
        """Forgets followers that are gone."""
        for host, heard in list(self._heard.items()):
            if now > heard + GONE_SECONDS:
                self.discard(host)
        for host, seen in list(self._seen.items()):
            if now > seen + FLEET_MEMORY_SECONDS:
                self._seen.pop(host)

    def take_gone(self) -> list[str]:
        """Returns whose processes have ended or left since the last call."""
        gone = self._gone
        self._gone = []
        return gone

    def best_hosts(self) -> tuple[str, ...]:
        """Returns the successors, best first, over several zones."""
        ranked = sorted(self._peers.values(), key=lambda peer: peer.rank)
        by_zone: dict[str, Peer] = {}
        for follower in ranked:
            by_zone.setdefault(follower.zone, follower)
        chosen = dict.fromkeys((*by_zone.values(), *ranked))
        return tuple(peer.host for peer in chosen)[:SUCCESSORS]

    def next_hosts(self, asker: str) -> tuple[str, ...]:
        """Returns some followers, so that each asker hears of all in turn."""
        hosts = self.hosts()
        if not hosts:
            return ()
        turn = self._turns.get(asker, 0) % len(hosts)
        if asker in self._peers:
            self._turns[asker] = turn + OTHERS
        return (hosts + hosts)[turn : turn + OTHERS]

    def hear_fleet_size(self, size: int, now: float) -> None:
        """Takes over what the leader says of the fleet's size.

        One that has just begun to lead may know less than was told before.
        """
        is_over = now >= self._told_at + FLEET_MEMORY_SECONDS
        if is_over or size >= self._told_size:
            self._told_size = size
            self._told_at = now

    def fleet_size(self, now: float) -> int:
        """Returns how many VMs there are, as far as known.

        A VM that begins to lead knows few others itself, so what its last
        leader said counts on.
        """
        if self._started_at is None:
            self._started_at = now
        size = len(self._seen) + 1
        if now < self._told_at + FLEET_MEMORY_SECONDS:
            size = max(size, self._told_size)
        if now < self._started_at + UNKNOWN_FLEET_SECONDS:
            size = max(size, UNKNOWN_FLEET_SIZE)
        return size

    def share(self, now: float) -> float:
        """Returns the part of the fleet that is decided here."""
        size = self.fleet_size(now)
        return min(1, (self.count + 1) / size)
