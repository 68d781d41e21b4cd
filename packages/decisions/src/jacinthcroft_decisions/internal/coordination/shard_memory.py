"""What one witness remembers of one shard.

Records outlive list revisions: a witness that takes part in the next list
too merges what it is handed with what it has. `start_wall` bounds what an
earlier incarnation may have known: any key whose own time is later can't
have been claimed here before this incarnation started.
"""

from attrs import define, field

from jacinthcroft_decisions.internal.coordination.leases import WitnessedLease
from jacinthcroft_decisions.internal.coordination.messages import (
    InstallRequest,
    ShardView,
)
from jacinthcroft_decisions.internal.coordination.records import (
    ClaimRecord,
    merge_records,
)


@define
class ShardMemory:
    """Fences, installation, lease and records of one shard."""

    vouch_from: float
    fences: set[int] = field(factory=set)
    installed: int = 0
    whole_at: set[int] = field(factory=set)
    lease: WitnessedLease = field(factory=WitnessedLease)
    records: dict[str, ClaimRecord] = field(factory=dict)

    @property
    def newest(self) -> int:
        """The highest revision that this shard was fenced at."""
        return max(self.fences, default=0)

    def view(self, now: float, is_whole: bool) -> ShardView:
        """Returns all of it, for drivers and restarted witnesses."""
        return ShardView(
            fences=tuple(sorted(self.fences)),
            installed=self.installed,
            vouch_from=self.vouch_from,
            lease=self.lease.view(now),
            records=tuple(self.records.values()),
            whole_at=tuple(sorted(self.whole_at)),
            is_whole=is_whole,
        )

    def is_stale(self, revision: int) -> bool:
        """Whether the shard is fenced above the revision."""
        return revision < self.newest

    def fence(self, revision: int) -> None:
        """Refuses every lower revision from now on.

        All fences above the installed revision are kept: each may be the
        trace of a list that a later driver has never met.
        """
        self.fences.add(revision)

    def install(self, request: InstallRequest, vouch_from: float) -> None:
        """Starts to answer for a revision with what its driver gathered."""
        self._take(request.revision, vouch_from, request.records)

    def restore(
        self, revision: int, vouch_from: float, views: tuple[ShardView, ...]
    ) -> None:
        """Goes on answering for a revision after a restart."""
        copies = (view.records for view in views)
        self._take(revision, vouch_from, merge_records(copies))

    def _take(
        self,
        revision: int,
        vouch_from: float,
        records: tuple[ClaimRecord, ...],
    ) -> None:
        merged = merge_records((self.records.values(), records))
        self.records = {record.key: record for record in merged}
        self.installed = revision
        self.vouch_from = vouch_from
        self.fences = {known for known in self.fences if known >= revision}
        self.whole_at = {known for known in self.whole_at if known >= revision}
        self.fences.add(revision)
