"""Which routes claim which requests, so that no two claim the same.

Two paths claim the same requests when they differ only in the names of
segments in braces.
"""

from collections.abc import Iterator

from attrs import field, frozen

from jacinthcroft_config.internal.models import Route

WILDCARD = '{}'


@frozen
class RouteClaim:
    """One method on one shape of path."""

    method: str
    segments: tuple[str, ...]


@frozen
class RouteClaims:
    """The claims met so far, each with the route that made it first."""

    _owners: dict[RouteClaim, str] = field(factory=dict)

    def add(self, claim: RouteClaim, owner: str) -> str | None:
        """Adds a claim; returns the earlier owner when there is one."""
        earlier = self._owners.get(claim)
        self._owners.setdefault(claim, owner)
        return earlier


def path_segments(path: str) -> tuple[str, ...]:
    """Returns the segments of a route's path, braces as `WILDCARD`."""
    return tuple(
        WILDCARD if segment.startswith('{') else segment
        for segment in path.split('/')[1:]
    )


def claims_of(route: Route) -> Iterator[RouteClaim]:
    """Yields what a route claims, one claim for each method."""
    segments = path_segments(route.path)
    for method in route.methods:
        yield RouteClaim(method, segments)
