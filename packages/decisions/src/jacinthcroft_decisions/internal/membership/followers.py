"""The VMs that take their decisions from this one."""

from typing import Final

from attrs import define, field

from jacinthcroft_decisions.internal.membership.peers import Peer

# A follower that has not polled for this long is removed.
FOLLOWER_TIMEOUT_SECONDS: Final = 2.0
# How many followers are named as possible next leaders.
MAX_SUCCESSORS: Final = 3
# How many followers the reply to a poll names.
HOSTS_PER_REPLY: Final = 3


@define
class Followers:
    """The VMs that poll this one as their leader, by host."""

    _peers: dict[str, Peer] = field(factory=dict)
    _polled_at: dict[str, float] = field(factory=dict)
    _departed_hosts: list[str] = field(factory=list)
    _next_index_by_polling_host: dict[str, int] = field(factory=dict)
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

    def _rank_successors(self) -> tuple[str, ...]:
        ranked = sorted(self._peers.values(), key=lambda peer: peer.rank)
        best_by_zone: dict[str, Peer] = {}
        for follower in ranked:
            best_by_zone.setdefault(follower.zone, follower)
        chosen = dict.fromkeys((*best_by_zone.values(), *ranked))
        return tuple(peer.host for peer in chosen)[:MAX_SUCCESSORS]
