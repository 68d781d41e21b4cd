"""A VM's role as candidate for holder of the shards assigned to it.

A shard's holder is the one VM that has its lease and so may use the shard. The
shard's witnesses, which the VM list assigns like its candidates, vote on the
lease. The coordinator asks witnesses for leases, activates the VM list where
they do not serve it yet, and releases leases when a newer list assigns the
shards to other VMs or when the VM stops. A lease may end at any time, so code
that uses a shard calls `holds` immediately before each use.
"""

import itertools
from collections.abc import Iterator

from attrs import define, field

from jacinthcroft_decisions.internal.coordination.candidacy import Candidacy
from jacinthcroft_decisions.internal.coordination.candidate_lease import (
    CandidateLease,
)
from jacinthcroft_decisions.internal.coordination.config import (
    CoordinationConfig,
)
from jacinthcroft_decisions.internal.coordination.history_messages import (
    CoordinationReply,
    HistoryReply,
    Outgoing,
)
from jacinthcroft_decisions.internal.coordination.history_query import (
    HistoryQuery,
)
from jacinthcroft_decisions.internal.coordination.placement import Placement
from jacinthcroft_decisions.internal.coordination.placement_history import (
    PlacementHistory,
)


@define
class Coordinator:
    """One incarnation of a VM as a candidate for holder."""

    vm: str
    incarnation: str
    started_at: float
    config: CoordinationConfig
    _history: PlacementHistory = field(init=False)
    _history_query: HistoryQuery | None = field(default=None, init=False)
    _candidacies: dict[int, Candidacy] = field(factory=dict, init=False)
    _sequence: Iterator[int] = field(factory=itertools.count, init=False)
    _is_stopping: bool = field(default=False, init=False)
    _pending_releases: tuple[Outgoing, ...] = field(default=(), init=False)

    def __attrs_post_init__(self) -> None:
        """Creates the empty history of lists."""
        self._history = PlacementHistory(self.config)

    @property
    def missing_revisions(self) -> tuple[int, ...]:
        """Revisions of lists that other VMs named and this VM lacks.

        The caller fetches them and passes them to `learn_history` or `adopt`.
        """
        return self._history.missing

    def adopt(self, placement: Placement, now: float) -> None:
        """Adopts a newer list; adds an older one to the history only."""
        self._history.add(placement, now)
        if placement.revision <= self._adopted_revision():
            return
        self._history_query = HistoryQuery(placement, self.config)
        earlier_candidacies = self._candidacies
        self._candidacies = self._start_candidacies(placement, now)
        for shard, candidacy in earlier_candidacies.items():
            self._carry_over(shard, candidacy, now)

    def learn_history(
        self,
        placements: tuple[Placement, ...],
        now: float,
    ) -> None:
        """Adds earlier lists received from peers to the history."""
        for placement in placements:
            self._history.add(placement, now)

    def tick(self, now: float) -> tuple[Outgoing, ...]:
        """Returns the requests that are due.

        Call it about every 100 ms, and after each reply, since a reply may
        make the next step due.
        """
        due = list(self._pending_releases)
        self._pending_releases = ()
        if self._history_query is None or self._is_stopping:
            return tuple(due)
        is_complete = self._history_query.is_complete(self._history, now)
        for candidacy in self._candidacies.values():
            due.extend(
                candidacy.start_due_requests(self._history, is_complete, now)
            )
        candidacies = self._candidacies.values()
        needs_history = any(current.needs_history for current in candidacies)
        if needs_history and not is_complete:
            due.extend(self._history_query.start_due_requests(now))
        return tuple(due)

    def receive(
        self,
        sender: str,
        reply: CoordinationReply,
        sent_at: float,
        now: float,
    ) -> None:
        """Processes the reply to a request that was sent at `sent_at`."""
        if reply.newest > self._adopted_revision():
            self._history.note_revisions((reply.newest,))
        if (
            self._history_query is None
            or reply.revision != self._adopted_revision()
        ):
            return
        if isinstance(reply, HistoryReply):
            self._history_query.receive(sender, reply)
            self._history.note_revisions(reply.revisions)
        candidacy = self._candidacies.get(reply.shard)
        if candidacy is not None:
            candidacy.receive(sender, reply, sent_at, now)

    def holds(self, shard: int, now: float) -> bool:
        """Whether this VM has the lease of the shard at `now`."""
        candidacy = self._candidacies.get(shard)
        return candidacy is not None and candidacy.lease.is_held(now)

    def lease_until(self, shard: int) -> float:
        """Returns when the lease ends (boot clock), 0.0 without a lease."""
        candidacy = self._candidacies.get(shard)
        return candidacy.lease.until if candidacy else 0

    def held_since(self, shard: int) -> float:
        """Returns since when the lease runs without a gap, 0.0 without one."""
        candidacy = self._candidacies.get(shard)
        return candidacy.lease.since if candidacy else 0

    def release(self, now: float) -> tuple[Outgoing, ...]:
        """Releases all leases for a planned stop and ends all requests."""
        self._is_stopping = True
        releases = list(self._pending_releases)
        self._pending_releases = ()
        for candidacy in self._candidacies.values():
            releases.extend(candidacy.release(now))
        return tuple(releases)

    def accept_invitation(self, shard: int, now: float) -> None:
        """Asks at once for a shard whose holder has released its lease."""
        candidacy = self._candidacies.get(shard)
        if candidacy is not None:
            candidacy.lease.allow_acquire(now)

    def _first_acquire_at(self, rank: int, now: float) -> float:
        """Returns when a candidate first asks if it sees no other lease."""
        return now + self.config.lease_term * (1 + rank)

    def _adopted_revision(self) -> int:
        return (
            self._history_query.placement.revision if self._history_query else 0
        )

    def _start_candidacies(
        self,
        placement: Placement,
        now: float,
    ) -> dict[int, Candidacy]:
        """Creates a candidacy for each shard that ranks this VM high enough."""
        candidacies: dict[int, Candidacy] = {}
        for shard in range(self.config.shard_count):
            ranked = placement.candidates(shard)[: self.config.candidate_count]
            if self.vm not in ranked:
                continue
            witnesses = placement.witnesses(shard)
            rank = ranked.index(self.vm)
            candidacies[shard] = Candidacy(
                shard,
                placement,
                CandidateLease(
                    self.config,
                    witnesses,
                    rank,
                    self._first_acquire_at(rank, now),
                ),
                self.vm,
                self.incarnation,
                self._sequence,
            )
        return candidacies

    def _carry_over(self, shard: int, earlier: Candidacy, now: float) -> None:
        """Keeps a lease if this VM ranks first now, else releases it.

        After a release the candidate that ranks first need not wait for the
        end of the lease.
        """
        current = self._candidacies.get(shard)
        if current is not None and current.lease.rank == 0:
            current.lease.until = earlier.lease.until
            current.lease.since = earlier.lease.since
            return
        self._pending_releases += earlier.release(now)
