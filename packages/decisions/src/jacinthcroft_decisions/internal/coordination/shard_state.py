"""What one witness remembers of one shard.

Records outlive list revisions: a witness that takes part in the next list
too merges what it is handed with what it has. `started_wall_time` bounds what an
earlier incarnation may have known: any key whose own time is later can't
have been claimed here before this incarnation started.

`conclusive_at` names the lists whose read-back lacks nobody's answer that
counts. Once installed for one of them, the witness knows that its earlier
incarnation took no part in any later list: `recovery` tells why.
"""

import math

from attrs import define, field

from jacinthcroft_decisions.internal.coordination.messages import (
    InstallRequest,
    ShardView,
)
from jacinthcroft_decisions.internal.coordination.records import (
    ClaimRecord,
    merge_records,
)
from jacinthcroft_decisions.internal.coordination.witness_lease import (
    WitnessLease,
)
from jacinthcroft_decisions.internal.coordination.witness_sets import (
    WitnessSet,
)


@define
class ShardState:
    """Fences, installation, lease and records of one shard."""

    vouch_from: float
    fences: dict[int, WitnessSet] = field(factory=dict)
    installed: int = 0
    whole_at: set[int] = field(factory=set)
    conclusive_at: set[int] = field(factory=set)
    _whole_above: float = field(default=math.inf, init=False)
    lease: WitnessLease = field(factory=WitnessLease)
    records: dict[str, ClaimRecord] = field(factory=dict)

    @property
    def newest(self) -> int:
        """The highest revision that this shard was fenced at."""
        return max(self.fences, default=0)

    @property
    def needs_later_list_check(self) -> bool:
        """Whether lists yet to come may still have a lost past."""
        return math.isinf(self._whole_above)

    def view(
        self,
        now: float,
        body_limit: int,
        is_whole: bool,
        *,
        has_records: bool = True,
    ) -> ShardView:
        """Returns all of it, for drivers and restarted witnesses.

        Who asks after lists only is spared the copies of all records.
        """
        records = self.records.values() if has_records else ()
        return ShardView(
            fences=tuple(sorted(self.fences.values())),
            installed=self.installed,
            vouch_from=self.vouch_from,
            lease=self.lease.view(now),
            records=tuple(
                record.for_transfer(body_limit) for record in records
            ),
            whole_at=tuple(sorted(self.whole_at)),
            is_whole=is_whole,
        )

    def is_stale(self, revision: int) -> bool:
        """Whether the shard is fenced above the revision."""
        return revision < self.newest

    def is_whole_for(self, revision: int) -> bool:
        """Whether no vote under the revision can have been forgotten."""
        return revision in self.whole_at or revision > self._whole_above

    def note_whole_above(self, revision: int) -> None:
        """Notes that nothing can be lost of any list above a revision."""
        self._whole_above = min(self._whole_above, revision)

    def fence(self, witnesses: WitnessSet) -> None:
        """Refuses every lower revision from now on.

        All fences above the installed revision are kept: each may be the
        trace of a list that a later driver has never met.
        """
        self.fences[witnesses.revision] = witnesses

    def note_whole(
        self, revision: int, is_conclusive: bool, limit: int
    ) -> None:
        """Notes that nothing is lost of a list; keeps the newest ones."""
        self.whole_at = _keep_newest({*self.whole_at, revision}, limit)
        if is_conclusive:
            self.conclusive_at = _keep_newest(
                {*self.conclusive_at, revision},
                limit,
            )

    def install(self, request: InstallRequest, vouch_from: float) -> None:
        """Starts to answer for a revision with what its driver gathered."""
        witnesses = WitnessSet(request.revision, request.witnesses)
        self._install_records(witnesses, vouch_from, request.records)

    def restore(
        self,
        witnesses: WitnessSet,
        vouch_from: float,
        views: tuple[ShardView, ...],
    ) -> None:
        """Goes on answering for a revision after a restart."""
        copies = (view.records for view in views)
        self._install_records(witnesses, vouch_from, merge_records(copies))

    def _install_records(
        self,
        witnesses: WitnessSet,
        vouch_from: float,
        records: tuple[ClaimRecord, ...],
    ) -> None:
        merged = merge_records((self.records.values(), records))
        self.records = {record.key: record for record in merged}
        self.installed = witnesses.revision
        if self.installed in self.conclusive_at:
            # The list was not stale a moment ago: no later one is known.
            self.note_whole_above(self.installed)
        self.vouch_from = vouch_from
        self.fence(witnesses)
        self.fences = {
            revision: fence
            for revision, fence in self.fences.items()
            if revision >= self.installed
        }


def _keep_newest(revisions: set[int], limit: int) -> set[int]:
    return set(sorted(revisions)[-limit:])
