"""Limits a team to its rate and burst where its requests are granted.

A team that sends many times its usual load must not take the capacity of the
others. The VM that decides for the VMs that follow it, the deciding VM, counts
a token for each request. A new deciding VM starts with few tokens, since the
previous one may just have spent the burst.
"""

from typing import Final

from attrs import define

from jacinthcroft_decisions.internal.dispatch.documents import TeamSettings
from jacinthcroft_decisions.internal.dispatch.limits import DispatchLimits

# What a team may get beyond its rate and burst is configured as an overshoot, a
# share of both, and a slack, a number of requests. One deciding VM uses these
# shares of them, so that a team gets what it is entitled to. The rest is left
# to a successor, which does not know what was just spent.
OVERSHOOT_USED_SHARE: Final = 0.8
SLACK_USED_SHARE: Final = 0.5
# Share of the token bucket's capacity that is available at first.
INITIAL_TOKENS_SHARE: Final = 0.25
# Minimum `Retry-After` that a caller is told.
MIN_RETRY_AFTER_SECONDS: Final = 0.05


@define
class TeamQuota:
    """The token bucket of one team on one deciding VM."""

    _tokens: float = 0
    _refilled_at: float = 0
    # The largest share so far, which has got its initial tokens.
    _largest_share: float = 0

    def take_token(
        self,
        team: TeamSettings,
        limits: DispatchLimits,
        share: float,
        now: float,
    ) -> float | None:
        """Takes the token of a request, if there is one.

        Args:
            team: The team's rate and burst.
            limits: How far a team may exceed its rate and burst.
            share: The part of the fleet that this deciding VM decides for.
            now: The current time.

        Returns:
            None if a token was taken or the team has no limit, else the
            seconds until the next token.
        """
        if team.rate <= 0:
            return None
        factor = 1 + limits.quota_overshoot * OVERSHOOT_USED_SHARE
        rate = team.rate * factor * share
        capacity = team.burst * factor + limits.quota_slack * SLACK_USED_SHARE
        if self._largest_share:
            refilled = self._tokens + (now - self._refilled_at) * rate
            self._tokens = min(max(1, capacity * share), refilled)
        self._refilled_at = now
        self._add_initial_tokens(capacity, share)
        if self._tokens < 1:
            return max(MIN_RETRY_AFTER_SECONDS, (1 - self._tokens) / rate)
        self._tokens -= 1
        return None

    def return_token(self) -> None:
        """Returns the token of a request that was not sent."""
        self._tokens += 1

    def _add_initial_tokens(self, capacity: float, share: float) -> None:
        # In parts, as VMs begin to follow this one. If it started with a whole
        # token for a small share, many VMs that each decide for themselves
        # would exceed the limit.
        new_share = max(0, share - self._largest_share)
        initial_tokens = max(1, capacity * INITIAL_TOKENS_SHARE)
        self._tokens += initial_tokens * new_share
        self._largest_share += new_share
