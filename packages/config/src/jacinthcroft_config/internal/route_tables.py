"""Finds the route of a request among all services.

Routes form a tree of path segments. A literal segment goes before one in
braces, from left to right, so that the most exact route wins whatever the
order of the files.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final
from urllib.parse import unquote

from attrs import Factory, frozen

from jacinthcroft_config.internal.models import Configuration, Route, Service
from jacinthcroft_config.internal.route_claims import WILDCARD, claims_of

_UNSAFE_SEGMENTS: Final = frozenset(('', '.', '..'))
# What a target may take for a separator or an end once it has decoded it.
_UNSAFE_CHARACTERS: Final = frozenset(('/', '\x5c', '\0'))


@dataclass(frozen=True)
class RouteMatch:
    """The route of a request and the service that it belongs to."""

    service: Service
    route: Route


@dataclass(frozen=True)
class UnknownRoute:
    """No service answers this path."""


@dataclass(frozen=True)
class MethodNotAllowed:
    """The path is answered, but only for the `allowed` methods."""

    allowed: tuple[str, ...]


@frozen
class _Node:
    """One segment of the tree with what follows it."""

    children: 'dict[str, _Node]' = Factory(dict)
    matches: dict[str, RouteMatch] = Factory(dict)

    def child(self, segment: str) -> '_Node':
        """Returns what follows a segment, adding it when new."""
        return self.children.setdefault(segment, _Node())

    def find_all(self, segments: tuple[str, ...]) -> 'Iterator[_Node]':
        """Yields every node that a path leads to, the most exact first."""
        if not segments:
            yield self
            return
        # A caller cannot write WILDCARD itself: see `_split`.
        for key in (segments[0], WILDCARD):
            child = self.children.get(key)
            if child is not None:
                yield from child.find_all(segments[1:])


@frozen
class RouteTable:
    """All routes of a configuration; the cost of a look-up is its path's."""

    _root: _Node = Factory(_Node)

    @classmethod
    def from_configuration(cls, configuration: Configuration) -> 'RouteTable':
        """Builds the table of all services."""
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
        """Returns the most exact route for a request.

        `path` is as the caller sent it; a query is passed over. Segments are
        compared decoded, as the target will see them.
        """
        segments = _split(path)
        if segments is None:
            return UnknownRoute()
        allowed: set[str] = set()
        for node in self._root.find_all(segments):
            match = node.matches.get(method)
            if match is not None:
                return match
            allowed.update(node.matches)
        if allowed:
            return MethodNotAllowed(tuple(sorted(allowed)))
        return UnknownRoute()

    def _add(self, match: RouteMatch) -> None:
        for claim in claims_of(match.route):
            node = self._root
            for segment in claim.segments:
                node = node.child(segment)
            node.matches[claim.method] = match


def _split(path: str) -> tuple[str, ...] | None:
    """Returns the decoded segments, or None for a path no route may have.

    A target could read such a path as another one, and so run a request
    for a team that may not call that route.
    """
    bare = path.partition('?')[0]
    if not bare.startswith('/') or '#' in bare:
        return None
    if bare == '/':
        return ('',)
    segments = tuple(bare[1:].split('/'))
    if '%' in bare:
        segments = tuple(unquote(segment) for segment in segments)
    if any(_is_unsafe(segment) for segment in segments):
        return None
    return segments


def _is_unsafe(segment: str) -> bool:
    if segment in _UNSAFE_SEGMENTS or segment == WILDCARD:
        return True
    return not _UNSAFE_CHARACTERS.isdisjoint(segment)
