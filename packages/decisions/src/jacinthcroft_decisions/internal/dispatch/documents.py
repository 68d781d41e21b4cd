"""What operators and targets publish, in decoded form."""

from collections.abc import Mapping
from typing import Self

from attrs import field, frozen


@frozen
class Route:
    """Settings for one host and path prefix; times in seconds.

    `parts` are services and their weights: each request goes to one service,
    which is chosen at random by weight. A repeatable request may run more
    than once, and a public one needs no API key. `rank` is the urgency; 0 is
    the most urgent. `timeout` is the maximum time until a request's deadline.
    `objective` is the latency within which a response should arrive.
    `has_large_responses` says that they are usually tens of kilobytes.
    """

    name: str
    host: str
    prefix: str
    parts: tuple[tuple[str, float], ...]
    is_repeatable: bool
    is_public: bool
    max_attempts: int
    rank: int
    timeout: float | None
    objective: float | None
    has_large_responses: bool = False


@frozen
class ServiceSettings:
    """What the targets of a service can take.

    `connections` is the maximum number of open connections. A target is cold,
    which means that it is still warming up, for `cold_seconds` after its
    start, and gets `cold_rate` requests a second meanwhile.
    """

    name: str
    connections: int
    cold_seconds: float
    cold_rate: float


@frozen
class TeamSettings:
    """The keys of a team and what it may send.

    `keys` are the SHA-256 digests of its API keys. `rank`, if given, takes
    precedence over the rank of a route. `rate` is in requests a second; 0
    means no limit. `burst` is how many requests it may send at once.
    """

    name: str
    keys: frozenset[bytes]
    rank: int | None
    rate: float
    burst: float


@frozen
class CallerLimits:
    """How much one caller may send, and how slowly.

    `head_bytes` and `body_bytes` limit the size of a request's head and body,
    `head_seconds` the time until its head is whole, and `idle_seconds` the
    time between two requests on a connection.
    """

    head_bytes: int
    body_bytes: int
    head_seconds: float
    idle_seconds: float


@frozen
class Configuration:
    """One version of the configuration that operators publish."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSettings]
    teams: Mapping[str, TeamSettings]
    limits: CallerLimits
    _routes_by_host: Mapping[str, tuple[Route, ...]] = field(
        init=False,
        repr=False,
        eq=False,
    )
    _teams_by_key: Mapping[bytes, TeamSettings] = field(
        init=False,
        repr=False,
        eq=False,
    )

    @_routes_by_host.default
    def _index_routes(self) -> Mapping[str, tuple[Route, ...]]:
        by_host: dict[str, list[Route]] = {}
        longest_first = sorted(
            self.routes,
            key=lambda route: len(route.prefix),
            reverse=True,
        )
        for route in longest_first:
            by_host.setdefault(route.host, []).append(route)
        return {host: tuple(routes) for host, routes in by_host.items()}

    @_teams_by_key.default
    def _index_teams(self) -> Mapping[bytes, TeamSettings]:
        return {key: team for team in self.teams.values() for key in team.keys}

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route of the host with the longest matching prefix."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_team(self, key_digest: bytes) -> TeamSettings | None:
        """Returns the team of the API key with this SHA-256 digest."""
        return self._teams_by_key.get(key_digest)


@frozen
class TargetEntry:
    """A target, as it describes itself.

    `cold_seconds_left` is for how long it is still warming up. `slots` is how
    many requests it runs at once. `born` tells a restarted target from its
    former process.
    """

    target_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    is_ready: bool
    cold_seconds_left: float
    born: int

    @property
    def incarnation(self) -> str:
        """Names the target's process, which may restart under its id."""
        return f'{self.target_id}@{self.born}'


@frozen
class FleetDocuments:
    """All published documents; nothing is served without a configuration."""

    configuration: Configuration | None = None
    targets: Mapping[str, TargetEntry] = field(factory=dict)
    evacuated_zones: frozenset[str] = frozenset()

    @classmethod
    def empty(cls) -> Self:
        """Returns the documents of a VM that has read nothing yet."""
        return cls()
