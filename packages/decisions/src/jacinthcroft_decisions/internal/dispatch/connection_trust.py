"""Whether a service's targets still know the connections kept to them.

Load answered: targets that forget connections which rested for a fraction of
a second and reset what comes next. A request that may run only once is lost
by that, a repeatable one pays with a second send. A new connection costs a
target some milliseconds, so rested ones are left only while enough of them
fail.
"""

from typing import Final

from attrs import define

# Connections that rested for less are never left, in seconds.
RESTED_SECONDS: Final = 0.1
# Weight of the newest send over a rested connection in the share that failed.
SHARE_WEIGHT: Final = 0.04
# Share of failures beyond which rested connections are left: a few failing
# targets, which reset what they get on any connection, stay below it.
LEAVE_SHARE: Final = 0.12
# Every so many repeatable requests use a rested connection all the same, and
# so find out when the targets keep them again.
TRIAL_EVERY: Final = 4


@define
class ConnectionTrust:
    """The share of recent sends over rested connections that were reset."""

    _failed_share: float = 0

    @property
    def is_lost(self) -> bool:
        """Whether rested connections are better left."""
        return self._failed_share > LEAVE_SHARE

    def take(self, *, was_reset: bool) -> None:
        """Takes in how a send over a rested connection ended."""
        step = (float(was_reset) - self._failed_share) * SHARE_WEIGHT
        self._failed_share += step

    def max_rest(self, number: int, *, is_repeatable: bool) -> float | None:
        """Returns how long a connection may have rested, None for any time."""
        if not self.is_lost:
            return None
        if is_repeatable and number % TRIAL_EVERY == 0:
            return None
        return RESTED_SECONDS
