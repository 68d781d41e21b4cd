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

# Counts a level of 0.9999999, the result of rounding in a refill, as a whole
# token.
_REFILL_ROUNDING_TOKENS = 1e-9


@define
class _Issue:
    """Tokens issued at one time.

    `headroom` is the number of tokens that the bucket was short of its
    capacity when they were issued.
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
        """Returns the time until one token is available, in seconds."""
        if self._limits.refill_rate <= 0:
            return RETURN_GRACE_SECONDS
        return max(0, 1 - self.compute_level(now)) / self._limits.refill_rate

    def issue_tokens(self, issue_id: str, tokens: int, now: float) -> None:
        """Removes tokens, not more than `count_available` returns."""
        self._refill(now)
        self._forget_old_issues(now)
        headroom = self._limits.capacity - self._level
        self._issues[issue_id] = _Issue(now, tokens, headroom)
        self._level -= tokens

    def reclaim_tokens(self, issue_id: str, tokens: int, now: float) -> int:
        """Undoes a part of an issue; returns by how much the level rises.

        `tokens` is the total of the issue so far, including tokens that were
        reclaimed before. For an unknown issue nothing is reclaimed.
        """
        self._refill(now)
        self._forget_old_issues(now)
        issue = self._issues.get(issue_id)
        if issue is None:
            return 0
        total = min(tokens, issue.tokens)
        undone = max(0, total - issue.reclaimed)
        issue.reclaimed += undone
        return self._raise_level_since(issue_id, undone)

    def change_limits(self, limits: BucketLimits, now: float) -> None:
        """Puts new limits in force; earlier issues can't be reclaimed then."""
        self._refill(now)
        self._issues.clear()
        self._limits = limits
        self._level = min(self._level, limits.capacity)

    def _raise_level_since(self, issue_id: str, undone: int) -> int:
        later = self._find_later_issues(issue_id)
        regained = float(undone)
        # Without the undone issue the level right before each later issue would
        # have been higher, but at most by the headroom of that issue. Tokens
        # beyond the headroom would have been lost.
        for issue in later:
            regained = max(0, min(regained, issue.headroom))
            issue.headroom -= regained
        regained = min(regained, self._limits.capacity - self._level)
        self._level += max(0, regained)
        return int(regained)

    def _find_later_issues(self, issue_id: str) -> list[_Issue]:
        later: list[_Issue] = []
        for known_id in reversed(self._issues):
            if known_id == issue_id:
                break
            later.append(self._issues[known_id])
        later.reverse()
        return later

    def _refill(self, now: float) -> None:
        self._level = self.compute_level(now)
        self._refilled_at = max(self._refilled_at, now)

    def _forget_old_issues(self, now: float) -> None:
        oldest_issue = now - self._limits.lifetime - RETURN_GRACE_SECONDS
        while self._issues:
            issue_id = next(iter(self._issues))
            if self._issues[issue_id].issued_at >= oldest_issue:
                return
            self._issues.pop(issue_id)
