"""Whether requests may be sent over connections that have been idle.

Targets may drop the state of a connection that was idle for a fraction of a
second, and reset the next request on it. A request that may run only once
fails then, and a repeatable one needs a second attempt. A new connection
costs a target some milliseconds, so idle ones are avoided only while enough
of them fail.
"""

from typing import Final

from attrs import define

# A connection counts as idle this long after its last use. Connections that
# were idle for less are always reused.
IDLE_CONNECTION_SECONDS: Final = 0.1
# Weight of the newest result in the moving average of the reset share.
NEWEST_RESULT_WEIGHT: Final = 0.04
# Share of resets above which idle connections are avoided. A few failing
# targets, which reset requests on any connection, do not reach it.
MAX_RESET_SHARE: Final = 0.12
# While idle connections are avoided, one in this many repeatable requests still
# uses one, which shows when the targets keep them open again.
TRIAL_INTERVAL_REQUESTS: Final = 4


@define
class IdleConnectionPolicy:
    """Tracks which share of recent sends on idle connections were reset."""

    _reset_share: float = 0

    @property
    def must_avoid_idle(self) -> bool:
        """Whether too many sends on idle connections were reset."""
        return self._reset_share > MAX_RESET_SHARE

    def record_result(self, *, was_reset: bool) -> None:
        """Records how a send over an idle connection ended."""
        step = (float(was_reset) - self._reset_share) * NEWEST_RESULT_WEIGHT
        self._reset_share += step

    def max_idle_seconds(
        self,
        number: int,
        *,
        is_repeatable: bool,
    ) -> float | None:
        """Returns how long a connection may have been idle to be used.

        Args:
            number: The sending VM's number of the request, by which the
                trial requests are selected.
            is_repeatable: Whether the request may run a second time.

        Returns:
            Seconds, or None if a connection may have been idle for any time.
        """
        if not self.must_avoid_idle:
            return None
        if is_repeatable and number % TRIAL_INTERVAL_REQUESTS == 0:
            return None
        return IDLE_CONNECTION_SECONDS
