"""Tests that a request gets the most specific route that matches it.

A path that a target could interpret as another path must match no route.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from jacinthcroft_config import (
    Access,
    Configuration,
    MethodNotAllowed,
    Route,
    RouteMatch,
    RouteTable,
    Service,
    TargetLimits,
    UnknownRoute,
)

LIMITS = TargetLimits(2, 1, 5, 300, 0.5)


def build_table(*routes: str) -> RouteTable:
    """Returns a table of routes given as `METHOD /path`."""
    built = tuple(
        Route(
            name=route,
            methods=(route.partition(' ')[0],),
            path=route.partition(' ')[2],
            access=Access.OPEN,
            teams=(),
            is_idempotent=True,
            request_class='c',
            deadline_ms=1000,
        )
        for route in routes
    )
    service = Service('s', LIMITS, built, (), ())
    return RouteTable.from_configuration(Configuration(1, (service,)))


TABLE = build_table(
    'GET /',
    'GET /pots/{pot}',
    'GET /pots/all',
    'POST /pots/{pot}',
    'GET /{any}/all',
    'GET /{any}',
    'GET /secret',
)


@pytest.mark.parametrize(
    ('request_line', 'route'),
    [
        ('GET /', 'GET /'),
        ('GET /pots/7', 'GET /pots/{pot}'),
        ('GET /pots/7?full=1', 'GET /pots/{pot}'),
        ('GET /pots/all', 'GET /pots/all'),
        ('POST /pots/all', 'POST /pots/{pot}'),
        ('GET /jars/all', 'GET /{any}/all'),
        ('GET /%73ecret', 'GET /secret'),
        ('GET /pots/%7B%7D%20', 'GET /pots/{pot}'),
    ],
)
def test_the_most_specific_route_is_found(
    request_line: str, route: str
) -> None:
    method, _, path = request_line.partition(' ')
    match = TABLE.find(method, path)

    assert isinstance(match, RouteMatch)
    assert match.route.name == route


@pytest.mark.parametrize(
    'path',
    [
        '',
        '*',
        'pots/7',
        'http://host/pots/7',
        '/pots/7/',
        '//pots/7',
        '/pots/..',
        '/pots/%2e%2E',
        '/pots/a%2Fb',
        '/pots/a%5cb',
        '/pots/a%00',
        '/pots/{}',
        '/pots/7#part',
        '/pots/7/more',
    ],
)
def test_a_path_that_a_target_could_interpret_differently_is_unknown(
    path: str,
) -> None:
    assert TABLE.find('GET', path) == UnknownRoute()


def test_a_wrong_method_returns_the_allowed_ones() -> None:
    assert TABLE.find('PUT', '/pots/all') == MethodNotAllowed(('GET', 'POST'))


@given(path=st.text().map('/'.__add__) | st.text())
@settings(derandomize=True)
def test_any_path_has_a_result(path: str) -> None:
    outcome = TABLE.find('GET', path)

    assert isinstance(outcome, RouteMatch | UnknownRoute | MethodNotAllowed)
