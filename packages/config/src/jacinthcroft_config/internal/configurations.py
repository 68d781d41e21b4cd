"""Loads all service files of a deployment as one configuration."""

from attrs import frozen

from jacinthcroft_config.internal.faults import Faults
from jacinthcroft_config.internal.joining import join_services
from jacinthcroft_config.internal.models import Configuration
from jacinthcroft_config.internal.service_files import load_service


@frozen
class ServiceFile:
    """The text of one service file, and the name of the file in faults."""

    name: str
    text: str


def load_configuration(
    revision: int,
    files: tuple[ServiceFile, ...],
) -> Configuration | Faults:
    """Loads and joins service files, or returns the faults of all of them."""
    loaded = [(file.name, load_service(file.text, file.name)) for file in files]
    faults = [
        fault
        for _, outcome in loaded
        if isinstance(outcome, Faults)
        for fault in outcome.faults
    ]
    joined = join_services(
        revision,
        [
            (name, service)
            for name, service in loaded
            if not isinstance(service, Faults)
        ],
    )
    if isinstance(joined, Faults):
        faults.extend(joined.faults)
    elif not faults:
        return joined
    return Faults(tuple(faults))
