"""Loads one service file, or reports all of its faults at once.

First each table is checked against its declared keys, then the rules between
tables are checked. A `Service` is built only from a file without faults.
"""

from collections.abc import Mapping
from typing import Any

from attrs import frozen

from jacinthcroft_config.internal.checkers import Name, Problem
from jacinthcroft_config.internal.documents import parse_toml, report_size
from jacinthcroft_config.internal.faults import FaultCollector, Faults
from jacinthcroft_config.internal.models import (
    Access,
    Route,
    Service,
    Target,
    TargetLimits,
    Team,
)
from jacinthcroft_config.internal.service_keys import (
    LIMIT_KEYS,
    ROUTE_KEYS,
    TARGET_KEYS,
    TEAM_KEYS,
)
from jacinthcroft_config.internal.service_rules import check_rules
from jacinthcroft_config.internal.tables import (
    TableKey,
    TableReader,
    join_key,
    require_table,
)

_SERVICE = TableKey('service', Name(), 'Name of the service.')
_TOP_LEVEL = ['service', 'limits', 'routes', 'teams', 'targets']

_REMEDIES_WHEN_EMPTY = (
    ('routes', 'write at least one [[routes]]'),
    ('targets', 'write at least one [targets.NAME]'),
)


def load_service(text: str, file_name: str) -> Service | Faults:
    """Returns the service of a file, or every fault in it."""
    collector = FaultCollector(file_name)
    report_size(collector, text)
    document = parse_toml(collector, text)
    return (
        read_service(collector, document)
        if collector.is_empty
        else collector.faults
    )


def read_service(
    collector: FaultCollector, document: dict[str, Any]
) -> Service | Faults:
    """Returns the service of a parsed file, or every fault in it."""
    tables = _ServiceTables.from_document(collector, document)
    # The rules ignore values that failed their own check, so they add new
    # faults to those already reported and repeat none of them.
    check_rules(
        collector, tables.limits, tables.routes, tables.teams, tables.targets
    )
    return tables.build() if collector.is_empty else collector.faults


@frozen
class _ServiceTables:
    """The checked values of each table of a service file."""

    name: str
    limits: Mapping[str, Any]
    routes: Mapping[str, Mapping[str, Any]]
    teams: Mapping[str, Mapping[str, Any]]
    targets: Mapping[str, Mapping[str, Any]]

    @classmethod
    def from_document(
        cls,
        collector: FaultCollector,
        document: dict[str, Any],
    ) -> '_ServiceTables':
        """Checks every table of a document against its declared keys."""
        reader = TableReader(collector, ignores_unknown=True)
        top = reader.read('', document, (_SERVICE,))
        strict = TableReader(collector)
        strict.report_unknown('', document, _TOP_LEVEL)
        _report_empty(collector, document)
        return cls(
            name=top.get('service', ''),
            limits=strict.read(
                'limits', document.get('limits', {}), LIMIT_KEYS
            ),
            routes=_read_routes(strict, document.get('routes', [])),
            teams=_read_named(strict, document, 'teams', TEAM_KEYS),
            targets=_read_named(strict, document, 'targets', TARGET_KEYS),
        )

    def build(self) -> Service:
        """Returns the service; call this only if no fault was reported."""
        return Service(
            name=self.name,
            limits=TargetLimits(**self.limits),
            routes=tuple(_build_route(route) for route in self.routes.values()),
            teams=tuple(
                Team(name, team['rate'], team['burst'], team['keys'])
                for name, team in self.teams.items()
            ),
            targets=tuple(
                Target(name, **target) for name, target in self.targets.items()
            ),
        )


def _report_empty(
    collector: FaultCollector, document: Mapping[str, object]
) -> None:
    for section, remedy in _REMEDIES_WHEN_EMPTY:
        if document.get(section) in (None, [], {}):
            collector.report(section, 'nothing is written there', remedy)


def _read_routes(
    reader: TableReader,
    raw: object,
) -> dict[str, dict[str, Any]]:
    """Returns the routes by their location in the messages of faults."""
    if not isinstance(raw, list):
        reader.log.report(
            'routes',
            'not a list of tables',
            'write each route below [[routes]]',
        )
        return {}
    routes: dict[str, dict[str, Any]] = {}
    for number, route in enumerate(raw, start=1):
        location = _locate_route(number, route)
        if location in routes:
            location = f'routes[#{number}]'
            reader.log.report(
                f'{location}.name',
                'an earlier route has this name',
                'give each route its own name',
            )
        routes[location] = reader.read(location, route, ROUTE_KEYS)
    return routes


def _locate_route(number: int, route: object) -> str:
    name = route.get('name') if isinstance(route, dict) else None
    if isinstance(Name().check(name), Problem):
        return f'routes[#{number}]'
    return f'routes[{name}]'


def _read_named(
    reader: TableReader,
    document: Mapping[str, object],
    section: str,
    keys: tuple[TableKey, ...],
) -> dict[str, dict[str, Any]]:
    """Returns the tables of a section by name."""
    tables = require_table(reader.log, section, document.get(section, {}))
    for table_name in tables:
        if isinstance(Name().check(table_name), Problem):
            reader.log.report(
                join_key(section, table_name),
                'not a name',
                f'write {Name().expected}',
            )
    return {
        name: reader.read(join_key(section, name), table, keys)
        for name, table in tables.items()
    }


def _build_route(route: Mapping[str, Any]) -> Route:
    return Route(
        name=route['name'],
        methods=tuple(method.value for method in route['methods']),
        path=route['path'],
        access=Access(route['access']),
        teams=route['teams'],
        is_idempotent=route['idempotent'],
        request_class=route['class'] or route['name'],
        deadline_ms=route['deadline_ms'],
    )
