"""Issues tokens for the teams that this VM holds, and spends tokens.

Each request of a team spends one token. The holder of a team is the VM that
has the lease on the team's shard; it issues the tokens. Each VM has a pool
of tokens for each team and refills it ahead of the expected demand, so a
request waits for the holder only if the pool is empty.
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

_TOKEN_REQUEST_KIND: Final = 'tokens'
_ASK_TIMEOUT_SECONDS: Final = 0.5
# How long to wait before the next request while no VM holds the team's shard.
_NO_HOLDER_RETRY_SECONDS: Final = 0.1
_MIN_RETRY_SECONDS: Final = 0.005


@dataclass(frozen=True)
class NoToken:
    """The team has no token to spend now; `retry_after` is in seconds."""

    retry_after: float
    has_holder: bool


@frozen
class TokenReply:
    """The holder's grant; None if the VM does not hold the team's shard."""

    grant: TokenGrant | None


@define
class _HeldIssuer:
    held_since: float
    team: Team
    issuer: TokenIssuer


@define
class _TeamTokens:
    """This VM's tokens of one team, and the token request in flight."""

    pool: TokenPool
    request_task: asyncio.Task[NoToken | None] | None = None


class TokenService:
    """Issues tokens as a holder and acquires tokens for requests."""

    def __init__(
        self,
        view: FleetView,
        coordination: CoordinationService,
        finder: HolderFinder,
    ) -> None:
        """Starts without tokens; `coordination` has this VM's leases."""
        self._view = view
        self._coordination = coordination
        self._finder = finder
        self._issuers: dict[str, _HeldIssuer] = {}
        self._tokens_by_team: dict[str, _TeamTokens] = {}

    def register(self, router: PeerRouter) -> None:
        """Registers the handler of token requests."""
        router.register(
            _TOKEN_REQUEST_KIND, TokenRequest, self._handle_token_request
        )

    async def acquire(
        self,
        service: Service,
        team: Team,
        patience_until: float,
        deadline: float,
    ) -> SpentToken | NoToken:
        """Spends one token, waiting for it until `patience_until`.

        While no VM holds the team's shard, the wait lasts until `deadline`
        instead, since the team may be well below its rate.
        """
        team_key = f'{service.name}/{team.name}'
        team_tokens = self._get_team_tokens(team_key)
        team_tokens.pool.record_demand(now())
        while True:
            token = team_tokens.pool.spend_token(now())
            if token is not None:
                self._refill_if_wanted(team_key, team_tokens)
                return token
            shortage = await asyncio.shield(
                self._ensure_request_task(team_key, team_tokens)
            )
            if shortage is None:
                continue
            retry_after = max(shortage.retry_after, _MIN_RETRY_SECONDS)
            wait_until = patience_until if shortage.has_holder else deadline
            if now() + retry_after > wait_until:
                return shortage
            await asyncio.sleep(retry_after)

    def replace_expired_token(
        self,
        service: Service,
        team: Team,
        token: SpentToken,
    ) -> SpentToken | None:
        """Returns `token` if it is still valid, else another from the pool.

        An expired token goes back to the pool, which reports it as unspent.
        Returns None if the pool has no valid token.
        """
        if token.is_valid(now()):
            return token
        team_key = f'{service.name}/{team.name}'
        team_tokens = self._get_team_tokens(team_key)
        team_tokens.pool.return_token(token)
        replacement = team_tokens.pool.spend_token(now())
        self._refill_if_wanted(team_key, team_tokens)
        return replacement

    def return_token(
        self, service: Service, team: Team, token: SpentToken
    ) -> None:
        """Puts a token that was not used back into the pool."""
        team_tokens = self._get_team_tokens(f'{service.name}/{team.name}')
        team_tokens.pool.return_token(token)

    def _get_team_tokens(self, team_key: str) -> _TeamTokens:
        team_tokens = self._tokens_by_team.get(team_key)
        if team_tokens is None:
            team_tokens = _TeamTokens(TokenPool())
            self._tokens_by_team[team_key] = team_tokens
        return team_tokens

    def _refill_if_wanted(
        self, team_key: str, team_tokens: _TeamTokens
    ) -> None:
        if team_tokens.pool.count_wanted(now()) > 0:
            self._ensure_request_task(team_key, team_tokens)

    def _ensure_request_task(
        self,
        team_key: str,
        team_tokens: _TeamTokens,
    ) -> asyncio.Task[NoToken | None]:
        # The pool allows one token request in flight; waiting callers share
        # its result.
        if team_tokens.request_task is None or team_tokens.request_task.done():
            team_tokens.request_task = asyncio.create_task(
                self._request_tokens(team_key, team_tokens.pool),
            )
        return team_tokens.request_task

    async def _request_tokens(
        self,
        team_key: str,
        pool: TokenPool,
    ) -> NoToken | None:
        asked_at = now()
        token_request = pool.build_request(team_key, self._view.vm, asked_at)
        if token_request is None:
            return NoToken(_MIN_RETRY_SECONDS, has_holder=True)
        grant = await self._request_from_holder(token_request)
        if grant is None:
            return NoToken(_NO_HOLDER_RETRY_SECONDS, has_holder=False)
        if grant.tokens == 0:
            return NoToken(grant.retry_after, has_holder=True)
        pool.add_grant(grant, asked_at, now())
        return None

    async def _request_from_holder(
        self, token_request: TokenRequest
    ) -> TokenGrant | None:
        resource = f'team:{token_request.team_key}'
        holder_request = HolderRequest(
            _TOKEN_REQUEST_KIND,
            token_request,
            TokenReply,
            _ASK_TIMEOUT_SECONDS,
            self._handle_token_request,
        )
        for vm in self._finder.likely_holders(resource):
            reply = await self._finder.send_request(vm, holder_request)
            if isinstance(reply, TokenReply) and reply.grant is not None:
                self._finder.record_holder(resource, vm)
                return reply.grant
        return None

    async def _handle_token_request(
        self, sender: str, token_request: TokenRequest
    ) -> TokenReply:
        return TokenReply(self._grant_tokens(token_request))

    def _grant_tokens(self, token_request: TokenRequest) -> TokenGrant | None:
        shard = self._view.placement.shard_of(f'team:{token_request.team_key}')
        coordinator = self._coordination.coordinator
        current_time = now()
        if not coordinator.holds(shard, current_time):
            self._issuers.pop(token_request.team_key, None)
            return None
        issuer = self._sync_issuer(
            token_request.team_key, coordinator.held_since(shard)
        )
        if issuer is None:
            return None
        return issuer.grant_tokens(
            token_request, current_time, coordinator.lease_until(shard)
        )

    def _sync_issuer(
        self, team_key: str, held_since: float
    ) -> TokenIssuer | None:
        """Returns the team's issuer, created or reconfigured if due."""
        team = self._find_team(team_key)
        if team is None:
            return None
        held = self._issuers.get(team_key)
        # After the lease was lost and acquired again, the tokens that another
        # holder issued meanwhile are unknown, so a new issuer starts empty.
        if held is None or held.held_since != held_since:
            issuer = TokenIssuer.from_config(team, held_since)
            held = _HeldIssuer(held_since, team, issuer)
            self._issuers[team_key] = held
        if held.team != team:
            held.issuer.reconfigure(team, now())
            held.team = team
        return held.issuer

    def _find_team(self, team_key: str) -> Team | None:
        service_name, _, team_name = team_key.partition('/')
        service = self._view.find_service(service_name)
        if service is None:
            return None
        matches = (team for team in service.teams if team.name == team_name)
        return next(matches, None)
