"""The state that one witness keeps of one shard, in memory only.

A shard is a share of the idempotency keys and other resources. Its witnesses
vote on claims of keys, each kept as a record, and on the lease of the one VM
that may use the shard. The driver of a newer VM list, the VM that activates
it, fences the witnesses of earlier lists, which then refuse all lower list
revisions, and installs the new list's witnesses, which then serve it.

Records are kept across list revisions: a witness of two successive lists
merges the records that it receives with its own.

`vouch_from` starts at the latest key time (creation time of a key, in Unix
seconds) that an earlier incarnation, one before the VM's last start, may have
accepted: a key with a later time can't have been claimed here before
this incarnation started. A witness refuses keys up to `vouch_from`, because
it may have lost their records.

`whole_at` holds the list revisions for which the state is whole, that is, no
vote under them can have been forgotten. `conclusive_at` holds those whose
read-back had every answer that matters. A witness that is installed for one
of these knows that its earlier incarnation voted under no later list;
`recovery` explains why.
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
    """Fences, installed revision, lease and claim records of one shard."""

    vouch_from: float
    fences: dict[int, WitnessSet] = field(factory=dict)
    installed: int = 0
    whole_at: set[int] = field(factory=set)
    conclusive_at: set[int] = field(factory=set)
    _whole_above: float = field(default=math.inf, init=False)
    lease: WitnessLease = field(factory=WitnessLease)
    records: dict[str, ClaimRecord] = field(factory=dict)

    @property
    def newest_fence(self) -> int:
        """The highest fenced revision, 0 without fences."""
        return max(self.fences, default=0)

    @property
    def needs_later_list_check(self) -> bool:
        """Whether votes under lists not yet adopted may have been lost."""
        return math.isinf(self._whole_above)

    def view(
        self,
        now: float,
        body_limit: int,
        is_whole: bool,
        *,
        has_records: bool = True,
    ) -> ShardView:
        """Returns the state as drivers and restarted witnesses receive it.

        `has_records` is false for requests that concern only lists, to save
        copying the records.
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
        """Whether a fence refuses the revision."""
        return revision < self.newest_fence

    def is_whole_for(self, revision: int) -> bool:
        """Whether no vote under the revision can have been forgotten."""
        return revision in self.whole_at or revision > self._whole_above

    def note_whole_above(self, revision: int) -> None:
        """Marks all lists above the revision as whole."""
        self._whole_above = min(self._whole_above, revision)

    def fence(self, witnesses: WitnessSet) -> None:
        """Refuses every lower revision from now on.

        All fences above the installed revision are kept, because a later
        driver may learn of a list only from its fence.
        """
        self.fences[witnesses.revision] = witnesses

    def note_whole(
        self, revision: int, is_conclusive: bool, limit: int
    ) -> None:
        """Marks a list as whole; keeps the `limit` newest lists' marks."""
        self.whole_at = _keep_newest({*self.whole_at, revision}, limit)
        if is_conclusive:
            self.conclusive_at = _keep_newest(
                {*self.conclusive_at, revision},
                limit,
            )

    def install(self, request: InstallRequest, vouch_from: float) -> None:
        """Serves a revision with the records that its driver collected."""
        witnesses = WitnessSet(request.revision, request.witnesses)
        self._serve_revision(witnesses, vouch_from, request.records)

    def restore(
        self,
        witnesses: WitnessSet,
        vouch_from: float,
        views: tuple[ShardView, ...],
    ) -> None:
        """Serves a revision again after a restart, from others' views."""
        record_sets = (view.records for view in views)
        self._serve_revision(witnesses, vouch_from, merge_records(record_sets))

    def _serve_revision(
        self,
        witnesses: WitnessSet,
        vouch_from: float,
        records: tuple[ClaimRecord, ...],
    ) -> None:
        merged = merge_records((self.records.values(), records))
        self.records = {record.key: record for record in merged}
        self.installed = witnesses.revision
        if self.installed in self.conclusive_at:
            # Callers check that the list is not stale, so no later list has
            # fenced this shard.
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
