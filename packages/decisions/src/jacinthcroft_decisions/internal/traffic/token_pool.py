"""The tokens of one team that a VM may spend.

Each attempt to send a request spends one token. The tokens are granted by the
team's holder, the VM that has the lease for the team. Their lifetime counts
from before this VM asked for them, so a slow reply shortens it. The pool asks
for tokens ahead of need, by the VM's recent demand, so that most requests find
a token without waiting for a round trip.
"""

import math
from collections import deque
from typing import Final

from attrs import define, frozen

from jacinthcroft_decisions.internal.traffic.token_bucket import (
    RETURN_GRACE_SECONDS,
)
from jacinthcroft_decisions.internal.traffic.token_messages import (
    TokenGrant,
    TokenRequest,
    TokenReturn,
)

DEMAND_WINDOW_SECONDS: Final = 1.0
# How many seconds of the recent demand the pool stocks tokens for. It is never
# more than half of a token's lifetime, so that few tokens expire unspent.
MAX_STOCK_SECONDS: Final = 0.5
# A request that has waited longer than this for its token counts as gone.
PENDING_SECONDS: Final = 1.0
MAX_PENDING_REQUESTS: Final = 1024
# The pool stocks no tokens if it expects to need fewer than this in the time
# that the stock is for.
MIN_EXPECTED_TOKENS: Final = 0.5


@frozen
class SpentToken:
    """A token taken for one attempt; it is invalid from `expires_at` on."""

    expires_at: float
    grant_id: str = ''

    def is_valid(self, now: float) -> bool:
        """Whether the attempt may still begin."""
        return now < self.expires_at


@define
class _HeldGrant:
    """The unspent tokens of one grant."""

    grant_id: str
    expires_at: float
    tokens: int


@define
class _ExpiredGrant:
    """The number of tokens of an expired grant that were never spent."""

    expires_at: float
    unspent: int = 0


class TokenPool:
    """One VM's tokens of one team."""

    def __init__(self) -> None:
        """Starts with no tokens and no demand."""
        self._grants: list[_HeldGrant] = []
        self._expired_grants: dict[str, _ExpiredGrant] = {}
        self._unreported_ids: set[str] = set()
        self._decayed_requests: float = 0
        self._decayed_at: float = 0
        self._failed_spends = 0
        self._pending_since: deque[float] = deque(maxlen=MAX_PENDING_REQUESTS)
        self._stock_seconds = MAX_STOCK_SECONDS

    def estimate_demand(self, now: float) -> float:
        """Returns the recent demand in requests per second."""
        elapsed = max(0, now - self._decayed_at)
        decay = math.exp(-elapsed / DEMAND_WINDOW_SECONDS)
        return self._decayed_requests * decay / DEMAND_WINDOW_SECONDS

    def count_available(self, now: float) -> int:
        """Returns the number of tokens that can be spent now."""
        return sum(
            grant.tokens for grant in self._grants if now < grant.expires_at
        )

    def count_wanted(self, now: float) -> int:
        """Returns how many tokens to ask the holder for; may be zero.

        Requests of callers that found no token since the last grant are
        included. There must be only one token request in flight at a time.
        """
        stock = self.count_available(now)
        demand = self.estimate_demand(now)
        unmet_requests = self._count_waiting(now)
        expected = demand * self._stock_seconds
        if expected < MIN_EXPECTED_TOKENS:
            return max(0, unmet_requests - stock)
        desired = math.ceil(expected)
        if stock * 2 > desired and not unmet_requests:
            return 0
        return max(0, desired + unmet_requests - stock)

    def record_demand(self, now: float) -> None:
        """Counts one request that needs a token."""
        self._decayed_requests = (
            self.estimate_demand(now) * DEMAND_WINDOW_SECONDS + 1
        )
        self._decayed_at = now
        self._pending_since.append(now)

    def build_request(
        self,
        team_key: str,
        vm: str,
        now: float,
    ) -> TokenRequest | None:
        """Builds the next token request to the holder, if one is needed.

        The request also reports how many tokens of expired grants were not
        spent. A grant is reported again only if that number has risen.
        """
        self._drop_expired(now)
        wanted = self.count_wanted(now)
        if not wanted:
            return None
        unused = tuple(
            TokenReturn(grant_id, self._expired_grants[grant_id].unspent)
            for grant_id in sorted(self._unreported_ids)
        )
        self._unreported_ids.clear()
        return TokenRequest(
            team_key=team_key,
            vm=vm,
            wanted=wanted,
            demand=self.estimate_demand(now),
            unused=unused,
            waiting=self._count_waiting(now),
        )

    def add_grant(self, grant: TokenGrant, asked_at: float, now: float) -> None:
        """Adds a grant; its lifetime counts from the request at `asked_at`."""
        self._failed_spends = 0
        expires_at = asked_at + grant.lifetime
        if grant.tokens > 0:
            self._stock_seconds = min(MAX_STOCK_SECONDS, grant.lifetime / 2)
            self._grants.append(
                _HeldGrant(grant.grant_id, expires_at, grant.tokens)
            )
            self._grants.sort(key=_get_expires_at)
        self._drop_expired(now)

    def spend_token(self, now: float) -> SpentToken | None:
        """Takes the token that expires first, if there is one."""
        self._drop_expired(now)
        for grant in self._grants:
            if grant.tokens:
                grant.tokens -= 1
                if self._pending_since:
                    self._pending_since.popleft()
                return SpentToken(grant.expires_at, grant.grant_id)
        self._failed_spends += 1
        return None

    def return_token(self, token: SpentToken) -> None:
        """Puts back a token whose attempt has sent no byte to a target."""
        for grant in self._grants:
            is_same = grant.grant_id == token.grant_id
            if is_same and grant.expires_at == token.expires_at:
                grant.tokens += 1
                return
        # The token expired while its request was waiting.
        self._record_unspent(token.grant_id, token.expires_at, 1)

    def _count_waiting(self, now: float) -> int:
        """Counts the requests that found no token since the last grant."""
        if not self._failed_spends:
            return 0
        while (
            self._pending_since
            and self._pending_since[0] < now - PENDING_SECONDS
        ):
            self._pending_since.popleft()
        # A request that tries repeatedly counts in `_failed_spends` each time
        # but needs only one token.
        return max(1, min(self._failed_spends, len(self._pending_since)))

    def _drop_expired(self, now: float) -> None:
        unexpired: list[_HeldGrant] = []
        for grant in self._grants:
            if now < grant.expires_at:
                unexpired.append(grant)
            else:
                self._record_unspent(
                    grant.grant_id, grant.expires_at, grant.tokens
                )
        self._grants = unexpired
        self._forget_expired(now)

    def _record_unspent(
        self,
        grant_id: str,
        expires_at: float,
        tokens: int,
    ) -> None:
        if not grant_id or not tokens:
            return
        expired = self._expired_grants.setdefault(
            grant_id, _ExpiredGrant(expires_at)
        )
        expired.unspent += tokens
        self._unreported_ids.add(grant_id)

    def _forget_expired(self, now: float) -> None:
        # The holder reclaims no tokens after this time.
        oldest_expiry = now - RETURN_GRACE_SECONDS
        for grant_id, expired in tuple(self._expired_grants.items()):
            if expired.expires_at < oldest_expiry:
                self._expired_grants.pop(grant_id)
                self._unreported_ids.discard(grant_id)


def _get_expires_at(grant: _HeldGrant) -> float:
    return grant.expires_at
