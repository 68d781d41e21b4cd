"""How long a first attempt may take before a second target is tried.

A target that stalls some calls holds them until the deadline. An idempotent
request that can be sent again gives a target only a multiple of what the
service's answers usually take, so that a stalled call costs its caller
little and the cell hears of it early.
"""

from typing import Final

from jacinthcroft_decisions.internal.traffic.latency_stats import LatencyStats

# Answers this many times slower than nine out of ten others count as stalled.
STALL_FACTOR: Final = 8.0
# Shorter timeouts would mistake a busy VM for a stalled target.
MIN_TIMEOUT_SECONDS: Final = 0.25
# A second attempt needs the rest of the time.
MAX_SHARE_OF_REMAINING: Final = 0.5
# A permit may come at the last moment of the wait for it, and its way back
# takes a part of what is reserved for the answer.
RESERVE_FACTOR: Final = 2.0
# What an answer is assumed to take before there are enough of them.
ASSUMED_LATENCY_SECONDS: Final = 0.125


class AttemptTimeout:
    """One service's first attempts, as one VM sees them."""

    def __init__(self) -> None:
        """Starts without any answer."""
        self._latencies = LatencyStats()

    @property
    def _usual_latency(self) -> float:
        """What nine out of ten answers take at the most, in seconds."""
        if self._latencies.has_enough_samples:
            return self._latencies.high_quantile
        return ASSUMED_LATENCY_SECONDS

    def note_answer(self, latency: float) -> None:
        """Takes in how long an answer took, in seconds."""
        self._latencies.add(latency)

    def note_given_up(self, waited: float) -> None:
        """Takes in an attempt that was given up after `waited` seconds.

        It counts with its timeout; else a service that has become slower as
        a whole would be timed out for ever. An attempt that had less time
        than answers usually take says nothing of the service: counted, it
        would make the next reserve smaller still.
        """
        if waited >= self._usual_latency:
            self._latencies.add(waited)

    def reserve(self, remaining: float) -> float:
        """Returns the seconds to keep back for the answer while waiting.

        A request that gets its permit too late to be answered would only
        take a slot from one that can be.
        """
        limit = remaining * MAX_SHARE_OF_REMAINING
        return min(limit, RESERVE_FACTOR * self._usual_latency)

    def dispatch_by(self, latest: float, deadline: float) -> float:
        """Returns when an attempt must begin that waited until `latest`.

        A permit on a slow way back may arrive later than the wait for it
        allowed. The attempt would be cut off before its answer when less
        than an answer's usual time is left; where the deadline is too near
        for that, when more than half of the reserve is gone.
        """
        half_reserve_left = (latest + deadline) / 2
        return max(half_reserve_left, deadline - self._usual_latency)

    def first(self, remaining: float) -> float:
        """Returns the timeout in seconds of an attempt to be repeated."""
        limit = remaining * MAX_SHARE_OF_REMAINING
        if not self._latencies.has_enough_samples:
            return limit
        usual = STALL_FACTOR * self._usual_latency
        return min(limit, max(usual, MIN_TIMEOUT_SECONDS))
