"""The VM lists that a VM has or has heard of, and the VMs removed from them.

A placement assigns the witnesses of each shard under one list revision.
"""

from collections.abc import Iterable

from attrs import define, field

from jacinthcroft_decisions.internal.coordination.config import (
    CoordinationConfig,
)
from jacinthcroft_decisions.internal.coordination.placement import Placement


@define
class PlacementHistory:
    """Placements by list revision; only the newest ones are kept."""

    config: CoordinationConfig
    _placements: dict[int, Placement] = field(factory=dict, init=False)
    _missing_revisions: set[int] = field(factory=set, init=False)
    _absent_since: dict[str, float] = field(factory=dict, init=False)

    @property
    def missing(self) -> tuple[int, ...]:
        """Revisions that other VMs named and whose list this VM lacks."""
        return tuple(sorted(self._missing_revisions))

    def add(self, placement: Placement, now: float) -> None:
        """Adds a placement and drops the oldest ones above the limit."""
        self._placements[placement.revision] = placement
        self._missing_revisions.discard(placement.revision)
        while len(self._placements) > self.config.history_limit:
            self._placements.pop(min(self._placements))
        newest = self._placements[max(self._placements)]
        for vm in newest.members:
            self._absent_since.pop(vm, None)
        for kept in self._placements.values():
            self.note_absences(kept.members, now)

    def note_absences(self, vms: Iterable[str], now: float) -> None:
        """Records the VMs that are absent from the newest list at `now`."""
        newest = self._placements[max(self._placements)]
        for vm in vms:
            if vm not in newest.members:
                self._absent_since.setdefault(vm, now)

    def removed_vms(self, now: float) -> frozenset[str]:
        """Returns the VMs absent from the list for the record retention.

        No key that they have a record of is accepted any more, and the
        platform has stopped them.
        """
        return frozenset(
            vm
            for vm, absent_since in self._absent_since.items()
            if now - absent_since >= self.config.record_retention
        )

    def note_revisions(self, revisions: Iterable[int]) -> None:
        """Records revisions that other VMs named."""
        oldest = min(self._placements, default=0)
        self._missing_revisions.update(
            revision
            for revision in revisions
            if revision > 0 and not self._is_known_or_dropped(revision, oldest)
        )

    def placements_before(self, revision: int) -> tuple[Placement, ...]:
        """Returns the placements below a revision, the newest first."""
        newest_first = sorted(self._placements, reverse=True)
        return tuple(
            self._placements[earlier]
            for earlier in newest_first
            if earlier < revision
        )

    def _is_known_or_dropped(self, revision: int, oldest: int) -> bool:
        is_dropped = len(self._placements) >= self.config.history_limit
        return revision in self._placements or (
            is_dropped and revision < oldest
        )
