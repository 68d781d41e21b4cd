"""How many retries a service bears: a share of its requests.

When every request fails, retries add at most that share to the load.
"""

RETRY_RATIO = 0.1
FLOOR_RETRIES_PER_SECOND = 1.0
MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Saves a part of a retry for each request."""

    def __init__(
        self,
        ratio: float = RETRY_RATIO,
        floor_rate: float = FLOOR_RETRIES_PER_SECOND,
        limit: float = MAX_SAVED_RETRIES,
        saved: float = 0,
    ) -> None:
        """Starts with what is saved; the floor rate is in retries a second."""
        self._ratio = ratio
        self._floor_rate = floor_rate
        self._limit = limit
        self._saved = saved
        self._saved_at: float | None = None

    def may_retry(self, now: float) -> bool:
        """Whether one more retry is within the budget."""
        return self._saved_by(now) >= 1

    def record_request(self, now: float) -> None:
        """Counts a first attempt."""
        self._save(self._ratio, now)

    def record_retry(self, now: float) -> None:
        """Counts a retry that `may_retry` allowed."""
        self._save(-1.0, now)

    def _saved_by(self, now: float) -> float:
        if self._saved_at is None:
            return self._saved
        elapsed = max(0, now - self._saved_at)
        return min(self._limit, self._saved + elapsed * self._floor_rate)

    def _save(self, retries: float, now: float) -> None:
        saved = self._saved_by(now) + retries
        self._saved = min(self._limit, max(0, saved))
        self._saved_at = now
