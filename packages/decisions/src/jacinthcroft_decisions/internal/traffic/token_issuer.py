"""The tokens of one team, issued by the team's holder.

The bucket bounds what all VMs together may spend. Tokens go to whoever asks
until a VM had to be denied; from then on demands reported by the VMs decide
who gets how much, until everybody has what it needs.
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

# How long a VM's reported demand counts when it asks no more.
DEMAND_MEMORY_SECONDS = 2.0
# Grants of this long count when a scarce bucket is split.
SHARE_WINDOW_SECONDS = 1.0
# A VM that was denied tokens has a claim for so many times the wait that it
# was told, and for its way back; later than that it has given up.
CLAIM_FACTOR = 2.0
CLAIM_MARGIN_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 1.0
# A VM that asks wants something, whatever rate it reports.
MIN_DEMAND_RATE = 0.1


@frozen
class _Demand:
    """A VM's reported demand in requests per second."""

    rate: float
    reported_at: float


@frozen
class _RecentGrant:
    """Tokens that a VM got a short while ago."""

    vm: str
    tokens: int
    granted_at: float


class TokenIssuer:
    """Issues a team's tokens under the holder's lease."""

    def __init__(self, limits: BucketLimits, held_since: float) -> None:
        """Starts with no tokens at `held_since`."""
        self._bucket = TokenBucket(limits, held_since)
        self._held_since = held_since
        self._grants_made = 0
        self._demands: dict[str, _Demand] = {}
        self._denied: dict[str, float] = {}
        self._recent: deque[_RecentGrant] = deque()

    @classmethod
    def from_config(cls, team: Team, held_since: float) -> Self:
        """Creates an empty issuer for a team's limits."""
        return cls(BucketLimits.from_config(team), held_since)

    def reconfigure(self, team: Team, now: float) -> None:
        """Puts new limits in force.

        Tokens issued before keep their lifetime, so the new limits bound
        all windows that begin one lifetime from now.
        """
        limits = BucketLimits.from_config(team)
        if limits != self._bucket.limits:
            self._bucket.change_limits(limits, now)

    def reclaim_tokens(
        self, tokens: int, now: float, grant_id: str = ''
    ) -> None:
        """Takes back a grant's tokens, in all, that will never be spent.

        Without the id of one of this issuer's own grants nothing changes:
        tokens of an earlier holder are no part of this bucket.
        """
        self._bucket.reclaim(grant_id, tokens, now)

    def grant_tokens(
        self,
        ask: TokenRequest,
        now: float,
        lease_until: float,
    ) -> TokenGrant:
        """Issues tokens that no VM can spend after the lease."""
        for unused in ask.unused:
            self.reclaim_tokens(unused.tokens, now, unused.grant_id)
        self._note_demand(ask, now)
        lifetime = min(self._bucket.limits.token_lifetime, lease_until - now)
        tokens = 0
        if lifetime > 0:
            tokens = self._grantable(ask, now)
        if tokens < 1:
            return TokenGrant(0, 0, self._retry_after(now))
        return self._issue(ask.vm, tokens, lifetime, now)

    def _issue(
        self,
        vm: str,
        tokens: int,
        lifetime: float,
        now: float,
    ) -> TokenGrant:
        self._grants_made += 1
        grant_id = f'{self._held_since!r}/{self._grants_made}'
        self._bucket.issue_tokens(grant_id, tokens, now)
        self._recent.append(_RecentGrant(vm, tokens, now))
        return TokenGrant(tokens, lifetime, 0, grant_id)

    def _grantable(self, ask: TokenRequest, now: float) -> int:
        available = self._bucket.count_available(now)
        needed = _needed(ask)
        # Half stays for others while this VM only stocks up.
        tokens = min(ask.wanted, available, max(needed, available // 2))
        if self._is_contended(ask.vm, now):
            tokens = min(tokens, self._fair_tokens(ask, now))
        if tokens < needed:
            claim = CLAIM_FACTOR * self._retry_after(now)
            self._denied[ask.vm] = now + claim + CLAIM_MARGIN_SECONDS
        else:
            self._denied.pop(ask.vm, None)
        return tokens

    def _is_contended(self, vm: str, now: float) -> bool:
        """Whether another VM lately got less than it needed."""
        return any(
            now < until and other != vm for other, until in self._denied.items()
        )

    def _fair_tokens(self, ask: TokenRequest, now: float) -> int:
        pool = self._bucket.count_available(now) + sum(
            grant.tokens for grant in self._recent
        )
        taken = sum(
            grant.tokens for grant in self._recent if grant.vm == ask.vm
        )
        fair = round(self._share(ask) * pool) - taken
        # Shares below one token must not round down to nothing.
        return fair if taken else max(fair, 1)

    def _share(self, ask: TokenRequest) -> float:
        total = sum(demand.rate for demand in self._demands.values())
        return self._demands[ask.vm].rate / total

    def _retry_after(self, now: float) -> float:
        wait = self._bucket.seconds_until_token(now)
        if wait <= 0:
            # Tokens are there, and others have the better claim to them.
            refill = max(
                self._bucket.limits.refill_rate, 1 / MAX_RETRY_AFTER_SECONDS
            )
            wait = 1 / refill
        return min(MAX_RETRY_AFTER_SECONDS, wait)

    def _note_demand(self, ask: TokenRequest, now: float) -> None:
        oldest = now - DEMAND_MEMORY_SECONDS
        self._demands[ask.vm] = _Demand(max(ask.demand, MIN_DEMAND_RATE), now)
        for vm, demand in tuple(self._demands.items()):
            if demand.reported_at < oldest:
                self._demands.pop(vm)
                self._denied.pop(vm, None)
        horizon = now - SHARE_WINDOW_SECONDS
        while self._recent and self._recent[0].granted_at < horizon:
            self._recent.popleft()


def _needed(ask: TokenRequest) -> int:
    """How many tokens requests wait for."""
    return ask.wanted if ask.waiting is None else ask.waiting
