"""Requests of every kind that service files allow."""

import re
from collections.abc import Iterator

from jacinthcroft_config import Access, Route, Service

from jacinthcroft_testkit.internal.documents import EXAMPLE_KEY
from jacinthcroft_testkit.internal.requests import RequestKind

# What targets are told of requests that need no key.
OPEN_TEAM = 'open'

_PARAMETER = re.compile('{[^}]*}')
_BODY_METHODS = ('POST', 'PUT')
_CALLER_PATIENCE_SECONDS = 1.0
_MILLISECONDS_PER_SECOND = 1000


def kinds_of(service: Service) -> Iterator[RequestKind]:
    """Returns one kind for each route and each team that may call it.

    The teams' keys are those of the examples: `example-key-<team>`.
    """
    for route in service.routes:
        if route.access is Access.OPEN:
            yield _kind_of(service, route, OPEN_TEAM)
        for team in route.teams:
            yield _kind_of(service, route, team)


def _kind_of(service: Service, route: Route, team: str) -> RequestKind:
    method = route.methods[0]
    deadline = route.deadline_ms / _MILLISECONDS_PER_SECOND
    return RequestKind(
        service=service.name,
        team=team,
        api_key='' if team == OPEN_TEAM else EXAMPLE_KEY + team,
        method=method,
        path=_PARAMETER.sub('{n}', route.path),
        is_idempotent=route.is_idempotent,
        body=b'{}' if method in _BODY_METHODS else None,
        timeout=deadline + _CALLER_PATIENCE_SECONDS,
    )
