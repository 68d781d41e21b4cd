"""Which VM decides for this one.

The role is advisory: two deciding VMs at once cost efficiency, never a
promise. So there is no vote. A VM follows whoever says that it leads; when
nobody does, the best-ranked one that can be reached begins to.
"""

import enum
import math
from typing import Final

from attrs import define, field

from jacinthcroft_decisions.internal.membership.followers import Followers
from jacinthcroft_decisions.internal.membership.known_hosts import KnownHosts
from jacinthcroft_decisions.internal.membership.peers import (
    Peer,
    Poll,
    PollReply,
)

# Seconds between polls of the VM that is followed; a configuration has to
# arrive well within two seconds.
POLL_SECONDS: Final = 0.4
# A leader that has not replied for so long is given up, in seconds.
SILENT_SECONDS: Final = 1.3
# The same when its decisions do not come either.
SUSPECT_SECONDS: Final = 0.3
# Seconds between polls while no leader is known.
SEEK_SECONDS: Final = 0.12
# How long the best-ranked reachable VM waits for a leader to show, in
# seconds: two polls. After its start a VM gives the seeds time to start too.
CLAIM_SECONDS: Final = 0.35
CLAIM_AT_START_SECONDS: Final = 0.9
# The same at a start once all other seeds have answered that nobody leads.
CLAIM_WITH_ALL_SEEDS_SECONDS: Final = 0.15
# How long others wait for a better-ranked VM to claim, in seconds.
CLAIM_ANYWAY_SECONDS: Final = 2.0
# A leader that is only unreachable from here: follow who still hears it.
PROXY_SECONDS: Final = 0.5
# How long a leader that another VM has lost may take to reply, in seconds.
DOUBT_SECONDS: Final = 0.25
# Seconds between a leader's polls of VMs that may lead others; shorter while
# it decides for less than half of the fleet.
MERGE_SECONDS: Final = 1.0
LONELY_MERGE_SECONDS: Final = 0.2
LONELY_SHARE: Final = 0.5
# A gap of this length between two turns means that the VM stood still.
FROZEN_SECONDS: Final = 1.0
# How many VMs are asked at a time while seeking, and by a leader.
SEEK_WIDTH: Final = 4
MERGE_WIDTH: Final = 2


class Role(enum.Enum):
    """What a VM does for decisions."""

    SEEKING = 'seeking'
    FOLLOWING = 'following'
    LEADING = 'leading'


@define
class Leadership:
    """The role of one VM; times on its own clock."""

    local_peer: Peer
    seeds: tuple[str, ...]
    role: Role = Role.SEEKING
    leader: str | None = None
    followers: Followers = field(factory=Followers)
    is_leaving: bool = False
    _successors: tuple[str, ...] = ()
    _known_hosts: KnownHosts = field(factory=KnownHosts)
    _seeking_since: float = math.inf
    _is_first_search: bool = True
    _heard_at: float = -math.inf
    _lost_leader: str | None = None
    _better_at: float = -math.inf
    _leaderless: set[str] = field(factory=set)
    _doubted_at: float | None = None
    _proxy: str | None = None
    _next_poll: float = 0
    _last_tick: float = math.inf

    @property
    def is_leading(self) -> bool:
        """Whether this VM decides for those that follow it."""
        return self.role is Role.LEADING

    @property
    def lost_leader(self) -> str | None:
        """The leader that was lost, while another one is sought."""
        return self._lost_leader

    @property
    def successors(self) -> tuple[str, ...]:
        """Returns who takes over next, best first."""
        if self.is_leading:
            return self.followers.best_successors()
        return self._successors

    def tick(self, now: float) -> tuple[str, ...]:
        """Returns the hosts to poll now."""
        has_stood_still = now > self._last_tick + FROZEN_SECONDS
        self._last_tick = now
        if has_stood_still and self.role is Role.LEADING:
            # Others may have taken over meanwhile.
            self._seek(now)
            self._lost_leader = None
        self._seeking_since = min(self._seeking_since, now)
        self.followers.remove_silent(now)
        if self.role is Role.FOLLOWING:
            self._check_leader(now)
        if self.role is Role.SEEKING:
            self._try_claim(now)
        if now < self._next_poll:
            return ()
        return self._due_polls(now)

    def suspect_leader(self, now: float) -> None:
        """Notes that the leader's decisions do not come."""
        silent = now - self._heard_at
        if self.role is Role.FOLLOWING and silent > SUSPECT_SECONDS:
            self._seek(now)
            self._next_poll = now

    def handle_poll(self, poll: Poll, now: float) -> None:
        """Takes in a poll of another VM."""
        sender = poll.sender
        self._known_hosts.add(sender.host)
        if poll.is_following:
            self.followers.record_poll(sender, now)
        else:
            self.followers.remove(sender.host)
        if poll.lost_leader is not None and poll.lost_leader == self.leader:
            self._doubt(now)
        is_better = self.is_leading and sender.rank < self.local_peer.rank
        if poll.is_leading and (self.role is Role.SEEKING or is_better):
            self._follow(sender.host, now)

    def handle_reply(self, reply: PollReply, now: float) -> None:
        """Takes in what a polled VM said."""
        host = reply.sender.host
        self._known_hosts.add(host)
        for other in reply.other_hosts:
            self._known_hosts.add(other)
        if self.role is Role.LEADING:
            if reply.is_leading and reply.sender.rank < self.local_peer.rank:
                self._follow(host, now)
            elif reply.leader not in {None, self.local_peer.host}:
                self._known_hosts.add(str(reply.leader))
        elif self.role is Role.FOLLOWING:
            self._handle_reply_as_follower(reply, now)
        else:
            self._handle_reply_as_seeker(reply, now)
        if host == self.leader:
            self.followers.record_reported_fleet_size(reply.fleet_size, now)

    def take_over(self, now: float) -> None:
        """Begins to lead because the leader is leaving."""
        if not self.is_leaving:
            self._lead(now)

    def resign(self) -> str | None:
        """Stops leading for good; returns who should take over."""
        successors = self.successors
        self.is_leaving = True
        if self.is_leading and successors:
            self.role = Role.FOLLOWING
            self.leader = successors[0]
            self._heard_at = math.inf
            return successors[0]
        return None

    def follow_redirect(self, host: str, now: float) -> None:
        """Follows the VM that a leaving leader named."""
        if host == self.local_peer.host:
            self.take_over(now)
            return
        if not self.is_leading:
            self._follow(host, now)

    def _handle_reply_as_follower(self, reply: PollReply, now: float) -> None:
        if reply.sender.host != self.leader:
            return
        is_proxy = reply.leader not in {None, reply.sender.host}
        if reply.is_leading or (is_proxy and self._proxy == self.leader):
            self._heard_at = now
            self._successors = tuple(
                host
                for host in reply.successors
                if host != self.local_peer.host
            )
            if is_proxy:
                self._known_hosts.add(str(reply.leader))
            return
        self._lost_leader = None
        if reply.leader in {None, self.local_peer.host, self.leader}:
            self._seek(now)
        else:
            self._follow(str(reply.leader), now)

    def _handle_reply_as_seeker(self, reply: PollReply, now: float) -> None:
        if reply.is_leading:
            self._follow(reply.sender.host, now)
            return
        if reply.leader in {None, self.local_peer.host}:
            self._leaderless.add(reply.sender.host)
            if self._may_claim_first(reply):
                self._better_at = now
            return
        self._known_hosts.add(str(reply.leader))
        is_lost_leader = reply.leader == self._lost_leader
        if is_lost_leader:
            self._better_at = now
        if is_lost_leader and now > self._seeking_since + PROXY_SECONDS:
            # It still hears a leader that cannot be reached from here.
            self._follow(reply.sender.host, now)
            self._proxy = reply.sender.host
        elif not is_lost_leader:
            self._successors = (str(reply.leader), *self._successors)

    def _may_claim_first(self, reply: PollReply) -> bool:
        if reply.is_leaving or reply.sender.rank >= self.local_peer.rank:
            return False
        # Whoever has just started and is no seed waits for the seeds.
        return not self._is_first_search or reply.sender.host in self.seeds

    def _doubt(self, now: float) -> None:
        """Asks the leader at once, since another VM has lost it."""
        if self.role is Role.FOLLOWING and self._doubted_at is None:
            self._doubted_at = now
            self._next_poll = now

    def _check_leader(self, now: float) -> None:
        doubted_at = self._doubted_at
        if doubted_at is not None and self._heard_at >= doubted_at:
            self._doubted_at = None
            return
        is_lost = now > self._heard_at + SILENT_SECONDS
        if doubted_at is not None:
            is_lost = is_lost or now > doubted_at + DOUBT_SECONDS
        if is_lost:
            self._seek(now)

    def _try_claim(self, now: float) -> None:
        if self.is_leaving:
            return
        waited = now - self._seeking_since
        needed = CLAIM_SECONDS
        if self._is_first_search:
            needed = CLAIM_AT_START_SECONDS
            if self.local_peer.host not in self.seeds:
                needed = CLAIM_ANYWAY_SECONDS
            elif self._leaderless.issuperset(
                set(self.seeds) - {self.local_peer.host}
            ):
                needed = CLAIM_WITH_ALL_SEEDS_SECONDS
        if now < self._better_at + CLAIM_SECONDS:
            needed = CLAIM_ANYWAY_SECONDS
        if waited > needed:
            self._lead(now)

    def _seek(self, now: float) -> None:
        self._lost_leader = self.leader
        self.role = Role.SEEKING
        self.leader = None
        self._proxy = None
        self._seeking_since = now
        self._known_hosts.restart_rotation()
        self._doubted_at = None
        self._better_at = -math.inf
        self._next_poll = now

    def _follow(self, host: str, now: float) -> None:
        self.role = Role.FOLLOWING
        self.leader = host
        self._proxy = None
        self._is_first_search = False
        self._heard_at = now
        self._next_poll = now
        self._lost_leader = None
        self._doubted_at = None

    def _lead(self, now: float) -> None:
        self.role = Role.LEADING
        self.leader = self.local_peer.host
        self._proxy = None
        self._is_first_search = False
        self._lost_leader = None
        self._next_poll = now

    def _due_polls(self, now: float) -> tuple[str, ...]:
        if self.role is Role.FOLLOWING:
            self._next_poll = now + POLL_SECONDS
            return (str(self.leader),)
        if self.role is Role.LEADING:
            share = self.followers.fleet_share(now)
            is_lonely = share <= LONELY_SHARE
            pause = LONELY_MERGE_SECONDS if is_lonely else MERGE_SECONDS
            self._next_poll = now + pause
            return self._known_hosts.next_hosts(
                self.seeds,
                frozenset((self.local_peer.host, *self.followers.hosts())),
                SEEK_WIDTH if is_lonely else MERGE_WIDTH,
            )
        self._next_poll = now + SEEK_SECONDS
        return self._known_hosts.next_hosts(
            (*self._successors, *self.seeds),
            frozenset((self.local_peer.host,)),
            SEEK_WIDTH,
        )
