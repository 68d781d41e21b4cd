"""Which route, team and service a caller's request belongs to."""

import hashlib
import random
from typing import Final

from attrs import frozen
from jacinthcroft_decisions.dispatch import (
    CallerLimits,
    Configuration,
    Route,
    TeamSettings,
)
from jacinthcroft_http import IncomingRequest, now

from jacinthcroft_daemon.internal.pipeline.refusals import (
    Outcome,
    Reason,
    Refusal,
)
from jacinthcroft_daemon.internal.seeded.deployment import HeaderNames
from jacinthcroft_daemon.internal.seeded.documents_copy import DocumentsCopy

# A caller that states no deadline has the longest that callers state, in
# seconds; the route's timeout mostly ends it sooner.
DEFAULT_DEADLINE_SECONDS: Final = 30.0
# Route that states no objective: the answer is worth the same until late.
DEFAULT_OBJECTIVE_SECONDS: Final = 1.0
NOT_READY_RETRY_SECONDS: Final = 0.5
_MILLIS: Final = 1000
_BEARER: Final = 'bearer '


@frozen
class Admitted:
    """A request that may go to a service; times on this VM's clock."""

    request_id: str
    route: Route
    team: TeamSettings | None
    key_digest: bytes
    service: str
    arrived: float
    expires: float
    objective_at: float
    version: int

    @property
    def rank(self) -> int:
        """How urgent it is, 0 first."""
        if self.team is not None and self.team.rank is not None:
            return self.team.rank
        return self.route.rank

    @property
    def team_name(self) -> str:
        """The team's name, empty on an open route."""
        return '' if self.team is None else self.team.name


@frozen
class Admission:
    """Admits requests by the configuration in force."""

    _copy: DocumentsCopy
    _header_names: HeaderNames
    _random: random.Random
    _fails_closed: bool

    @property
    def limits(self) -> CallerLimits:
        """What one caller may send, by the configuration in force."""
        configuration = self._copy.configuration
        assert configuration is not None, 'nothing is admitted without one'
        return configuration.limits

    def request_id_of(self, request: IncomingRequest) -> str:
        """Returns the id that the caller gave a request, or nothing."""
        return request.headers.get(self._header_names.request_id) or ''

    def admit(self, request: IncomingRequest) -> Admitted | Refusal:
        """Returns what a request may do, or why it is refused."""
        configuration = self._copy.configuration
        if configuration is None:
            return _refuse(Reason.NOT_FRESH, 'no configuration is known yet')
        route = self._find_route(configuration, request)
        if isinstance(route, Refusal):
            return route
        digest = b''
        team = None
        if configuration.teams and not route.is_public:
            digest = _digest_of(request.headers.get('authorization'))
            found = self._find_team(configuration, digest)
            if isinstance(found, Refusal):
                return found
            team = found
        arrived = request.received_at
        return Admitted(
            self.request_id_of(request),
            route,
            team,
            digest,
            self._choose_part(route),
            arrived,
            arrived + self._patience(request, route),
            arrived + (route.objective or DEFAULT_OBJECTIVE_SECONDS),
            configuration.version,
        )

    def may_still_send(self, admitted: Admitted) -> bool:
        """Whether an admitted request may leave this VM right now."""
        if now() >= admitted.expires:
            return False
        configuration = self._copy.configuration
        if admitted.team is None or configuration is None:
            return configuration is not None
        if self._fails_closed and not self._copy.is_fresh:
            return False
        return configuration.find_team(admitted.key_digest) is not None

    def _find_route(
        self,
        configuration: Configuration,
        request: IncomingRequest,
    ) -> Route | Refusal:
        host = (request.headers.get('host') or '').partition(':')[0].lower()
        route = configuration.find_route(host, request.path)
        if route is None:
            return _refuse(Reason.UNKNOWN_ROUTE, 'no route for this path')
        if not route.parts:
            return _refuse(Reason.NO_CAPACITY, 'the route has no service')
        return route

    def _find_team(
        self,
        configuration: Configuration,
        digest: bytes,
    ) -> TeamSettings | Refusal:
        if self._fails_closed and not self._copy.is_fresh:
            return _refuse(
                Reason.NOT_FRESH,
                'withdrawn keys may be unknown here',
            )
        if not digest:
            return _refuse(Reason.KEY_MISSING, 'no key was sent')
        team = configuration.find_team(digest)
        if team is None:
            return _refuse(Reason.KEY_UNKNOWN, 'the key is not in force')
        return team

    def _patience(self, request: IncomingRequest, route: Route) -> float:
        stated = request.headers.get(self._header_names.time_left)
        patience = DEFAULT_DEADLINE_SECONDS
        if stated is not None and stated.strip().isdigit():
            patience = int(stated) / _MILLIS
        if route.timeout:
            patience = min(patience, route.timeout)
        return patience

    def _choose_part(self, route: Route) -> str:
        services = [service for service, _ in route.parts]
        if len(services) == 1:
            return services[0]
        weights = [weight for _, weight in route.parts]
        return self._random.choices(services, weights)[0]


def _digest_of(authorization: str | None) -> bytes:
    if authorization is None:
        return b''
    if not authorization.lower().startswith(_BEARER):
        return b''
    key = authorization[len(_BEARER) :].strip()
    return hashlib.sha256(key.encode('utf-8', 'surrogatepass')).digest()


def _refuse(reason: Reason, detail: str) -> Refusal:
    retry_after = 0.0
    if reason is Reason.NOT_FRESH:
        retry_after = NOT_READY_RETRY_SECONDS
    return Refusal(reason, Outcome.NOT_RUN, detail, retry_after)
