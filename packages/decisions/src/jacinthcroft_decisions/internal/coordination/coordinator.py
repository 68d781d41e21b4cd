"""A VM's part as holder candidate of the shards that the list gives it.

The coordinator asks the witnesses for leases, drives activation where they
are not installed yet, and gives leases up when the list or a planned stop
takes shards away. It keeps no promise by itself: whoever uses a shard asks
`holds` at the moment of use.
"""

import itertools
from collections.abc import Iterator

from attrs import define, field

from jacinthcroft_decisions.internal.coordination.candidacy import Candidacy
from jacinthcroft_decisions.internal.coordination.candidate_lease import (
    CandidateLease,
)
from jacinthcroft_decisions.internal.coordination.history_messages import (
    CoordinationReply,
    HistoryReply,
    Outgoing,
)
from jacinthcroft_decisions.internal.coordination.history_query import (
    HistoryQuery,
)
from jacinthcroft_decisions.internal.coordination.parameters import (
    CoordinationParameters,
)
from jacinthcroft_decisions.internal.coordination.placement import Placement
from jacinthcroft_decisions.internal.coordination.placement_history import (
    PlacementHistory,
)


@define
class Coordinator:
    """One incarnation of a VM as a holder candidate."""

    vm: str
    incarnation: str
    started_at: float
    parameters: CoordinationParameters
    _history: PlacementHistory = field(init=False)
    _history_query: HistoryQuery | None = field(default=None, init=False)
    _candidacies: dict[int, Candidacy] = field(factory=dict, init=False)
    _sequence: Iterator[int] = field(factory=itertools.count, init=False)
    _is_leaving: bool = field(default=False, init=False)
    _farewells: tuple[Outgoing, ...] = field(default=(), init=False)

    def __attrs_post_init__(self) -> None:
        """Starts with no list."""
        self._history = PlacementHistory(self.parameters)

    @property
    def missing_revisions(self) -> tuple[int, ...]:
        """Lists that others named; fetch them for `learn_history`/`adopt`."""
        return self._history.missing

    def adopt(self, placement: Placement, now: float) -> None:
        """Takes a newer list; an older one only joins the history."""
        self._history.add(placement, now)
        if placement.revision <= self._revision():
            return
        self._history_query = HistoryQuery(placement, self.parameters)
        earlier = self._candidacies
        self._candidacies = self._stand(placement, now)
        for shard, candidacy in earlier.items():
            self._carry_over(shard, candidacy, now)

    def learn_history(
        self,
        placements: tuple[Placement, ...],
        now: float,
    ) -> None:
        """Takes earlier lists that peers have passed on."""
        for placement in placements:
            self._history.add(placement, now)

    def tick(self, now: float) -> tuple[Outgoing, ...]:
        """Returns the requests that are due.

        Call it every 100 ms or so, and after replies have come, since a
        reply may make the next step due.
        """
        due = list(self._farewells)
        self._farewells = ()
        if self._history_query is None or self._is_leaving:
            return tuple(due)
        is_complete = self._history_query.is_complete(self._history, now)
        for candidacy in self._candidacies.values():
            due.extend(candidacy.requests(self._history, is_complete, now))
        standing = self._candidacies.values()
        is_asking = any(known.needs_history for known in standing)
        if is_asking and not is_complete:
            due.extend(self._history_query.requests(now))
        return tuple(due)

    def receive(
        self,
        sender: str,
        reply: CoordinationReply,
        sent_at: float,
        now: float,
    ) -> None:
        """Takes the reply to a request of `tick` that left at `sent_at`."""
        if reply.newest > self._revision():
            self._history.note_revisions((reply.newest,))
        if self._history_query is None or reply.revision != self._revision():
            return
        if isinstance(reply, HistoryReply):
            self._history_query.receive(sender, reply)
            self._history.note_revisions(reply.revisions)
        candidacy = self._candidacies.get(reply.shard)
        if candidacy is not None:
            candidacy.receive(sender, reply, sent_at, now)

    def holds(self, shard: int, now: float) -> bool:
        """Whether this VM's lease of the shard runs at this moment."""
        candidacy = self._candidacies.get(shard)
        return candidacy is not None and candidacy.lease.is_held(now)

    def lease_until(self, shard: int) -> float:
        """Returns when the lease ends on the boot clock, 0.0 without one."""
        candidacy = self._candidacies.get(shard)
        return candidacy.lease.until if candidacy else 0

    def held_since(self, shard: int) -> float:
        """Returns when the lease began without a gap, 0.0 without one."""
        candidacy = self._candidacies.get(shard)
        return candidacy.lease.since if candidacy else 0

    def release(self, now: float) -> tuple[Outgoing, ...]:
        """Gives all leases up for good, for a planned stop."""
        self._is_leaving = True
        farewells = list(self._farewells)
        self._farewells = ()
        for candidacy in self._candidacies.values():
            farewells.extend(candidacy.release(now))
        return tuple(farewells)

    def accept_invitation(self, shard: int, now: float) -> None:
        """Lets this VM stand for a shard that its holder has given up."""
        candidacy = self._candidacies.get(shard)
        if candidacy is not None:
            candidacy.lease.allow_acquire(now)

    def _first_acquire_at(self, rank: int, now: float) -> float:
        """Returns when a rank acts that has not seen any holder yet."""
        return now + self.parameters.lease_term * (1 + rank)

    def _revision(self) -> int:
        return (
            self._history_query.placement.revision if self._history_query else 0
        )

    def _stand(
        self,
        placement: Placement,
        now: float,
    ) -> dict[int, Candidacy]:
        """Stands for each shard that ranks this VM among the first."""
        standing: dict[int, Candidacy] = {}
        for shard in range(self.parameters.shard_count):
            ranked = placement.candidates(shard)[
                : self.parameters.candidate_count
            ]
            if self.vm not in ranked:
                continue
            witnesses = placement.witnesses(shard)
            rank = ranked.index(self.vm)
            standing[shard] = Candidacy(
                shard,
                placement,
                CandidateLease(
                    self.parameters,
                    witnesses,
                    rank,
                    self._first_acquire_at(rank, now),
                ),
                self.vm,
                self.incarnation,
                self._sequence,
            )
        return standing

    def _carry_over(self, shard: int, earlier: Candidacy, now: float) -> None:
        """Takes a running lease along as first candidate, else gives it up.

        The new first candidate then need not wait for the lease's end.
        """
        current = self._candidacies.get(shard)
        if current is not None and current.lease.rank == 0:
            current.lease.until = earlier.lease.until
            current.lease.since = earlier.lease.since
            return
        self._farewells += earlier.release(now)
