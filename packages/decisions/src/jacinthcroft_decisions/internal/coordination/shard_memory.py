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
from jacinthcroft_decisions.internal.coordination.witness_sets import (
    WitnessSet,
)


@define
class ShardMemory:
    """Fences, installation, lease and records of one shard."""

    vouch_from: float
    fences: dict[int, WitnessSet] = field(factory=dict)
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
            fences=tuple(sorted(self.fences.values())),
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

    def fence(self, witnesses: WitnessSet) -> None:
        """Refuses every lower revision from now on.

        All fences above the installed revision are kept: each may be the
        trace of a list that a later driver has never met.
        """
        self.fences[witnesses.revision] = witnesses

    def note_whole(self, revision: int, limit: int) -> None:
        """Notes that nothing is lost of a list; keeps the newest ones."""
        self.whole_at.add(revision)
        self.whole_at = set(sorted(self.whole_at)[-limit:])

    def install(self, request: InstallRequest, vouch_from: float) -> None:
        """Starts to answer for a revision with what its driver gathered."""
        witnesses = WitnessSet(request.revision, request.witnesses)
        self._take(witnesses, vouch_from, request.records)

    def restore(
        self,
        witnesses: WitnessSet,
        vouch_from: float,
        views: tuple[ShardView, ...],
    ) -> None:
        """Goes on answering for a revision after a restart."""
        copies = (view.records for view in views)
        self._take(witnesses, vouch_from, merge_records(copies))

    def _take(
        self,
        witnesses: WitnessSet,
        vouch_from: float,
        records: tuple[ClaimRecord, ...],
    ) -> None:
        merged = merge_records((self.records.values(), records))
        self.records = {record.key: record for record in merged}
        self.installed = witnesses.revision
        self.vouch_from = vouch_from
        self.fence(witnesses)
        self.fences = {
            revision: fence
            for revision, fence in self.fences.items()
            if revision >= self.installed
        }
