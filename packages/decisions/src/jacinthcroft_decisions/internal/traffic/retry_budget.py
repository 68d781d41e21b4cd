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
        share: float = 1,
    ) -> None:
        """Starts with a share of `saved` retries.

        Args:
            ratio: Retries added per request.
            floor_rate: Retries added per second without any request.
            limit: The most retries that can be saved.
            saved: Retries available at the start.
            share: The part of all that does not depend on the requests which
                this budget may use, where several budgets serve one service.
        """
        self._ratio = ratio
        self._floor_rate = floor_rate
        self._limit = limit
        self._initial = saved
        self._saved = saved * share
        self._share = share
        self._largest_share = share
        self._updated_at: float | None = None

    def rescale(self, share: float, now: float) -> None:
        """Changes the share; a larger one adds to the saved retries."""
        if share == self._share:
            return
        self._saved = self._compute_saved(now)
        self._updated_at = now
        self._share = share
        if share > self._largest_share:
            self._saved += self._initial * (share - self._largest_share)
            self._largest_share = share
        self._saved = min(self._saved, self._compute_limit())

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
        refilled = self._saved + elapsed * self._floor_rate * self._share
        return min(self._compute_limit(), refilled)

    def _compute_limit(self) -> float:
        # At least one, or a share of the requests' retries could not be saved.
        return max(1, self._limit * self._share)

    def _add_retries(self, retries: float, now: float) -> None:
        saved = self._compute_saved(now) + retries
        self._saved = min(self._compute_limit(), max(0, saved))
        self._updated_at = now
