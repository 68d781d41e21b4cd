"""Whose turn it is among parties that share one line."""

from collections.abc import Iterable


class FairTurns:
    """Gives turns to the waiting party that has had the fewest.

    A party that comes back after a pause takes its place beside those that
    are waiting: it neither saves up turns nor pays for old ones.
    """

    def __init__(self) -> None:
        """Starts with no turns given."""
        self._turns: dict[str, int] = {}
        self._last_given = 0

    def next_of(self, waiting: Iterable[str]) -> str | None:
        """Returns the party whose turn it is; ties go by name."""
        return min(waiting, key=self._order, default=None)

    def give(self, party: str) -> None:
        """Counts a turn."""
        self._last_given = self._standing(party)
        self._turns[party] = self._last_given + 1

    def forget_absent(self, waiting: Iterable[str]) -> None:
        """Drops the counts that no longer matter."""
        present = set(waiting)
        for party, turns in tuple(self._turns.items()):
            if party not in present and turns <= self._last_given:
                self._turns.pop(party)

    def _order(self, party: str) -> tuple[int, str]:
        return self._standing(party), party

    def _standing(self, party: str) -> int:
        return max(self._turns.get(party, 0), self._last_given)
