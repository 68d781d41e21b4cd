"""The tokens of one team that a VM has in hand.

Tokens count from before the VM asked, so a slow answer shortens them. The
purse asks ahead of need by the VM's recent demand, so that an ordinary
request pays no trip.
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
# The stock that the purse aims at, in seconds of the recent demand; it is
# no more than half a lifetime, so that few tokens expire unspent.
MAX_STOCK_SECONDS: Final = 0.5
# A request that waits longer for its token counts as gone.
PENDING_SECONDS: Final = 1.0
MAX_PENDING_REQUESTS: Final = 1024
# Below this expected need in the stock's time nothing is held in stock.
MIN_EXPECTED_TOKENS: Final = 0.5


@frozen
class SpentToken:
    """A token taken for one attempt; void once `expires_at` has passed."""

    expires_at: float
    grant_id: str = ''

    def is_valid(self, now: float) -> bool:
        """Whether the attempt may still begin."""
        return now < self.expires_at


@define
class _Lot:
    """What is left of one grant."""

    grant_id: str
    expires_at: float
    tokens: int


@define
class _ExpiredGrant:
    """How many tokens of an expired grant were never spent."""

    expires_at: float
    unspent: int = 0


class TokenPool:
    """Spends one team's tokens at one VM."""

    def __init__(self) -> None:
        """Starts with no tokens and no demand."""
        self._lots: list[_Lot] = []
        self._expired: dict[str, _ExpiredGrant] = {}
        self._unreported: set[str] = set()
        self._demand: float = 0
        self._demand_at: float = 0
        self._unmet = 0
        self._pending: deque[float] = deque(maxlen=MAX_PENDING_REQUESTS)
        self._stock_seconds = MAX_STOCK_SECONDS

    def estimate_demand(self, now: float) -> float:
        """Returns the recent demand in requests per second."""
        elapsed = max(0, now - self._demand_at)
        decay = math.exp(-elapsed / DEMAND_WINDOW_SECONDS)
        return self._demand * decay / DEMAND_WINDOW_SECONDS

    def count_available(self, now: float) -> int:
        """Returns the tokens that can be spent now."""
        return sum(lot.tokens for lot in self._lots if now < lot.expires_at)

    def count_wanted(self, now: float) -> int:
        """Returns how many tokens to ask for; zero for none.

        Counts the requests that found the purse empty since the last
        grant. The caller keeps one question in flight at a time.
        """
        stock = self.count_available(now)
        demand = self.estimate_demand(now)
        unmet = self._waiting(now)
        expected = demand * self._stock_seconds
        if expected < MIN_EXPECTED_TOKENS:
            return max(0, unmet - stock)
        aim = math.ceil(expected)
        if stock * 2 > aim and not unmet:
            return 0
        return max(0, aim + unmet - stock)

    def record_demand(self, now: float) -> None:
        """Counts one request that needs a token."""
        self._demand = self.estimate_demand(now) * DEMAND_WINDOW_SECONDS + 1
        self._demand_at = now
        self._pending.append(now)

    def build_request(
        self, team_key: str, vm: str, now: float
    ) -> TokenRequest | None:
        """Builds the next question to the holder, or none.

        It carries the unused tokens, which are reported only once.
        """
        self._drop_expired(now)
        wanted = self.count_wanted(now)
        if not wanted:
            return None
        unused = tuple(
            TokenReturn(grant_id, self._expired[grant_id].unspent)
            for grant_id in sorted(self._unreported)
        )
        self._unreported.clear()
        return TokenRequest(
            team_key=team_key,
            vm=vm,
            wanted=wanted,
            demand=self.estimate_demand(now),
            unused=unused,
            waiting=self._waiting(now),
        )

    def add_grant(self, grant: TokenGrant, asked_at: float, now: float) -> None:
        """Takes in a grant; its lifetime counts from `asked_at`."""
        self._unmet = 0
        expires_at = asked_at + grant.lifetime
        if grant.tokens > 0:
            self._stock_seconds = min(MAX_STOCK_SECONDS, grant.lifetime / 2)
            self._lots.append(_Lot(grant.grant_id, expires_at, grant.tokens))
            self._lots.sort(key=_expiry)
        self._drop_expired(now)

    def spend_token(self, now: float) -> SpentToken | None:
        """Takes the token that expires first, if any."""
        self._drop_expired(now)
        for lot in self._lots:
            if lot.tokens:
                lot.tokens -= 1
                if self._pending:
                    self._pending.popleft()
                return SpentToken(lot.expires_at, lot.grant_id)
        self._unmet += 1
        return None

    def return_token(self, token: SpentToken) -> None:
        """Puts back a token whose attempt has sent no byte."""
        for lot in self._lots:
            is_same = lot.grant_id == token.grant_id
            if is_same and lot.expires_at == token.expires_at:
                lot.tokens += 1
                return
        # Its request waited for longer than the token's lifetime.
        self._note_unspent(token.grant_id, token.expires_at, 1)

    def _waiting(self, now: float) -> int:
        """How many requests found no token since the last grant."""
        if not self._unmet:
            return 0
        while self._pending and self._pending[0] < now - PENDING_SECONDS:
            self._pending.popleft()
        # A request that tries again and again needs one token.
        return max(1, min(self._unmet, len(self._pending)))

    def _drop_expired(self, now: float) -> None:
        live: list[_Lot] = []
        for lot in self._lots:
            if now < lot.expires_at:
                live.append(lot)
            else:
                self._note_unspent(lot.grant_id, lot.expires_at, lot.tokens)
        self._lots = live
        self._forget_expired(now)

    def _note_unspent(
        self,
        grant_id: str,
        expires_at: float,
        tokens: int,
    ) -> None:
        if not grant_id or not tokens:
            return
        known = self._expired.setdefault(grant_id, _ExpiredGrant(expires_at))
        known.unspent += tokens
        self._unreported.add(grant_id)

    def _forget_expired(self, now: float) -> None:
        # The holder takes nothing back after this time.
        oldest = now - RETURN_GRACE_SECONDS
        for grant_id, known in tuple(self._expired.items()):
            if known.expires_at < oldest:
                self._expired.pop(grant_id)
                self._unreported.discard(grant_id)


def _expiry(lot: _Lot) -> float:
    return lot.expires_at
