"""The lists that a VM knows, those it has heard of, and who left them."""

from collections.abc import Iterable

from attrs import define, field

from jacinthcroft_decisions.internal.coordination.parameters import (
    CoordinationParameters,
)
from jacinthcroft_decisions.internal.coordination.placement import Placement


@define
class PlacementHistory:
    """Placements by revision; only the newest ones are kept."""

    parameters: CoordinationParameters
    _placements: dict[int, Placement] = field(factory=dict, init=False)
    _named: set[int] = field(factory=set, init=False)
    _absent_since: dict[str, float] = field(factory=dict, init=False)

    @property
    def missing(self) -> tuple[int, ...]:
        """Revisions that others named and this VM has no list of."""
        return tuple(sorted(self._named))

    def add(self, placement: Placement, now: float) -> None:
        """Keeps a placement, dropping the oldest beyond the limit."""
        self._placements[placement.revision] = placement
        self._named.discard(placement.revision)
        while len(self._placements) > self.parameters.history_limit:
            self._placements.pop(min(self._placements))
        newest = self._placements[max(self._placements)]
        for vm in newest.members:
            self._absent_since.pop(vm, None)
        for known in self._placements.values():
            self.note_absences(known.members, now)

    def note_absences(self, vms: Iterable[str], now: float) -> None:
        """Notes since when VMs are absent from the newest list."""
        newest = self._placements[max(self._placements)]
        for vm in vms:
            if vm not in newest.members:
                self._absent_since.setdefault(vm, now)

    def removed_vms(self, now: float) -> frozenset[str]:
        """Returns the VMs that have been absent from the list for long.

        Whatever they remember, no key that they know of is accepted any
        more, and the platform has stopped them.
        """
        return frozenset(
            vm
            for vm, absent_since in self._absent_since.items()
            if now - absent_since >= self.parameters.record_retention
        )

    def note_revisions(self, revisions: Iterable[int]) -> None:
        """Notes revisions that others named."""
        oldest = min(self._placements, default=0)
        self._named.update(
            revision
            for revision in revisions
            if revision > 0 and not self._is_known_or_dropped(revision, oldest)
        )

    def placements_before(self, revision: int) -> tuple[Placement, ...]:
        """Returns the placements below a revision, the newest first."""
        known = sorted(self._placements, reverse=True)
        return tuple(
            self._placements[number] for number in known if number < revision
        )

    def _is_known_or_dropped(self, revision: int, oldest: int) -> bool:
        is_dropped = len(self._placements) >= self.parameters.history_limit
        return revision in self._placements or (
            is_dropped and revision < oldest
        )
