"""What operators and targets publish, as the decisions read it."""

from collections.abc import Mapping
from typing import Self

from attrs import field, frozen


@frozen
class Route:
    """A family of requests; times in seconds.

    `parts` are services with their weights. A request goes to one of them,
    chosen by weight, and to no other.
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


@frozen
class ServiceSettings:
    """What a service's targets bear; `cold_rate` is in requests a second."""

    name: str
    connections: int
    cold_seconds: float
    cold_rate: float


@frozen
class TeamSettings:
    """What a team may spend; a rate of 0 means no limit.

    `rank` takes precedence over the route's; `keys` are SHA-256 digests.
    """

    name: str
    keys: frozenset[bytes]
    rank: int | None
    rate: float
    burst: float


@frozen
class CallerLimits:
    """What one caller may send, in bytes, and how slowly, in seconds."""

    head_bytes: int
    body_bytes: int
    head_seconds: float
    idle_seconds: float


@frozen
class Configuration:
    """One version of what the operators ask for."""

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
        """Returns the team that holds a key, by the key's SHA-256."""
        return self._teams_by_key.get(key_digest)


@frozen
class TargetEntry:
    """A target as it describes itself."""

    target_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    is_ready: bool
    cold_seconds_left: float
    born: int


@frozen
class FleetDocuments:
    """All that is published; without configuration nothing is served."""

    configuration: Configuration | None = None
    targets: Mapping[str, TargetEntry] = field(factory=dict)
    evacuated_zones: frozenset[str] = frozenset()

    @classmethod
    def empty(cls) -> Self:
        """Returns what a VM knows before it has read anything."""
        return cls()
