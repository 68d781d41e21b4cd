"""Patterns of the requests that a route matches, to find duplicate routes.

Two paths match the same requests if they differ only in the names of
segments in braces.
"""

from collections.abc import Iterator

from attrs import field, frozen

from jacinthcroft_config.internal.models import Route

WILDCARD = '{}'


@frozen
class RoutePattern:
    """A method and the segments of a path, with `WILDCARD` for braces."""

    method: str
    segments: tuple[str, ...]


@frozen
class RoutePatternOwners:
    """Patterns with the first route or file that uses each of them."""

    _owners: dict[RoutePattern, str] = field(factory=dict)

    def add(self, pattern: RoutePattern, owner: str) -> str | None:
        """Adds a pattern; returns its earlier owner, or None if it is new."""
        earlier = self._owners.get(pattern)
        self._owners.setdefault(pattern, owner)
        return earlier


def split_pattern(path: str) -> tuple[str, ...]:
    """Returns the segments of a route's path, `WILDCARD` for braces."""
    return tuple(
        WILDCARD if segment.startswith('{') else segment
        for segment in path.split('/')[1:]
    )


def list_patterns(route: Route) -> Iterator[RoutePattern]:
    """Yields the patterns of a route, one for each method."""
    segments = split_pattern(route.path)
    for method in route.methods:
        yield RoutePattern(method, segments)
