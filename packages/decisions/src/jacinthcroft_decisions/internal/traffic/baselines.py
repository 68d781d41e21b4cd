"""The usual simple ways, for comparison in the bench."""

from collections.abc import Sequence

from jacinthcroft_config import Team

BASELINE_ERRORS = 5
BASELINE_EJECTION_SECONDS = 30.0


class ConsecutiveErrors:
    """Ejects a target after some errors in a row, for a fixed time."""

    def __init__(
        self,
        limit: int = BASELINE_ERRORS,
        ejection_seconds: float = BASELINE_EJECTION_SECONDS,
    ) -> None:
        """Starts without errors."""
        self._limit = limit
        self._ejection_seconds = ejection_seconds
        self._errors: dict[str, int] = {}
        self._ejected_until: dict[str, float] = {}

    def is_ejected(self, target: str, now: float) -> bool:
        """Whether the target gets no requests."""
        return now < self._ejected_until.get(target, now)

    def note(self, target: str, *, is_error: bool, now: float) -> None:
        """Counts one finished request."""
        errors = self._errors.get(target, 0) + 1 if is_error else 0
        if errors >= self._limit:
            self._ejected_until[target] = now + self._ejection_seconds
            errors = 0
        self._errors[target] = errors


class FixedShare:
    """Gives each VM an equal part of a team's rate and burst."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Starts with the whole burst; the rate is per second."""
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._filled_at = now

    @classmethod
    def from_config(cls, team: Team, vm_count: int, now: float) -> 'FixedShare':
        """Splits a team's limits over the fleet."""
        # A part below one token would never let a request through.
        burst = max(1.0, team.burst / vm_count)
        return cls(team.rate / vm_count, burst, now)

    def spend(self, now: float) -> bool:
        """Takes one token; returns whether there was one."""
        elapsed = max(0, now - self._filled_at)
        self._level = min(self._burst, self._level + elapsed * self._rate)
        self._filled_at = now
        if self._level < 1:
            return False
        self._level -= 1
        return True


class RoundRobin:
    """Each VM goes round the targets by itself."""

    def __init__(self, targets: Sequence[str]) -> None:
        """Starts with the first target."""
        self._targets = tuple(targets)
        self._next = 0

    def take(self) -> str | None:
        """Returns the next target, if there are any."""
        if not self._targets:
            return None
        target = self._targets[self._next % len(self._targets)]
        self._next += 1
        return target
