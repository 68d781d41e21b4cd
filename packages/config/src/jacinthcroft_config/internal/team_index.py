"""Finds the team of a caller's key by the hash of the key."""

from attrs import Factory, frozen

from jacinthcroft_config.internal.models import Configuration, Team


@frozen
class TeamOfService:
    """A team with the service whose file defines it."""

    service: str
    team: Team


@frozen
class TeamIndex:
    """The teams of all services by the hashes of their keys."""

    _teams: dict[str, dict[str, TeamOfService]] = Factory(dict)

    @classmethod
    def from_configuration(cls, configuration: Configuration) -> 'TeamIndex':
        """Returns the index of the teams of all services."""
        teams: dict[str, dict[str, TeamOfService]] = {}
        for service in configuration.services:
            for team in service.teams:
                for key_hash in team.key_hashes:
                    by_service = teams.setdefault(key_hash, {})
                    by_service[service.name] = TeamOfService(service.name, team)
        return cls(teams)

    def find(self, key_hash: str) -> tuple[TeamOfService, ...]:
        """Returns the team of a key in every service that has one."""
        return tuple(self._teams.get(key_hash, {}).values())

    def team_for(self, service: str, key_hash: str) -> Team | None:
        """Returns the team of a key in one service, or None."""
        found = self._teams.get(key_hash, {}).get(service)
        return None if found is None else found.team
