"""Schedules the probes by which a cell's holder learns which targets drain.

A cell is the set of targets of one service, and its holder the VM that manages
it at present. A target that drains, that is, wants no new requests, says so in
its answers. Without probes, a new holder would have to send a caller's request
to every target to learn it; and once an earlier report has expired, any holder
would have to send one to the draining target.
"""

from collections.abc import Iterable

# Several checks fit into `DRAIN_RETENTION_SECONDS` (`cell_target`), so that
# after one lost probe a draining target still gets no requests.
DRAIN_CHECK_INTERVAL_SECONDS = 8.0


class DrainChecks:
    """Schedules the drain checks, as these probes are called, of a holder."""

    def __init__(self, unchecked_targets: Iterable[str]) -> None:
        """Starts with the targets that are to be checked at once."""
        self._due_at: dict[str, float] = dict.fromkeys(unchecked_targets, 0)

    def take_due(
        self, draining_targets: Iterable[str], now: float
    ) -> tuple[str, ...]:
        """Returns the targets to check now, and counts them as checked.

        Draining targets are checked again after the check interval.
        """
        for name in draining_targets:
            self._due_at.setdefault(name, now + DRAIN_CHECK_INTERVAL_SECONDS)
        due_targets = tuple(
            target for target, due_at in self._due_at.items() if due_at <= now
        )
        for due_target in due_targets:
            self._due_at.pop(due_target)
        return due_targets
