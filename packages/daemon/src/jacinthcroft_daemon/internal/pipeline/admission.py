"""Admission: what a request may do, decided without asking anybody.

A request is matched to its route, its key to a team. The key is read here
and goes no further. A refusal on a non-idempotent route that carries a
usable Idempotency-Key says `unknown`, since an earlier sending of the same
key may have run and only the witnesses would know.
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

_BEARER: Final = 'bearer '
# How long a VM goes on serving arrivals after its zone was taken out, so
# that the balancer has time to see the readiness drop.
ZONE_OUT_GRACE_SECONDS: Final = 1.0
_RETRY_SOON_SECONDS: Final = 1.0


@frozen
class AdmittedRequest:
    """An admitted request.

    `deadline` is in boot seconds; `idempotency_key` is set on
    non-idempotent routes only.
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
        """The team's name, or a stand-in on routes open to all."""
        return 'open' if self.team is None else self.team.name

    @property
    def claim_name(self) -> str:
        """The name under which witnesses know the idempotency key."""
        return (
            f'key:{self.service.name}/{self.team_name}/{self.idempotency_key}'
        )


@dataclass(frozen=True)
class _Caller:
    """The team of a key, None on routes open to all."""

    team: Team | None
    key_hash: str


class Admission:
    """Judges requests against the view of this VM."""

    def __init__(self, view: FleetView) -> None:
        """Reads the view anew for every request."""
        self._view = view
        self._zone_out_since: float | None = None

    def admit(
        self,
        request: IncomingRequest,
        request_id: str,
    ) -> AdmittedRequest | Refusal:
        """Returns the admitted work or the refusal."""
        found = self._view.routes.find(request.method, request.path)
        if isinstance(found, UnknownRoute):
            return Refusal(
                Reason.UNKNOWN_ROUTE,
                _outcome_without_route(request),
                'no service has this path',
            )
        if isinstance(found, MethodNotAllowed):
            allowed = ', '.join(found.allowed)
            return Refusal(
                Reason.METHOD_NOT_ALLOWED,
                _outcome_without_route(request),
                f'allowed: {allowed}',
            )
        return self._admit_matched(request, request_id, found)

    def find_withdrawal(self, admitted: AdmittedRequest) -> Refusal | None:
        """Returns why admitted work may not run any more, if so."""
        if not self._view.is_fresh(now()):
            return _not_fresh(Outcome.NOT_RUN)
        if admitted.team is None:
            return None
        team = self._view.teams.team_for(
            admitted.service.name, admitted.key_hash
        )
        if team is not None and team.name == admitted.team.name:
            return None
        return _key_unknown(Outcome.NOT_RUN)

    def _admit_matched(
        self,
        request: IncomingRequest,
        request_id: str,
        match: RouteMatch,
    ) -> AdmittedRequest | Refusal:
        idempotency_key = None
        refused_outcome = Outcome.NOT_RUN
        if not match.route.is_idempotent:
            judged = _judge_idempotency_key(
                request, self._view.coordination_config
            )
            if isinstance(judged, Refusal):
                return judged
            idempotency_key = judged
            refused_outcome = Outcome.UNKNOWN
        caller = self._identify(request, match, refused_outcome)
        if isinstance(caller, Refusal):
            return caller
        return AdmittedRequest(
            request_id=request_id,
            service=match.service,
            route=match.route,
            team=caller.team,
            key_hash=caller.key_hash,
            deadline=_deadline(request, match.route),
            idempotency_key=idempotency_key,
        )

    def _identify(
        self,
        request: IncomingRequest,
        match: RouteMatch,
        outcome: Outcome,
    ) -> _Caller | Refusal:
        hindrance = self._hindrance(outcome)
        if hindrance is not None:
            return hindrance
        if match.route.access is Access.OPEN:
            return _Caller(None, '')
        key = _bearer_key(request)
        if key is None:
            return Refusal(
                Reason.KEY_MISSING,
                outcome,
                'send the key as Authorization: Bearer <key>',
            )
        key_hash = hash_key(key)
        team = self._view.teams.team_for(match.service.name, key_hash)
        if team is None:
            return _key_unknown(outcome)
        if team.name not in match.route.teams:
            return Refusal(
                Reason.TEAM_NOT_ALLOWED,
                outcome,
                f'team {team.name} may not call route {match.route.name}',
            )
        return _Caller(team, key_hash)

    def _hindrance(self, outcome: Outcome) -> Refusal | None:
        moment = now()
        if self._is_zone_out(moment):
            return Refusal(
                Reason.LEAVING,
                outcome,
                'this availability zone is out of service',
                _RETRY_SOON_SECONDS,
            )
        if not self._view.is_fresh(moment):
            return _not_fresh(outcome)
        return None

    def _is_zone_out(self, moment: float) -> bool:
        if self._view.zone not in self._view.vm_list.zones_out:
            self._zone_out_since = None
            return False
        if self._zone_out_since is None:
            self._zone_out_since = moment
        return moment - self._zone_out_since > ZONE_OUT_GRACE_SECONDS


def _not_fresh(outcome: Outcome) -> Refusal:
    return Refusal(
        Reason.NOT_FRESH,
        outcome,
        'this VM has lost touch with the fleet',
        _RETRY_SOON_SECONDS,
    )


def _key_unknown(outcome: Outcome) -> Refusal:
    return Refusal(
        Reason.KEY_UNKNOWN,
        outcome,
        'no team of this service has this key, or it was withdrawn',
    )


def _not_run(reason: Reason, detail: str) -> Refusal:
    return Refusal(reason, Outcome.NOT_RUN, detail)


def _outcome_without_route(request: IncomingRequest) -> Outcome:
    # A VM that has another revision of the configuration may know the route
    # and may have run an earlier sending of the same key.
    if request.headers.get('idempotency-key') is None:
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


def _bearer_key(request: IncomingRequest) -> str | None:
    credentials = request.headers.get('authorization') or ''
    if not credentials.lower().startswith(_BEARER):
        return None
    return credentials[len(_BEARER) :].strip() or None


def _judge_idempotency_key(
    request: IncomingRequest,
    terms: CoordinationConfig,
) -> str | Refusal:
    key = request.headers.get('idempotency-key')
    if key is None:
        return _not_run(
            Reason.IDEMPOTENCY_KEY_MISSING,
            'this work must not repeat: send Idempotency-Key with a UUIDv7',
        )
    judged = check_idempotency_key(key, time.time(), terms)
    if isinstance(judged, KeyAccepted):
        return judged.canonical
    if isinstance(judged, KeyTooOld):
        return Refusal(
            Reason.IDEMPOTENCY_KEY_EXPIRED,
            Outcome.UNKNOWN,
            'the key is too old to know whether it ran',
        )
    if isinstance(judged, KeyInFuture):
        # A VM whose clock is ahead of this one may have run it.
        return Refusal(
            Reason.IDEMPOTENCY_KEY_INVALID,
            Outcome.UNKNOWN,
            "the key's time is in the future: set the caller's clock",
        )
    return _not_run(
        Reason.IDEMPOTENCY_KEY_INVALID,
        'the key is no UUIDv7: make a new one for each piece of work',
    )


def _deadline(request: IncomingRequest, route: Route) -> float:
    allowed_ms = float(route.deadline_ms)
    wished = request.headers.get('deadline-ms') or ''
    if wished.isdecimal():
        allowed_ms = min(allowed_ms, float(wished))
    return request.received_at + allowed_ms / 1000
