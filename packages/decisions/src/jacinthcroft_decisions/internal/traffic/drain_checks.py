"""Which targets' signs the holder reads by a probe, and when.

A target tells with its answers that it drains. A holder that has just taken
over would have to give every target work to hear of it, and so would any
holder once it has forgotten the sign. It reads the signs by a probe instead.
"""

from collections.abc import Iterable

# Several checks fit into the time for which a drain sign is remembered, so
# that one lost probe does not send work to a target that drains.
DRAIN_CHECK_INTERVAL_SECONDS = 8.0


class DrainChecks:
    """The checks of one holder."""

    def __init__(self, unknown: Iterable[str]) -> None:
        """Begins with targets of which nothing is known yet."""
        self._due_at: dict[str, float] = dict.fromkeys(unknown, 0)

    def due(self, draining: Iterable[str], now: float) -> tuple[str, ...]:
        """Returns the targets to check now, and counts them as checked."""
        for leaving in draining:
            self._due_at.setdefault(leaving, now + DRAIN_CHECK_INTERVAL_SECONDS)
        checked = tuple(
            target for target, due_at in self._due_at.items() if due_at <= now
        )
        for each in checked:
            self._due_at.pop(each)
        return checked
