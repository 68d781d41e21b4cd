"""A request finds the most exact route, as its target will read it."""

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


def table_of(*routes: str) -> RouteTable:
    """Returns a table of routes written as `METHOD /path`."""
    built = tuple(
        Route(
            name=written,
            methods=(written.partition(' ')[0],),
            path=written.partition(' ')[2],
            access=Access.OPEN,
            teams=(),
            is_idempotent=True,
            request_class='c',
            deadline_ms=1000,
        )
        for written in routes
    )
    service = Service('s', LIMITS, built, (), ())
    return RouteTable.from_configuration(Configuration(1, (service,)))


TABLE = table_of(
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
def test_the_most_exact_route_is_found(request_line: str, route: str) -> None:
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
def test_a_path_that_a_target_could_read_otherwise_is_unknown(
    path: str,
) -> None:
    assert TABLE.find('GET', path) == UnknownRoute()


def test_another_method_is_told_the_allowed_ones() -> None:
    assert TABLE.find('PUT', '/pots/all') == MethodNotAllowed(('GET', 'POST'))


@given(path=st.text().map('/'.__add__) | st.text())
@settings(derandomize=True)
def test_any_path_gets_a_verdict(path: str) -> None:
    verdict = TABLE.find('GET', path)

    assert isinstance(verdict, RouteMatch | UnknownRoute | MethodNotAllowed)
