"""The service files of a fleet under test, ready to be published."""

from collections.abc import Mapping, Sequence

from attrs import define, evolve, field

from jacinthcroft_testkit.internal.documents import (
    TargetEntry,
    replace_targets,
)


@define(eq=False)
class ServiceBook:
    """What the service files will say when they are published next."""

    _zones: Sequence[str]
    _texts: dict[str, str] = field(factory=dict, init=False)
    _targets: dict[str, dict[str, TargetEntry]] = field(
        factory=dict,
        init=False,
    )

    def add(self, service: str, text: str) -> None:
        """Takes a service file in; its own targets are left out."""
        self._texts[service] = text
        self._targets[service] = {}

    def add_targets(self, service: str, ports: Mapping[str, str]) -> None:
        """Takes in targets, dealt out to the zones in turn.

        `ports` holds their addresses by name.
        """
        targets = self._targets[service]
        for name, address in ports.items():
            zone = self._zone_of(len(targets))
            targets[name] = TargetEntry(name, address, zone)

    def replace_text(self, service: str, text: str) -> None:
        """Changes a service file, all but its targets."""
        self._texts[service] = text

    def text(self, service: str) -> str:
        """Returns a service file as it would be published."""
        targets = self._targets[service].values()
        return replace_targets(self._texts[service], targets)

    def texts(self) -> dict[str, str]:
        """Returns all service files by service."""
        return {service: self.text(service) for service in self._texts}

    def mark_target(self, service: str, name: str, state: str) -> None:
        """Changes a target's state."""
        targets = self._targets[service]
        targets[name] = evolve(targets[name], state=state)

    def targets_of(self, service: str) -> tuple[TargetEntry, ...]:
        """Returns a service's targets."""
        return tuple(self._targets[service].values())

    def targets_in(self, zone: str) -> set[str]:
        """Returns the names of all targets in a zone."""
        return {
            target.name
            for targets in self._targets.values()
            for target in targets.values()
            if target.zone == zone
        }

    def _zone_of(self, number: int) -> str:
        return self._zones[number % len(self._zones)]
