"""How many requests a cold target gets.

Load answered: targets that come back together, after a zone's outage or a
release, and crash when they get their share of the traffic at once.
"""

from typing import Final

from attrs import define

# Requests that a cold target may get at once.
COLD_BURST: Final = 2.0


@define
class ColdAllowance:
    """A bucket of requests for one cold target, `share` of its rate."""

    _level: float = 1.0
    _filled_at: float | None = None

    def may_send(self, now: float, rate: float, share: float) -> bool:
        """Whether one more request is within the target's rate."""
        self._fill(now, rate * share)
        return self._level >= 1

    def note_sent(self) -> None:
        """Counts a request."""
        self._level -= 1

    def _fill(self, now: float, rate: float) -> None:
        if self._filled_at is not None:
            grown = self._level + (now - self._filled_at) * rate
            self._level = min(COLD_BURST, grown)
        self._filled_at = now
