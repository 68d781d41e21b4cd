"""A token bucket that can reclaim issued tokens that were not spent.

Reclaiming is exact: afterwards the bucket is in the state that it would be in
if the tokens had never been issued. Simply adding them to the level would
overfill it: without that issue the bucket could have been full in the
meantime, and the tokens refilled then would have been lost.
"""

from collections import OrderedDict

from attrs import define

from jacinthcroft_decisions.internal.traffic.bucket_limits import (
    BucketLimits,
)

# How long after their expiry unspent tokens can still be reclaimed.
RETURN_GRACE_SECONDS = 2.0

# Rounding in a refill can leave the level just below a whole number of tokens.
# Up to this difference it counts as the whole number.
_REFILL_ROUNDING_TOKENS = 1e-9


@define
class _Issue:
    """Tokens issued at one time.

    `headroom` is by how many tokens the level was below the capacity right
    before the issue. It shrinks when tokens of an earlier issue are reclaimed.
    """

    issued_at: float
    tokens: int
    headroom: float
    reclaimed: int = 0


class TokenBucket:
    """Tokens refilled at a steady rate up to a capacity."""

    def __init__(self, limits: BucketLimits, now: float) -> None:
        """Starts empty at `now`."""
        self._limits = limits
        self._level: float = 0
        self._refilled_at = now
        self._issues: OrderedDict[str, _Issue] = OrderedDict()

    @property
    def limits(self) -> BucketLimits:
        """The limits in force."""
        return self._limits

    def compute_level(self, now: float) -> float:
        """Returns the available tokens, including a fraction of one."""
        elapsed = max(0, now - self._refilled_at)
        return min(
            self._limits.capacity,
            self._level + elapsed * self._limits.refill_rate,
        )

    def count_available(self, now: float) -> int:
        """Returns the number of whole tokens available."""
        return int(self.compute_level(now) + _REFILL_ROUNDING_TOKENS)

    def compute_token_wait(self, now: float) -> float:
        """Returns the time until one token is available, in seconds.

        A bucket that is never refilled returns RETURN_GRACE_SECONDS.
        """
        if self._limits.refill_rate <= 0:
            return RETURN_GRACE_SECONDS
        return max(0, 1 - self.compute_level(now)) / self._limits.refill_rate

    def issue_tokens(self, issue_id: str, tokens: int, now: float) -> None:
        """Issues tokens; `count_available` must be at least as many."""
        self._refill(now)
        self._forget_old_issues(now)
        headroom = self._limits.capacity - self._level
        self._issues[issue_id] = _Issue(now, tokens, headroom)
        self._level -= tokens

    def reclaim_tokens(self, issue_id: str, tokens: int, now: float) -> int:
        """Undoes a part of an issue; returns by how much the level rises.

        `tokens` counts all tokens to reclaim from the issue, including those
        that were reclaimed before. For an unknown issue nothing is reclaimed.
        """
        self._refill(now)
        self._forget_old_issues(now)
        issue = self._issues.get(issue_id)
        if issue is None:
            return 0
        total = min(tokens, issue.tokens)
        reclaimed_tokens = max(0, total - issue.reclaimed)
        issue.reclaimed += reclaimed_tokens
        return self._raise_level_since(issue_id, reclaimed_tokens)

    def change_limits(self, limits: BucketLimits, now: float) -> None:
        """Puts new limits in force; earlier issues are no longer reclaimed."""
        self._refill(now)
        self._issues.clear()
        self._limits = limits
        self._level = min(self._level, limits.capacity)

    def _raise_level_since(self, issue_id: str, reclaimed_tokens: int) -> int:
        later_issues = self._find_later_issues(issue_id)
        regained = float(reclaimed_tokens)
        # Had the reclaimed tokens not been issued, the level right before each
        # later issue would have been higher, but at most by its headroom.
        # Tokens beyond the headroom would have been lost.
        for issue in later_issues:
            regained = max(0, min(regained, issue.headroom))
            issue.headroom -= regained
        regained = min(regained, self._limits.capacity - self._level)
        self._level += max(0, regained)
        return int(regained)

    def _find_later_issues(self, issue_id: str) -> list[_Issue]:
        later_issues: list[_Issue] = []
        for known_id in reversed(self._issues):
            if known_id == issue_id:
                break
            later_issues.append(self._issues[known_id])
        later_issues.reverse()
        return later_issues

    def _refill(self, now: float) -> None:
        self._level = self.compute_level(now)
        self._refilled_at = max(self._refilled_at, now)

    def _forget_old_issues(self, now: float) -> None:
        min_issued_at = now - self._limits.lifetime - RETURN_GRACE_SECONDS
        while self._issues:
            issue_id = next(iter(self._issues))
            if self._issues[issue_id].issued_at >= min_issued_at:
                return
            self._issues.pop(issue_id)
