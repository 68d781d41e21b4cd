"""Limits how many requests a cold target gets.

A target is cold while it warms up after its start.
Targets that restart together, after the outage of a zone or a release, crash
if they get their full share of the traffic at once.
"""

from typing import Final

from attrs import define

# Requests that a cold target may get at once.
COLD_BURST_REQUESTS: Final = 2.0


@define
class ColdStartLimiter:
    """A bucket with a token for each request that a cold target may get."""

    _tokens: float = 0
    _refilled_at: float = 0
    # The largest share so far, which has got its part of the first token.
    _largest_share: float = 0

    def may_send(self, now: float, rate: float, share: float) -> bool:
        """Whether one more request is within the target's rate.

        Args:
            now: The current time.
            rate: Requests a second that the cold target may get.
            share: The part of that rate that this deciding VM may use.
        """
        self._refill(now, rate * share)
        new_share = max(0, share - self._largest_share)
        self._tokens += new_share
        self._largest_share += new_share
        return self._tokens >= 1

    def count_request(self) -> None:
        """Takes the token of a request that is sent."""
        self._tokens -= 1

    def _refill(self, now: float, rate: float) -> None:
        if self._largest_share:
            refilled = self._tokens + (now - self._refilled_at) * rate
            self._tokens = min(COLD_BURST_REQUESTS, refilled)
        self._refilled_at = now
