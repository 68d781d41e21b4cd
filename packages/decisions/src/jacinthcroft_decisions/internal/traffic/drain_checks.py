"""Schedules the probes by which a cell's holder learns which targets drain.

A target reports in its answers that it drains. Without probes, a new holder
would have to send a request to every target to learn it, and any holder to a
draining target once the earlier report has expired.
"""

from collections.abc import Iterable

# Several checks fit into `DRAIN_RETENTION_SECONDS` (`cell_target`), so that
# after one lost probe a draining target still gets no requests.
DRAIN_CHECK_INTERVAL_SECONDS = 8.0


class DrainChecks:
    """Schedules the drain checks of one holder."""

    def __init__(self, unchecked: Iterable[str]) -> None:
        """Starts with the targets that are to be checked at once."""
        self._due_at: dict[str, float] = dict.fromkeys(unchecked, 0)

    def take_due(self, draining: Iterable[str], now: float) -> tuple[str, ...]:
        """Returns the targets to check now, and counts them as checked.

        Draining targets are checked again after the check interval.
        """
        for name in draining:
            self._due_at.setdefault(name, now + DRAIN_CHECK_INTERVAL_SECONDS)
        due = tuple(
            target for target, due_at in self._due_at.items() if due_at <= now
        )
        for checked in due:
            self._due_at.pop(checked)
        return due
