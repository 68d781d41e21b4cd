"""Admits or refuses requests by this VM's own view, without asking peers.

Admission matches a request to its route and its key to a team. The key is
read only here and is not passed on. If a request to a non-idempotent route
has a valid Idempotency-Key, its refusal has the outcome `unknown`: an earlier
request with the same key may have run, which only the witnesses know.
"""

import time
from dataclasses import dataclass
from typing import Final

from attrs import frozen
from jacinthcroft_config import (
    Access,
    MethodNotAllowed,
    Route,
    RouteMatch,
    Service,
    Team,
    UnknownRoute,
    hash_key,
)
from jacinthcroft_daemon.internal.fleet.view import FleetView
from jacinthcroft_daemon.internal.pipeline.refusals import (
    Outcome,
    Reason,
    Refusal,
)
from jacinthcroft_decisions.coordination import (
    CoordinationConfig,
    KeyAccepted,
    KeyInFuture,
    KeyTooOld,
    check_idempotency_key,
)
from jacinthcroft_http import IncomingRequest, now

_BEARER_PREFIX: Final = 'bearer '
# A VM serves new requests for this long after its zone is taken out of
# service, so that the balancer has time to notice that it is not ready.
ZONE_OUT_GRACE_SECONDS: Final = 1.0
_RETRY_AFTER_SECONDS: Final = 1.0


@frozen
class AdmittedRequest:
    """A request with its route, its team and its deadline.

    `deadline` is in seconds of the boot clock. `idempotency_key` is None on
    idempotent routes.
    """

    request_id: str
    service: Service
    route: Route
    team: Team | None
    key_hash: str
    deadline: float
    idempotency_key: str | None

    @property
    def team_name(self) -> str:
        """The team's name, or `open` on routes that need no key."""
        return 'open' if self.team is None else self.team.name

    @property
    def claim_name(self) -> str:
        """The name of the idempotency key in claims at witnesses."""
        return (
            f'key:{self.service.name}/{self.team_name}/{self.idempotency_key}'
        )


@dataclass(frozen=True)
class _Caller:
    """The team of the request's key; None on routes that need no key."""

    team: Team | None
    key_hash: str


class Admission:
    """Admits requests by the configuration and VM list that are in force."""

    def __init__(self, view: FleetView) -> None:
        """Reads `view` again for each request."""
        self._view = view
        self._zone_out_since: float | None = None

    def admit(
        self,
        request: IncomingRequest,
        request_id: str,
    ) -> AdmittedRequest | Refusal:
        """Returns the admitted request or a refusal."""
        match = self._view.routes.find(request.method, request.path)
        if isinstance(match, UnknownRoute):
            return Refusal(
                Reason.UNKNOWN_ROUTE,
                _outcome_without_route(request),
                'no route of any service has this path',
            )
        if isinstance(match, MethodNotAllowed):
            allowed = ', '.join(match.allowed)
            return Refusal(
                Reason.METHOD_NOT_ALLOWED,
                _outcome_without_route(request),
                f'the allowed methods are {allowed}',
            )
        return self._admit_matched(request, request_id, match)

    def find_withdrawal(self, admitted: AdmittedRequest) -> Refusal | None:
        """Returns a refusal if the request may not run any longer."""
        if not self._view.is_fresh(now()):
            return _refuse_not_fresh(Outcome.NOT_RUN)
        if admitted.team is None:
            return None
        team = self._view.teams.team_for(
            admitted.service.name, admitted.key_hash
        )
        if team is not None and team.name == admitted.team.name:
            return None
        return _refuse_unknown_key(Outcome.NOT_RUN)

    def _admit_matched(
        self,
        request: IncomingRequest,
        request_id: str,
        match: RouteMatch,
    ) -> AdmittedRequest | Refusal:
        idempotency_key = None
        refusal_outcome = Outcome.NOT_RUN
        if not match.route.is_idempotent:
            checked_key = _check_idempotency_key(
                request, self._view.coordination_config
            )
            if isinstance(checked_key, Refusal):
                return checked_key
            idempotency_key = checked_key
            refusal_outcome = Outcome.UNKNOWN
        caller = self._identify_caller(request, match, refusal_outcome)
        if isinstance(caller, Refusal):
            return caller
        return AdmittedRequest(
            request_id=request_id,
            service=match.service,
            route=match.route,
            team=caller.team,
            key_hash=caller.key_hash,
            deadline=_compute_deadline(request, match.route),
            idempotency_key=idempotency_key,
        )

    def _identify_caller(
        self,
        request: IncomingRequest,
        match: RouteMatch,
        outcome: Outcome,
    ) -> _Caller | Refusal:
        refusal = self._find_vm_refusal(outcome)
        if refusal is not None:
            return refusal
        if match.route.access is Access.OPEN:
            return _Caller(None, '')
        key = _read_bearer_key(request)
        if key is None:
            return Refusal(
                Reason.KEY_MISSING,
                outcome,
                'send the key as Authorization: Bearer <key>',
            )
        key_hash = hash_key(key)
        team = self._view.teams.team_for(match.service.name, key_hash)
        if team is None:
            return _refuse_unknown_key(outcome)
        if team.name not in match.route.teams:
            return Refusal(
                Reason.TEAM_NOT_ALLOWED,
                outcome,
                f'team {team.name} may not call route {match.route.name}',
            )
        return _Caller(team, key_hash)

    def _find_vm_refusal(self, outcome: Outcome) -> Refusal | None:
        at = now()
        if self._is_zone_out_of_service(at):
            return Refusal(
                Reason.LEAVING,
                outcome,
                'this availability zone is out of service',
                _RETRY_AFTER_SECONDS,
            )
        if not self._view.is_fresh(at):
            return _refuse_not_fresh(outcome)
        return None

    def _is_zone_out_of_service(self, at: float) -> bool:
        if self._view.zone not in self._view.vm_list.zones_out:
            self._zone_out_since = None
            return False
        if self._zone_out_since is None:
            self._zone_out_since = at
        return at - self._zone_out_since > ZONE_OUT_GRACE_SECONDS


def _refuse_not_fresh(outcome: Outcome) -> Refusal:
    return Refusal(
        Reason.NOT_FRESH,
        outcome,
        'the configuration of this VM may be out of date',
        _RETRY_AFTER_SECONDS,
    )


def _refuse_unknown_key(outcome: Outcome) -> Refusal:
    return Refusal(
        Reason.KEY_UNKNOWN,
        outcome,
        'the key belongs to no team of this service or was withdrawn',
    )


def _refuse_not_run(reason: Reason, detail: str) -> Refusal:
    return Refusal(reason, Outcome.NOT_RUN, detail)


def _outcome_without_route(request: IncomingRequest) -> Outcome:
    # A VM with another revision of the configuration may have the route and
    # may have run an earlier request with the same key.
    if request.headers.get('idempotency-key') is None:
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


def _read_bearer_key(request: IncomingRequest) -> str | None:
    authorization = request.headers.get('authorization') or ''
    if not authorization.lower().startswith(_BEARER_PREFIX):
        return None
    return authorization[len(_BEARER_PREFIX) :].strip() or None


def _check_idempotency_key(
    request: IncomingRequest,
    terms: CoordinationConfig,
) -> str | Refusal:
    key = request.headers.get('idempotency-key')
    if key is None:
        return _refuse_not_run(
            Reason.IDEMPOTENCY_KEY_MISSING,
            'this route is not idempotent; send a UUIDv7 as Idempotency-Key',
        )
    checked_key = check_idempotency_key(key, time.time(), terms)
    if isinstance(checked_key, KeyAccepted):
        return checked_key.canonical
    if isinstance(checked_key, KeyTooOld):
        return Refusal(
            Reason.IDEMPOTENCY_KEY_EXPIRED,
            Outcome.UNKNOWN,
            'the Idempotency-Key has expired; its request may have run before',
        )
    if isinstance(checked_key, KeyInFuture):
        # A VM whose clock is ahead of this VM's may have run the request.
        return Refusal(
            Reason.IDEMPOTENCY_KEY_INVALID,
            Outcome.UNKNOWN,
            'the time of the Idempotency-Key is in the future; '
            "correct the caller's clock",
        )
    return _refuse_not_run(
        Reason.IDEMPOTENCY_KEY_INVALID,
        'the Idempotency-Key is not a UUIDv7; '
        'create a new key for each request',
    )


def _compute_deadline(request: IncomingRequest, route: Route) -> float:
    allowed_ms = float(route.deadline_ms)
    requested_ms = request.headers.get('deadline-ms') or ''
    if requested_ms.isdecimal():
        allowed_ms = min(allowed_ms, float(requested_ms))
    return request.received_at + allowed_ms / 1000
