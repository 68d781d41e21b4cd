"""Finds the team of a key by the key's hash."""

from attrs import Factory, frozen

from jacinthcroft_config.internal.models import Configuration, Team


@frozen
class TeamOfService:
    """A team as one service knows it."""

    service: str
    team: Team


@frozen
class TeamIndex:
    """The teams of all services by their keys' hashes."""

    _teams: dict[str, dict[str, TeamOfService]] = Factory(dict)

    @classmethod
    def from_configuration(cls, configuration: Configuration) -> 'TeamIndex':
        """Builds the index of all services."""
        teams: dict[str, dict[str, TeamOfService]] = {}
        for service in configuration.services:
            for team in service.teams:
                for key_hash in team.key_hashes:
                    known = teams.setdefault(key_hash, {})
                    known[service.name] = TeamOfService(service.name, team)
        return cls(teams)

    def find(self, key_hash: str) -> tuple[TeamOfService, ...]:
        """Returns the key's team in every service that knows it."""
        return tuple(self._teams.get(key_hash, {}).values())

    def team_for(self, service: str, key_hash: str) -> Team | None:
        """Returns the key's team in one service, or None."""
        known = self._teams.get(key_hash, {}).get(service)
        return None if known is None else known.team
