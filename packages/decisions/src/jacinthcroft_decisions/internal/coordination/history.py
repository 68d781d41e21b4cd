"""The list revisions that a VM knows, and those it has only heard of."""

from collections.abc import Iterable

from attrs import define, field

from jacinthcroft_decisions.internal.coordination.placement import Placement
from jacinthcroft_decisions.internal.coordination.terms import (
    CoordinationTerms,
)


@define
class PlacementHistory:
    """Placements by revision; only the newest ones are kept."""

    terms: CoordinationTerms
    _placements: dict[int, Placement] = field(factory=dict, init=False)
    _heard: set[int] = field(factory=set, init=False)

    @property
    def missing(self) -> tuple[int, ...]:
        """Revisions that others named and this VM has no list of."""
        return tuple(sorted(self._heard))

    def add(self, placement: Placement) -> None:
        """Keeps a placement, dropping the oldest beyond the limit."""
        self._placements[placement.revision] = placement
        self._heard.discard(placement.revision)
        while len(self._placements) > self.terms.history_limit:
            self._placements.pop(min(self._placements))

    def hear(self, revisions: Iterable[int]) -> None:
        """Notes revisions that others named."""
        oldest = min(self._placements, default=0)
        self._heard.update(
            revision
            for revision in revisions
            if revision > 0 and not self._is_known(revision, oldest)
        )

    def earlier(self, revision: int) -> tuple[Placement, ...]:
        """Returns the placements below a revision, the newest first."""
        known = sorted(self._placements, reverse=True)
        return tuple(
            self._placements[number] for number in known if number < revision
        )

    def unknown(self, revisions: Iterable[int]) -> frozenset[int]:
        """Returns those of the revisions that this VM has no list of."""
        return frozenset(revisions).difference(self._placements)

    def _is_known(self, revision: int, oldest: int) -> bool:
        is_dropped = len(self._placements) >= self.terms.history_limit
        return revision in self._placements or (
            is_dropped and revision < oldest
        )
