"""Team tokens: the issuers this VM holds, and the tokens it may spend.

A request spends a token that is already in the pool; the pool asks ahead
by demand. Only a request that finds it empty waits for the holder.
"""

import asyncio
from dataclasses import dataclass
from typing import Final

from attrs import define, frozen
from jacinthcroft_config import Service, Team
from jacinthcroft_decisions.traffic import (
    SpentToken,
    TokenGrant,
    TokenIssuer,
    TokenPool,
    TokenRequest,
)
from jacinthcroft_http import now

from jacinthcroft_daemon.internal.fleet.view import FleetView
from jacinthcroft_daemon.internal.peers import PeerRouter
from jacinthcroft_daemon.internal.sharing.coordination import (
    CoordinationService,
)
from jacinthcroft_daemon.internal.sharing.holders import (
    HolderFinder,
    HolderRequest,
)

_KIND: Final = 'tokens'
_ASK_TIMEOUT_SECONDS: Final = 0.5
# While no VM holds the team's shard a new try is worth this pause.
_NO_HOLDER_PAUSE_SECONDS: Final = 0.1
_MIN_PAUSE_SECONDS: Final = 0.005


@dataclass(frozen=True)
class NoToken:
    """The team may not spend now; `retry_after` is in seconds."""

    retry_after: float
    has_holder: bool


@frozen
class TokenReply:
    """A grant, or None from a VM that does not hold the team's shard."""

    grant: TokenGrant | None


@define
class _HeldIssuer:
    held_since: float
    team: Team
    issuer: TokenIssuer


@define
class _Spending:
    pool: TokenPool
    asking: asyncio.Task[NoToken | None] | None = None


class TokenService:
    """Both sides of team tokens at one VM."""

    def __init__(
        self,
        view: FleetView,
        coordination: CoordinationService,
        finder: HolderFinder,
    ) -> None:
        """Holds issuers under the coordination service's leases."""
        self._view = view
        self._coordination = coordination
        self._finder = finder
        self._issuers: dict[str, _HeldIssuer] = {}
        self._spendings: dict[str, _Spending] = {}

    def register(self, router: PeerRouter) -> None:
        """Answers peers that ask for tokens."""
        router.register(_KIND, TokenRequest, self._handle_token_request)

    async def acquire(
        self,
        service: Service,
        team: Team,
        patience_until: float,
        deadline: float,
    ) -> SpentToken | NoToken:
        """Spends one token, waiting for it until `patience_until`.

        While no VM holds the team's shard the wait goes on to the deadline:
        the team may be well inside its rate.
        """
        team_key = f'{service.name}/{team.name}'
        spending = self._spending(team_key)
        spending.pool.record_demand(now())
        while True:
            token = spending.pool.spend_token(now())
            if token is not None:
                self._ask_ahead(team_key, spending)
                return token
            shortage = await asyncio.shield(self._asking(team_key, spending))
            if shortage is None:
                continue
            pause = max(shortage.retry_after, _MIN_PAUSE_SECONDS)
            limit = patience_until if shortage.has_holder else deadline
            if now() + pause > limit:
                return shortage
            await asyncio.sleep(pause)

    def replace_expired_token(
        self,
        service: Service,
        team: Team,
        token: SpentToken,
    ) -> SpentToken | None:
        """Returns a token that is valid now in place of one, if in hand."""
        if token.is_valid(now()):
            return token
        team_key = f'{service.name}/{team.name}'
        spending = self._spending(team_key)
        spending.pool.return_token(token)
        fresh = spending.pool.spend_token(now())
        self._ask_ahead(team_key, spending)
        return fresh

    def return_token(
        self, service: Service, team: Team, token: SpentToken
    ) -> None:
        """Returns a token that no request was dispatched with."""
        spending = self._spending(f'{service.name}/{team.name}')
        spending.pool.return_token(token)

    def _spending(self, team_key: str) -> _Spending:
        spending = self._spendings.get(team_key)
        if spending is None:
            spending = _Spending(TokenPool())
            self._spendings[team_key] = spending
        return spending

    def _ask_ahead(self, team_key: str, spending: _Spending) -> None:
        if spending.pool.count_wanted(now()) > 0:
            self._asking(team_key, spending)

    def _asking(
        self,
        team_key: str,
        spending: _Spending,
    ) -> asyncio.Task[NoToken | None]:
        # One question at a time for each team: those who wait share it.
        if spending.asking is None or spending.asking.done():
            spending.asking = asyncio.create_task(
                self._ask(team_key, spending.pool),
            )
        return spending.asking

    async def _ask(
        self,
        team_key: str,
        pool: TokenPool,
    ) -> NoToken | None:
        asked_at = now()
        ask = pool.build_request(team_key, self._view.vm, asked_at)
        if ask is None:
            return NoToken(_MIN_PAUSE_SECONDS, has_holder=True)
        grant = await self._ask_holder(ask)
        if grant is None:
            return NoToken(_NO_HOLDER_PAUSE_SECONDS, has_holder=False)
        if grant.tokens == 0:
            return NoToken(grant.retry_after, has_holder=True)
        pool.add_grant(grant, asked_at, now())
        return None

    async def _ask_holder(self, ask: TokenRequest) -> TokenGrant | None:
        thing = f'team:{ask.team_key}'
        question = HolderRequest(
            _KIND,
            ask,
            TokenReply,
            _ASK_TIMEOUT_SECONDS,
            self._handle_token_request,
        )
        for vm in self._finder.likely_holders(thing):
            reply = await self._finder.send_request(vm, question)
            if isinstance(reply, TokenReply) and reply.grant is not None:
                self._finder.record_holder(thing, vm)
                return reply.grant
        return None

    async def _handle_token_request(
        self, sender: str, ask: TokenRequest
    ) -> TokenReply:
        return TokenReply(self._grant(ask))

    def _grant(self, ask: TokenRequest) -> TokenGrant | None:
        shard = self._view.placement.shard_of(f'team:{ask.team_key}')
        coordinator = self._coordination.coordinator
        moment = now()
        if not coordinator.holds(shard, moment):
            self._issuers.pop(ask.team_key, None)
            return None
        issuer = self._issuer(ask.team_key, coordinator.held_since(shard))
        if issuer is None:
            return None
        return issuer.grant_tokens(ask, moment, coordinator.lease_until(shard))

    def _issuer(self, team_key: str, held_since: float) -> TokenIssuer | None:
        team = self._team(team_key)
        if team is None:
            return None
        held = self._issuers.get(team_key)
        # A lease that was lost and won again is a new one: tokens of the
        # time between are unknown, so the issuer starts empty.
        if held is None or held.held_since != held_since:
            issuer = TokenIssuer.from_config(team, held_since)
            held = _HeldIssuer(held_since, team, issuer)
            self._issuers[team_key] = held
        if held.team != team:
            held.issuer.reconfigure(team, now())
            held.team = team
        return held.issuer

    def _team(self, team_key: str) -> Team | None:
        service_name, _, team_name = team_key.partition('/')
        service = self._view.find_service(service_name)
        if service is None:
            return None
        named = (team for team in service.teams if team.name == team_name)
        return next(named, None)
