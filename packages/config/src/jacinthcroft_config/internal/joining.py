"""Joins services into one configuration and checks for conflicts."""

from collections.abc import Iterable
from typing import TypeAlias

from attrs import Factory, frozen

from jacinthcroft_config.internal.faults import Fault, Faults
from jacinthcroft_config.internal.models import (
    Address,
    Configuration,
    Service,
)
from jacinthcroft_config.internal.route_patterns import (
    RoutePatternOwners,
    list_patterns,
)

NamedService: TypeAlias = tuple[str, Service]


def join_services(
    revision: int,
    services: Iterable[NamedService],
) -> Configuration | Faults:
    """Returns the configuration of all services, or every conflict.

    Each service is paired with the name of its file.
    """
    named_services = tuple(services)
    conflicts = _ConflictChecker()
    for file_name, service in named_services:
        conflicts.check(file_name, service)
    if conflicts.faults:
        return Faults(tuple(conflicts.faults))
    return Configuration(revision, tuple(named[1] for named in named_services))


@frozen
class _ConflictChecker:
    """Finds what two files may not share, such as a key or an address."""

    faults: list[Fault] = Factory(list)
    _files_by_service: dict[str, str] = Factory(dict)
    _pattern_owners: RoutePatternOwners = Factory(RoutePatternOwners)
    _key_owners: dict[str, str] = Factory(dict)
    _address_owners: dict[Address, str] = Factory(dict)

    def check(self, file_name: str, service: Service) -> None:
        """Reports the conflicts of a file with earlier ones, then adds it."""
        earlier = self._files_by_service.get(service.name)
        if earlier is not None:
            self._report(
                file_name,
                'service',
                f'{service.name!r} is also the service of {earlier}',
                'write another name',
            )
            # All other parts of the service would be in conflict as well.
            return
        self._files_by_service[service.name] = file_name
        self._check_routes(file_name, service)
        self._check_keys(file_name, service)
        self._check_addresses(file_name, service)

    def _check_routes(self, file_name: str, service: Service) -> None:
        for route in service.routes:
            for pattern in list_patterns(route):
                earlier = self._pattern_owners.add(pattern, file_name)
                if earlier not in {None, file_name}:
                    self._report(
                        file_name,
                        f'routes[{route.name}].path',
                        f'{pattern.method} {route.path} is also in {earlier}',
                        'write another path or method',
                    )

    def _check_keys(self, file_name: str, service: Service) -> None:
        for team in service.teams:
            for key_hash in team.key_hashes:
                owner = self._key_owners.setdefault(key_hash, team.name)
                if owner != team.name:
                    self._report(
                        file_name,
                        f'teams.{team.name}.keys',
                        f'a key is that of team {owner!r} in another file',
                        'give each team its own keys',
                    )

    def _check_addresses(self, file_name: str, service: Service) -> None:
        for target in service.targets:
            owner = self._address_owners.setdefault(
                target.address, service.name
            )
            if owner != service.name:
                self._report(
                    file_name,
                    f'targets.{target.name}.address',
                    f'{target.address} is also a target of {owner!r}',
                    'give each service its own targets',
                )

    def _report(
        self,
        file_name: str,
        key: str,
        problem: str,
        remedy: str,
    ) -> None:
        self.faults.append(Fault(file_name, key, problem, remedy))
