"""Team limits as fixed shares: each VM has limit divided by VMs."""

from attrs import define, field


@define(eq=False)
class FixedShare:
    """One VM's share of a team's rate and burst as a token bucket."""

    rate: float
    burst: float
    _level: float = field(init=False)
    _refilled_at: float = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        """Starts full."""
        self._level = self.burst

    def spend(self, now: float) -> bool:
        """Takes a token if there is one."""
        refill = self.rate * (now - self._refilled_at)
        self._level = min(self.burst, self._level + refill)
        self._refilled_at = now
        if self._level < 1:
            return False
        self._level -= 1
        return True
