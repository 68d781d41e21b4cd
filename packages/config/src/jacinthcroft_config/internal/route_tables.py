"""Finds the route of a request among all services.

Routes form a tree of path segments. From left to right, a literal segment has
precedence over one in braces, so the most specific route matches regardless of
the order of the files.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final
from urllib.parse import unquote

from attrs import Factory, frozen

from jacinthcroft_config.internal.models import Configuration, Route, Service
from jacinthcroft_config.internal.route_patterns import WILDCARD, list_patterns

_UNSAFE_SEGMENTS: Final = frozenset(('', '.', '..'))
# Characters that a target may treat as a separator or as the end of the path
# after decoding it.
_UNSAFE_CHARACTERS: Final = frozenset(('/', '\x5c', '\0'))


@dataclass(frozen=True)
class RouteMatch:
    """The route of a request and the service that owns the route."""

    service: Service
    route: Route


@dataclass(frozen=True)
class UnknownRoute:
    """No service has a route for this path."""


@dataclass(frozen=True)
class MethodNotAllowed:
    """The path has routes, but only for the `allowed` methods."""

    allowed: tuple[str, ...]


@frozen
class _Node:
    """A node of the tree: the matches that end here and its child nodes."""

    children: 'dict[str, _Node]' = Factory(dict)
    matches: dict[str, RouteMatch] = Factory(dict)

    def add_child(self, segment: str) -> '_Node':
        """Returns the child node for a segment; creates it if missing."""
        return self.children.setdefault(segment, _Node())

    def find_nodes(self, segments: tuple[str, ...]) -> 'Iterator[_Node]':
        """Yields every node that matches a path, the most specific first."""
        if not segments:
            yield self
            return
        # `_split_path` rejects a request whose path contains WILDCARD.
        for key in (segments[0], WILDCARD):
            child = self.children.get(key)
            if child is not None:
                yield from child.find_nodes(segments[1:])


@frozen
class RouteTable:
    """All routes of a configuration.

    The time of a look-up depends on the path, not on the number of routes.
    """

    _root: _Node = Factory(_Node)

    @classmethod
    def from_configuration(cls, configuration: Configuration) -> 'RouteTable':
        """Returns the table of the routes of all services."""
        table = cls()
        for service in configuration.services:
            for route in service.routes:
                table._add(RouteMatch(service, route))
        return table

    def find(
        self,
        method: str,
        path: str,
    ) -> RouteMatch | UnknownRoute | MethodNotAllowed:
        """Returns the most specific route for a request.

        `path` is as the caller sent it; its query is ignored. Segments are
        percent-decoded before the comparison, as the target will decode them.
        """
        segments = _split_path(path)
        if segments is None:
            return UnknownRoute()
        allowed: set[str] = set()
        for node in self._root.find_nodes(segments):
            match = node.matches.get(method)
            if match is not None:
                return match
            allowed.update(node.matches)
        if allowed:
            return MethodNotAllowed(tuple(sorted(allowed)))
        return UnknownRoute()

    def _add(self, match: RouteMatch) -> None:
        for pattern in list_patterns(match.route):
            node = self._root
            for segment in pattern.segments:
                node = node.add_child(segment)
            node.matches[pattern.method] = match


def _split_path(path: str) -> tuple[str, ...] | None:
    """Returns the decoded segments, or None for an ambiguous path.

    A target could interpret an ambiguous path as another path, and so run a
    request for a team that may not call the route of that other path.
    """
    without_query = path.partition('?')[0]
    if not without_query.startswith('/') or '#' in without_query:
        return None
    if without_query == '/':
        return ('',)
    segments = tuple(without_query[1:].split('/'))
    if '%' in without_query:
        segments = tuple(unquote(segment) for segment in segments)
    if any(_is_unsafe(segment) for segment in segments):
        return None
    return segments


def _is_unsafe(segment: str) -> bool:
    if segment in _UNSAFE_SEGMENTS or segment == WILDCARD:
        return True
    return not _UNSAFE_CHARACTERS.isdisjoint(segment)
