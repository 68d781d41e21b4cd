"""The choice of the VM that decides for this one.

The role is advisory: two leaders at once cost efficiency but break no
guarantee, so there is no vote. A VM follows any VM that says that it leads.
When none does, the best-ranked reachable VM begins to lead.

VMs learn of each other by polls: a follower polls its leader, and a VM without
a leader polls the seeds, which are hosts that its settings name, and other
hosts that it knows of. The VM with the smallest rank is the best-ranked one.
"""

import enum
import math
from typing import Final

from attrs import Factory, define, field

from jacinthcroft_decisions.internal.membership.fleet_size import FleetSize
from jacinthcroft_decisions.internal.membership.followers import Followers
from jacinthcroft_decisions.internal.membership.known_hosts import KnownHosts
from jacinthcroft_decisions.internal.membership.peers import (
    Peer,
    Poll,
    PollReply,
)
from jacinthcroft_decisions.internal.membership.sources import Sources

# Between polls of the leader. Followers learn from its replies of a new
# configuration, which has to arrive well within two seconds.
POLL_INTERVAL_SECONDS: Final = 0.4
# A leader that has not replied for this long is lost.
LEADER_TIMEOUT_SECONDS: Final = 1.3
# A leader whose decisions do not arrive is lost after a shorter silence.
SUSPECTED_LEADER_TIMEOUT_SECONDS: Final = 0.3
# Between polls while this VM seeks a leader.
SEEK_INTERVAL_SECONDS: Final = 0.12
# The best-ranked reachable VM seeks a leader for this long, which is two
# polls, before it begins to lead.
LEAD_DELAY_SECONDS: Final = 0.35
# After its start, a seed seeks for this long, so that the other seeds can start
# too.
START_LEAD_DELAY_SECONDS: Final = 0.9
# After its start, a seed seeks only for this long once all other seeds have
# replied that they have no leader.
ALL_SEEDS_LEAD_DELAY_SECONDS: Final = 0.15
# A VM that knows a better-ranked one, or has just started and is no seed, seeks
# for this long, so that the better-ranked VM or a seed can begin to lead first.
FALLBACK_LEAD_DELAY_SECONDS: Final = 2.0
# A lost leader may be unreachable from this VM only. After seeking for this
# long, this VM follows another VM that still hears from that leader.
SUBSTITUTE_DELAY_SECONDS: Final = 0.5
# A leader that another VM reports lost has this long to reply from then on.
REPORTED_LEADER_TIMEOUT_SECONDS: Final = 0.25
# Between a leader's polls of VMs that do not follow it, by which it finds other
# leaders after a partition. The interval is shorter while the leader decides
# for at most MINORITY_SHARE of the fleet.
MERGE_INTERVAL_SECONDS: Final = 1.0
MINORITY_MERGE_INTERVAL_SECONDS: Final = 0.2
MINORITY_SHARE: Final = 0.5
# A longer gap between two ticks means that the VM was paused.
MAX_TICK_GAP_SECONDS: Final = 1.0
# Hosts polled at once while seeking a leader, or while leading a minority.
SEEK_HOSTS_PER_POLL: Final = 4
# Hosts polled at once while leading a majority.
MERGE_HOSTS_PER_POLL: Final = 2


class Role(enum.Enum):
    """A VM's part in the fleet's decisions."""

    SEEKING = 'seeking'
    FOLLOWING = 'following'
    LEADING = 'leading'


@define
class Leadership:
    """The role of one VM and its leader; times are on its own clock.

    `leader` is the host of the VM that decides for this one, which may be
    this VM itself.
    """

    local_peer: Peer
    seeds: tuple[str, ...]
    role: Role = Role.SEEKING
    leader: str | None = None
    followers: Followers = field(factory=Followers)
    fleet_size: FleetSize = field(
        default=Factory(
            lambda vm: FleetSize.from_seeds(vm.seeds, vm.local_peer.host),
            takes_self=True,
        )
    )
    sources: Sources = field(factory=Sources)
    is_leaving: bool = False
    _successors: tuple[str, ...] = ()
    _known_hosts: KnownHosts = field(factory=KnownHosts)
    _seeking_since: float = math.inf
    _is_first_search: bool = True
    _leader_heard_at: float = -math.inf
    _lost_leader: str | None = None
    _better_candidate_seen_at: float = -math.inf
    _leaderless_hosts: set[str] = field(factory=set)
    _loss_reported_at: float | None = None
    _substitute_leader: str | None = None
    _next_poll_at: float = 0
    _last_tick_at: float = math.inf

    @property
    def is_leading(self) -> bool:
        """Whether this VM decides for itself and for its followers."""
        return self.role is Role.LEADING

    @property
    def lost_leader(self) -> str | None:
        """The leader that this VM has lost, while it seeks another one."""
        return self._lost_leader

    @property
    def successors(self) -> tuple[str, ...]:
        """The hosts that take over from the leader, best first."""
        if self.is_leading:
            return self.followers.best_successors()
        return self._successors

    def tick(self, now: float) -> tuple[str, ...]:
        """Returns the hosts to poll now."""
        was_paused = now > self._last_tick_at + MAX_TICK_GAP_SECONDS
        self._last_tick_at = now
        if was_paused and self.role is Role.LEADING:
            # Another VM may have begun to lead in the meantime.
            self._start_seeking(now)
            self._lost_leader = None
        self._seeking_since = min(self._seeking_since, now)
        self.followers.remove_silent(now)
        self.fleet_size.remove_outdated(now)
        if self.role is Role.FOLLOWING:
            self._check_leader(now)
        if self.role is Role.SEEKING:
            self._lead_if_due(now)
        if self.is_leading:
            self.sources.lead(self.followers.best_successors())
        deputies = self.sources.hosts_to_poll(now)
        if now < self._next_poll_at:
            return deputies
        hosts = self._hosts_to_poll(now)
        return tuple(dict.fromkeys((*hosts, *deputies)))

    def suspect_leader(self, now: float) -> None:
        """Seeks another leader because the present one's decisions are missing.

        A leader that has replied to a poll recently is kept.
        """
        silence = now - self._leader_heard_at
        if (
            self.role is Role.FOLLOWING
            and silence > SUSPECTED_LEADER_TIMEOUT_SECONDS
        ):
            self._start_seeking(now)
            self._next_poll_at = now

    def handle_poll(self, poll: Poll, now: float) -> None:
        """Updates followers and leader from another VM's poll."""
        sender = poll.sender
        self._known_hosts.add(sender.host)
        self.fleet_size.record_contact(sender.host)
        if poll.is_following:
            self.followers.record_poll(sender, now)
            self.fleet_size.record_poll(sender.host, now)
        else:
            self.followers.remove(sender.host)
        if poll.lost_leader is not None and poll.lost_leader == self.leader:
            self._verify_leader(now)
        is_outranked = self.is_leading and sender.rank < self.local_peer.rank
        if poll.is_leading and (self.role is Role.SEEKING or is_outranked):
            self._follow_host(sender.host, now)

    def handle_reply(self, reply: PollReply, now: float) -> None:
        """Updates the known hosts and the leader from the reply to a poll."""
        host = reply.sender.host
        self._known_hosts.add(host)
        self.fleet_size.record_contact(host)
        for other in reply.other_hosts:
            self._known_hosts.add(other)
        if self.role is Role.LEADING:
            if reply.is_leading and reply.sender.rank < self.local_peer.rank:
                self._follow_host(host, now)
            elif reply.leader not in {None, self.local_peer.host}:
                self._known_hosts.add(str(reply.leader))
        elif self.role is Role.FOLLOWING:
            self._handle_reply_as_follower(reply, now)
        else:
            self._handle_reply_as_seeker(reply, now)
        if host == self.leader:
            self.fleet_size.record_leader(
                reply.fleet_size,
                reply.is_fleet_complete,
                now,
            )

    def take_over(self, now: float) -> None:
        """Begins to lead because the leader is leaving.

        A VM that is leaving itself ignores the request.
        """
        if not self.is_leaving:
            self._start_leading(now)

    def resign(self) -> str | None:
        """Stops leading for good; returns the VM to ask to take over.

        Returns None if this VM does not lead or nobody can take over.
        """
        successors = self.successors
        self.is_leaving = True
        if self.is_leading and successors:
            self.role = Role.FOLLOWING
            self.leader = successors[0]
            self._leader_heard_at = math.inf
            return successors[0]
        return None

    def follow_redirect(self, host: str, now: float) -> None:
        """Follows the VM that a leaving leader named, which may be this one."""
        if host == self.local_peer.host:
            self.take_over(now)
            return
        if not self.is_leading:
            self._follow_host(host, now)

    def _handle_reply_as_follower(self, reply: PollReply, now: float) -> None:
        if reply.sender.host != self.leader:
            return
        is_sender_following = reply.leader not in {None, reply.sender.host}
        if reply.is_leading or (
            is_sender_following and self._substitute_leader == self.leader
        ):
            self._leader_heard_at = now
            self._successors = tuple(
                host
                for host in reply.successors
                if host != self.local_peer.host
            )
            self.sources.follow(reply.successors, self.local_peer.host, now)
            if is_sender_following:
                self._known_hosts.add(str(reply.leader))
            return
        self._lost_leader = None
        if reply.leader in {None, self.local_peer.host, self.leader}:
            self._start_seeking(now)
        else:
            self._follow_host(str(reply.leader), now)

    def _handle_reply_as_seeker(self, reply: PollReply, now: float) -> None:
        if reply.is_leading:
            self._follow_host(reply.sender.host, now)
            return
        if reply.leader in {None, self.local_peer.host}:
            self._leaderless_hosts.add(reply.sender.host)
            if self._is_better_candidate(reply):
                self._better_candidate_seen_at = now
            return
        self._known_hosts.add(str(reply.leader))
        hears_lost_leader = reply.leader == self._lost_leader
        if hears_lost_leader:
            self._better_candidate_seen_at = now
        if (
            hears_lost_leader
            and now > self._seeking_since + SUBSTITUTE_DELAY_SECONDS
        ):
            # The sender still hears from the leader that this VM can't reach.
            self._follow_host(reply.sender.host, now)
            self._substitute_leader = reply.sender.host
        elif not hears_lost_leader:
            self._successors = (str(reply.leader), *self._successors)

    def _is_better_candidate(self, reply: PollReply) -> bool:
        if reply.is_leaving or reply.sender.rank >= self.local_peer.rank:
            return False
        # A VM that has just started and is no seed waits for the seeds.
        return not self._is_first_search or reply.sender.host in self.seeds

    def _verify_leader(self, now: float) -> None:
        """Polls the leader at once because another VM reports it lost."""
        if self.role is Role.FOLLOWING and self._loss_reported_at is None:
            self._loss_reported_at = now
            self._next_poll_at = now

    def _check_leader(self, now: float) -> None:
        reported_at = self._loss_reported_at
        if reported_at is not None and self._leader_heard_at >= reported_at:
            self._loss_reported_at = None
            return
        is_leader_lost = now > self._leader_heard_at + LEADER_TIMEOUT_SECONDS
        if reported_at is not None:
            is_leader_lost = (
                is_leader_lost
                or now > reported_at + REPORTED_LEADER_TIMEOUT_SECONDS
            )
        if is_leader_lost:
            self._start_seeking(now)

    def _lead_if_due(self, now: float) -> None:
        if self.is_leaving:
            return
        sought_seconds = now - self._seeking_since
        lead_delay = LEAD_DELAY_SECONDS
        if self._is_first_search:
            lead_delay = START_LEAD_DELAY_SECONDS
            if self.local_peer.host not in self.seeds:
                lead_delay = FALLBACK_LEAD_DELAY_SECONDS
            elif self._leaderless_hosts.issuperset(
                set(self.seeds) - {self.local_peer.host}
            ):
                lead_delay = ALL_SEEDS_LEAD_DELAY_SECONDS
        if now < self._better_candidate_seen_at + LEAD_DELAY_SECONDS:
            lead_delay = FALLBACK_LEAD_DELAY_SECONDS
        if sought_seconds > lead_delay:
            self._start_leading(now)

    def _start_seeking(self, now: float) -> None:
        self._lost_leader = self.leader
        self.role = Role.SEEKING
        self.leader = None
        self._substitute_leader = None
        self._seeking_since = now
        self._known_hosts.restart_rotation()
        self._loss_reported_at = None
        self._better_candidate_seen_at = -math.inf
        self._next_poll_at = now

    def _follow_host(self, host: str, now: float) -> None:
        self.role = Role.FOLLOWING
        self.leader = host
        self._substitute_leader = None
        self._is_first_search = False
        self._leader_heard_at = now
        self._next_poll_at = now
        self._lost_leader = None
        self._loss_reported_at = None

    def _start_leading(self, now: float) -> None:
        self.role = Role.LEADING
        self.leader = self.local_peer.host
        self._substitute_leader = None
        self._is_first_search = False
        self._lost_leader = None
        self._next_poll_at = now

    def _hosts_to_poll(self, now: float) -> tuple[str, ...]:
        if self.role is Role.FOLLOWING:
            self._next_poll_at = now + POLL_INTERVAL_SECONDS
            return (str(self.leader),)
        if self.role is Role.LEADING:
            share = self.fleet_size.compute_share(self.followers.count, now)
            is_minority = share <= MINORITY_SHARE
            interval = (
                MINORITY_MERGE_INTERVAL_SECONDS
                if is_minority
                else MERGE_INTERVAL_SECONDS
            )
            self._next_poll_at = now + interval
            return self._known_hosts.next_hosts(
                self.seeds,
                frozenset((self.local_peer.host, *self.followers.hosts())),
                SEEK_HOSTS_PER_POLL if is_minority else MERGE_HOSTS_PER_POLL,
            )
        self._next_poll_at = now + SEEK_INTERVAL_SECONDS
        return self._known_hosts.next_hosts(
            (*self._successors, *self.seeds),
            frozenset((self.local_peer.host,)),
            SEEK_HOSTS_PER_POLL,
        )
