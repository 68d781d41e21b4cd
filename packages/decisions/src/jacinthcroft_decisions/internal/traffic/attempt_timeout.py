"""How long a first attempt may take before a second target is tried.

A target that stalls some calls holds them until the deadline. An idempotent
request that can be sent again gives a target only a multiple of what the
service's answers usually take, so that a stalled call costs its caller
little and the cell hears of it early.
"""

from typing import Final

from jacinthcroft_decisions.internal.traffic.latency_track import LatencyTrack

# Answers this many times slower than nine out of ten others count as stalled.
STALL_FACTOR: Final = 8.0
# Shorter timeouts would mistake a busy VM for a stalled target.
MIN_TIMEOUT_SECONDS: Final = 0.25
# A second attempt needs the rest of the time.
MAX_SHARE_OF_REMAINING: Final = 0.5


class AttemptTimeout:
    """One service's first attempts, as one VM sees them."""

    def __init__(self) -> None:
        """Starts without any answer."""
        self._latencies = LatencyTrack()

    def note(self, latency: float) -> None:
        """Takes in how long an attempt took, in seconds.

        Attempts that were given up count with their timeout; else a service
        that has become slower as a whole would be timed out for ever.
        """
        self._latencies.note(latency)

    def reserve(self, remaining: float) -> float:
        """Returns the seconds to keep back for the answer while waiting.

        A request that gets its permit too late to be answered would only
        take a slot from one that can be.
        """
        if not self._latencies.is_known:
            return 0
        limit = remaining * MAX_SHARE_OF_REMAINING
        return min(limit, self._latencies.high_quantile)

    def first(self, remaining: float) -> float:
        """Returns the timeout in seconds of an attempt to be repeated."""
        limit = remaining * MAX_SHARE_OF_REMAINING
        if not self._latencies.is_known:
            return limit
        usual = STALL_FACTOR * self._latencies.high_quantile
        return min(limit, max(usual, MIN_TIMEOUT_SECONDS))
