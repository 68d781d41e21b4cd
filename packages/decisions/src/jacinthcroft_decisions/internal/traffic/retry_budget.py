"""Limits a service's retries to a share of its requests.

If every request fails, retries increase the load by at most that share, plus
a small constant rate that lets a service with few requests retry as well.
Retries that are not made are saved for later, up to a limit.
"""

# Retries per request.
RETRY_RATIO = 0.1
FLOOR_RETRIES_PER_SECOND = 1.0
MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Accumulates a fraction of a retry with each request."""

    def __init__(
        self,
        ratio: float = RETRY_RATIO,
        floor_rate: float = FLOOR_RETRIES_PER_SECOND,
        limit: float = MAX_SAVED_RETRIES,
        saved: float = 0,
    ) -> None:
        """Starts with `saved` retries.

        Args:
            ratio: Retries added per request.
            floor_rate: Retries added per second without any request.
            limit: The most retries that can be saved.
            saved: Retries available at the start.
        """
        self._ratio = ratio
        self._floor_rate = floor_rate
        self._limit = limit
        self._saved = saved
        self._updated_at: float | None = None

    def may_retry(self, now: float) -> bool:
        """Whether one more retry is within the budget."""
        return self._compute_saved(now) >= 1

    def record_request(self, now: float) -> None:
        """Counts a first attempt."""
        self._add_retries(self._ratio, now)

    def record_retry(self, now: float) -> None:
        """Counts a retry; call it only after `may_retry` has allowed it."""
        self._add_retries(-1.0, now)

    def _compute_saved(self, now: float) -> float:
        if self._updated_at is None:
            return self._saved
        elapsed = max(0, now - self._updated_at)
        return min(self._limit, self._saved + elapsed * self._floor_rate)

    def _add_retries(self, retries: float, now: float) -> None:
        saved = self._compute_saved(now) + retries
        self._saved = min(self._limit, max(0, saved))
        self._updated_at = now
