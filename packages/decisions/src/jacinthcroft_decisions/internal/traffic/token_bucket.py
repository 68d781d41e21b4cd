"""A token bucket that can take back what it issued.

Taking back is exact: the bucket ends in the state in which the returned
tokens were never issued. A plain refund would be too much, because a bucket
without that issue could have been full in the meantime and spilled.
"""

from collections import OrderedDict

from attrs import define

from jacinthcroft_decisions.internal.traffic.bucket_limits import (
    BucketLimits,
)

# How long after their expiry unspent tokens may still be taken back.
RETURN_GRACE_SECONDS = 2.0

# An expected level of 0.9999999 after a refill counts as a whole token.
_REFILL_ROUNDING_TOKENS = 1e-9


@define
class _Issue:
    """One issue; `headroom` is what the bucket lacked right before it."""

    issued_at: float
    tokens: int
    headroom: float
    returned: int = 0


class TokenBucket:
    """Tokens refilled at a steady rate up to a capacity."""

    def __init__(self, limits: BucketLimits, now: float) -> None:
        """Starts empty at `now`."""
        self._limits = limits
        self._level: float = 0
        self._filled_at = now
        self._issues: OrderedDict[str, _Issue] = OrderedDict()

    @property
    def limits(self) -> BucketLimits:
        """The bounds in force."""
        return self._limits

    def level(self, now: float) -> float:
        """Returns the tokens at hand, in parts of tokens."""
        elapsed = max(0, now - self._filled_at)
        return min(
            self._limits.capacity,
            self._level + elapsed * self._limits.refill_rate,
        )

    def count_available(self, now: float) -> int:
        """Returns the whole tokens at hand."""
        return int(self.level(now) + _REFILL_ROUNDING_TOKENS)

    def seconds_until_token(self, now: float) -> float:
        """Returns the time until one token is at hand."""
        if self._limits.refill_rate <= 0:
            return RETURN_GRACE_SECONDS
        return max(0, 1 - self.level(now)) / self._limits.refill_rate

    def issue_tokens(self, issue_id: str, tokens: int, now: float) -> None:
        """Takes whole tokens out; the caller has asked `count_available`."""
        self._fill(now)
        self._forget_old_issues(now)
        headroom = self._limits.capacity - self._level
        self._issues[issue_id] = _Issue(now, tokens, headroom)
        self._level -= tokens

    def reclaim(self, issue_id: str, tokens: int, now: float) -> int:
        """Undoes an issue in part; returns the tokens regained.

        `tokens` counts what was returned of the issue before as well. An
        unknown issue gives nothing.
        """
        self._fill(now)
        self._forget_old_issues(now)
        issue = self._issues.get(issue_id)
        if issue is None:
            return 0
        returned = min(tokens, issue.tokens)
        undone = max(0, returned - issue.returned)
        issue.returned += undone
        return self._raise_levels_since(issue_id, undone)

    def change_limits(self, limits: BucketLimits, now: float) -> None:
        """Puts new bounds in force; earlier issues are final from then on."""
        self._fill(now)
        self._issues.clear()
        self._limits = limits
        self._level = min(self._level, limits.capacity)

    def _raise_levels_since(self, issue_id: str, undone: int) -> int:
        later = self._later_issues(issue_id)
        regained = float(undone)
        for issue in later:
            regained = max(0, min(regained, issue.headroom))
            issue.headroom -= regained
        regained = min(regained, self._limits.capacity - self._level)
        self._level += max(0, regained)
        return int(regained)

    def _later_issues(self, issue_id: str) -> list[_Issue]:
        later: list[_Issue] = []
        for known_id in reversed(self._issues):
            if known_id == issue_id:
                break
            later.append(self._issues[known_id])
        later.reverse()
        return later

    def _fill(self, now: float) -> None:
        self._level = self.level(now)
        self._filled_at = max(self._filled_at, now)

    def _forget_old_issues(self, now: float) -> None:
        oldest = now - self._limits.lifetime - RETURN_GRACE_SECONDS
        while self._issues:
            issue_id = next(iter(self._issues))
            if self._issues[issue_id].issued_at >= oldest:
                return
            self._issues.pop(issue_id)
