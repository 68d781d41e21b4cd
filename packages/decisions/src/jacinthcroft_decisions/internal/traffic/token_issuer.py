"""Issues the tokens of one team, at the VM that holds the team's lease.

A VM spends one token for each attempt to send a request. The bucket bounds
what all VMs together may spend. Tokens are granted in the order of the
requests until a VM has to be denied. From then on the tokens are shared in
proportion to the demand that each VM reports, until no VM lacks tokens any
more.
"""

from collections import deque
from typing import Self

from attrs import frozen
from jacinthcroft_config import Team

from jacinthcroft_decisions.internal.traffic.bucket_limits import (
    BucketLimits,
)
from jacinthcroft_decisions.internal.traffic.token_bucket import TokenBucket
from jacinthcroft_decisions.internal.traffic.token_messages import (
    TokenGrant,
    TokenRequest,
)

# How long a VM's last reported demand counts.
DEMAND_MEMORY_SECONDS = 2.0
# Grants of the last so many seconds count when scarce tokens are shared.
SHARE_WINDOW_SECONDS = 1.0
# A VM that was denied tokens counts as lacking them for this many times the
# retry-after that it was given, plus a margin for its next request to arrive.
# A VM that has not asked again by then has given up.
DENIAL_FACTOR = 2.0
DENIAL_MARGIN_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 1.0
# A VM that requests tokens has some demand even if it reports none.
MIN_DEMAND_PER_SECOND = 0.1


@frozen
class _Demand:
    """A VM's reported demand in requests per second."""

    rate: float
    reported_at: float


@frozen
class _RecentGrant:
    """Tokens granted to a VM within the share window."""

    vm: str
    tokens: int
    granted_at: float


class TokenIssuer:
    """Issues one team's tokens while this VM has the lease for the team."""

    def __init__(self, limits: BucketLimits, held_since: float) -> None:
        """Starts with no tokens; this VM holds the lease from `held_since`."""
        self._bucket = TokenBucket(limits, held_since)
        self._held_since = held_since
        self._grant_count = 0
        self._demands: dict[str, _Demand] = {}
        self._denied_until: dict[str, float] = {}
        self._recent_grants: deque[_RecentGrant] = deque()

    @classmethod
    def from_config(cls, team: Team, held_since: float) -> Self:
        """Creates an issuer without tokens for a team's limits."""
        return cls(BucketLimits.from_config(team), held_since)

    def reconfigure(self, team: Team, now: float) -> None:
        """Puts new limits in force.

        Tokens issued before can be spent until their lifetime ends, so the
        new limits hold for all windows of time that begin after that.
        """
        limits = BucketLimits.from_config(team)
        if limits != self._bucket.limits:
            self._bucket.change_limits(limits, now)

    def reclaim_tokens(
        self,
        tokens: int,
        now: float,
        grant_id: str = '',
    ) -> None:
        """Takes back tokens of a grant that are never spent.

        `tokens` counts all tokens of the grant that were returned so far,
        including those of earlier calls. Tokens are taken back only
        for a grant of this issuer: those that an earlier holder of the lease
        granted did not come from this bucket.
        """
        self._bucket.reclaim_tokens(grant_id, tokens, now)

    def grant_tokens(
        self,
        token_request: TokenRequest,
        now: float,
        lease_until: float,
    ) -> TokenGrant:
        """Issues tokens that expire at the end of the lease, or earlier."""
        for unused in token_request.unused:
            self.reclaim_tokens(unused.tokens, now, unused.grant_id)
        self._record_demand(token_request, now)
        lifetime = min(self._bucket.limits.lifetime, lease_until - now)
        tokens = 0
        if lifetime > 0:
            tokens = self._count_grantable(token_request, now)
        if tokens < 1:
            return TokenGrant(0, 0, self._compute_retry_after(now))
        return self._issue_grant(token_request.vm, tokens, lifetime, now)

    def _issue_grant(
        self,
        vm: str,
        tokens: int,
        lifetime: float,
        now: float,
    ) -> TokenGrant:
        self._grant_count += 1
        grant_id = f'{self._held_since!r}/{self._grant_count}'
        self._bucket.issue_tokens(grant_id, tokens, now)
        self._recent_grants.append(_RecentGrant(vm, tokens, now))
        return TokenGrant(tokens, lifetime, 0, grant_id)

    def _count_grantable(self, token_request: TokenRequest, now: float) -> int:
        available = self._bucket.count_available(now)
        needed = _count_needed(token_request)
        # Beyond the tokens that its requests wait for, a VM gets at most half
        # of the available tokens, so that some are left for other VMs.
        tokens = min(
            token_request.wanted,
            available,
            max(needed, available // 2),
        )
        if self._is_contended(token_request.vm, now):
            tokens = min(tokens, self._compute_fair_tokens(token_request, now))
        if tokens < needed:
            denial_seconds = DENIAL_FACTOR * self._compute_retry_after(now)
            self._denied_until[token_request.vm] = (
                now + denial_seconds + DENIAL_MARGIN_SECONDS
            )
        else:
            self._denied_until.pop(token_request.vm, None)
        return tokens

    def _is_contended(self, vm: str, now: float) -> bool:
        """Whether another VM was recently granted less than it needed."""
        return any(
            now < until and other != vm
            for other, until in self._denied_until.items()
        )

    def _compute_fair_tokens(
        self,
        token_request: TokenRequest,
        now: float,
    ) -> int:
        tokens_to_share = self._bucket.count_available(now) + sum(
            grant.tokens for grant in self._recent_grants
        )
        already_granted = sum(
            grant.tokens
            for grant in self._recent_grants
            if grant.vm == token_request.vm
        )
        fair_tokens = (
            round(self._compute_share(token_request) * tokens_to_share)
            - already_granted
        )
        # A VM whose share is below one token would otherwise never get any.
        return fair_tokens if already_granted else max(fair_tokens, 1)

    def _compute_share(self, token_request: TokenRequest) -> float:
        total = sum(demand.rate for demand in self._demands.values())
        return self._demands[token_request.vm].rate / total

    def _compute_retry_after(self, now: float) -> float:
        wait = self._bucket.compute_token_wait(now)
        if wait <= 0:
            # Tokens are available but kept for VMs with a larger claim.
            refill_rate = max(
                self._bucket.limits.refill_rate,
                1 / MAX_RETRY_AFTER_SECONDS,
            )
            wait = 1 / refill_rate
        return min(MAX_RETRY_AFTER_SECONDS, wait)

    def _record_demand(self, token_request: TokenRequest, now: float) -> None:
        min_reported_at = now - DEMAND_MEMORY_SECONDS
        self._demands[token_request.vm] = _Demand(
            max(token_request.demand, MIN_DEMAND_PER_SECOND),
            now,
        )
        for vm, demand in tuple(self._demands.items()):
            if demand.reported_at < min_reported_at:
                self._demands.pop(vm)
                self._denied_until.pop(vm, None)
        min_granted_at = now - SHARE_WINDOW_SECONDS
        while (
            self._recent_grants
            and self._recent_grants[0].granted_at < min_granted_at
        ):
            self._recent_grants.popleft()


def _count_needed(token_request: TokenRequest) -> int:
    """Counts the tokens that callers' requests wait for already."""
    return (
        token_request.wanted
        if token_request.waiting is None
        else token_request.waiting
    )
