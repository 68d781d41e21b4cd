"""Team limits as fixed shares: each VM has limit divided by VMs."""

from jacinthcroft_config import Team


class FixedShare:
    """Gives each VM an equal part of a team's rate and burst."""

    def __init__(self, rate: float, burst: float, now: float = 0) -> None:
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
