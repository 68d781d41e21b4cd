"""Rules between the tables of one service file.

A value that failed its own check is missing here, and the rules ignore it.
"""

from collections.abc import Mapping
from typing import Any

from jacinthcroft_config.internal.faults import FaultCollector
from jacinthcroft_config.internal.models import Access
from jacinthcroft_config.internal.route_patterns import (
    RoutePattern,
    RoutePatternOwners,
    split_pattern,
)
from jacinthcroft_config.internal.tables import suggest_name

Tables = Mapping[str, Mapping[str, Any]]


def check_rules(
    collector: FaultCollector,
    limits: Mapping[str, Any],
    routes: Tables,
    teams: Tables,
    targets: Tables,
) -> None:
    """Reports every violation of the rules by one service file."""
    _check_cold_slots(collector, limits)
    for location, route in routes.items():
        _check_access(collector, location, route, teams)
    _check_patterns(collector, routes)
    _check_key_owners(collector, teams)
    _check_addresses(collector, targets)


def _check_cold_slots(
    collector: FaultCollector, limits: Mapping[str, Any]
) -> None:
    slots = limits.get('slots')
    cold_slots = limits.get('cold_slots')
    if slots is None or cold_slots is None or cold_slots <= slots:
        return
    collector.report(
        'limits.cold_slots',
        f'{cold_slots} is more than slots = {slots}',
        f'write a whole number from 1 to {slots}',
    )


def _check_access(
    collector: FaultCollector,
    location: str,
    route: Mapping[str, Any],
    teams: Tables,
) -> None:
    key = f'{location}.teams'
    route_teams = route.get('teams')
    access = route.get('access')
    if route_teams is None or access is None:
        return
    if access is Access.OPEN and route_teams:
        collector.report(
            key,
            'an open route names teams',
            'take the teams away or write access = "teams"',
        )
    if access is Access.TEAMS and not route_teams:
        collector.report(
            key,
            'no team may call this route',
            'write at least one team or access = "open"',
        )
    for team in route_teams:
        if team not in teams:
            collector.report(
                key,
                f'unknown team {team!r}',
                f'{suggest_name(team, teams)}, or add [teams.{team}]',
            )


def _check_patterns(collector: FaultCollector, routes: Tables) -> None:
    owners = RoutePatternOwners()
    for location, route in routes.items():
        path = route.get('path')
        if path is None:
            continue
        for method in route.get('methods', ()):
            pattern = RoutePattern(method.value, split_pattern(path))
            earlier = owners.add(pattern, location)
            if earlier is not None:
                collector.report(
                    f'{location}.path',
                    f'{method.value} {path} is also the route {earlier}',
                    'write another path or method',
                )


def _check_key_owners(collector: FaultCollector, teams: Tables) -> None:
    owners: dict[str, str] = {}
    for name, team in teams.items():
        for key_hash in team.get('keys', ()):
            owner = owners.setdefault(key_hash, name)
            if owner != name:
                collector.report(
                    f'teams.{name}.keys',
                    f'a key is also that of team {owner!r}',
                    'give each team its own keys',
                )


def _check_addresses(collector: FaultCollector, targets: Tables) -> None:
    owners: dict[object, str] = {}
    for name, target in targets.items():
        address = target.get('address')
        owner = owners.setdefault(address, name)
        if address is not None and owner != name:
            collector.report(
                f'targets.{name}.address',
                f'{address} is also that of target {owner!r}',
                'write each address once',
            )
