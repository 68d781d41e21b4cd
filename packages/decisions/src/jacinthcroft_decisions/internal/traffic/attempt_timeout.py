"""How long a first attempt may take before a second target is tried.

A target that stalls would keep a request waiting until its deadline. The first
attempt of an idempotent request that can be sent again has a shorter timeout, a
multiple of what the service's answers usually take. A stall then costs the
caller little time, and the cell, which selects the targets of the service,
hears of it early.
"""

from typing import Final

from jacinthcroft_decisions.internal.traffic.latency_stats import LatencyStats

# An answer that takes this many times as long as nine out of ten others counts
# as stalled.
STALL_FACTOR: Final = 8.0
# With a shorter timeout a busy VM would mistake its own delay for a stall.
MIN_TIMEOUT_SECONDS: Final = 0.25
# A first attempt gets at most this share of the time until the deadline. The
# rest is left for a second attempt. The reserve for an answer is bounded alike.
MAX_SHARE_OF_REMAINING: Final = 0.5
# How many usual answer times are reserved for the answer. It is more than one
# because a permit, which allows the VM to use a target, may be granted at the
# end of the wait for it, and its reply to the VM uses up a part of the reserve.
RESERVE_FACTOR: Final = 2.0
# How long answers are assumed to take until enough of them were measured.
ASSUMED_LATENCY_SECONDS: Final = 0.125


class AttemptTimeout:
    """Computes timeouts from the latencies of one service at one VM."""

    def __init__(self) -> None:
        """Starts without any answer."""
        self._latencies = LatencyStats()

    @property
    def _usual_latency(self) -> float:
        """The longest that nine out of ten answers take, in seconds."""
        if self._latencies.has_enough_samples:
            return self._latencies.high_quantile
        return ASSUMED_LATENCY_SECONDS

    def record_answer(self, latency: float) -> None:
        """Records the latency of an answer, in seconds."""
        self._latencies.add(latency)

    def record_abandoned(self, waited: float) -> None:
        """Records an attempt that was abandoned after `waited` seconds.

        It counts like an answer that took as long. Otherwise the timeout
        would never adapt to a service that has become slower as a whole. An
        attempt that had less time than answers usually take does not count:
        it tells nothing about the service and would only make the next
        reserve smaller.
        """
        if waited >= self._usual_latency:
            self._latencies.add(waited)

    def compute_answer_reserve(self, remaining: float) -> float:
        """Returns the seconds of `remaining` to reserve for the answer.

        A request may wait for its permit until only the reserve is left. A
        request that gets its permit too late to be answered would only take
        a slot from another one that can be.
        """
        limit = remaining * MAX_SHARE_OF_REMAINING
        return min(limit, RESERVE_FACTOR * self._usual_latency)

    def compute_latest_dispatch(self, latest: float, deadline: float) -> float:
        """Returns the latest time at which an attempt may be dispatched.

        `latest` is the end of the wait for a permit; if the reply is slow,
        the permit arrives later. An attempt may be dispatched while the usual
        time of an answer is left, since with less it would be cut off. If the
        deadline is too near for that, it may be dispatched while half of the
        reserve is left.
        """
        half_reserve_left = (latest + deadline) / 2
        return max(half_reserve_left, deadline - self._usual_latency)

    def compute_first_timeout(self, remaining: float) -> float:
        """Returns the timeout of a first attempt, in seconds.

        `remaining` is the time until the deadline, in seconds.
        """
        limit = remaining * MAX_SHARE_OF_REMAINING
        if not self._latencies.has_enough_samples:
            return limit
        stalled_after = STALL_FACTOR * self._usual_latency
        return min(limit, max(stalled_after, MIN_TIMEOUT_SECONDS))
