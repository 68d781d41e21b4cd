"""The example deployments, with stand-ins in place of their targets."""

import pathlib
from collections.abc import Sequence

from jacinthcroft_config import Faults, Service, load_service

from jacinthcroft_testkit.fleet import Fleet
from jacinthcroft_testkit.internal.target_messages import Traits


class BrokenExample(Exception):
    """An example's service file has faults."""


async def deploy_examples(
    fleet: Fleet,
    folder: pathlib.Path,
    targets: int,
    traits: Traits,
) -> Sequence[Service]:
    """Gives a fleet every service file below a folder.

    Each service gets a number of stand-in targets.

    Raises:
        BrokenExample: If a file has faults.
    """
    services = []
    for service, text in read_examples(folder).items():
        names = [f'{service}-{number + 1}' for number in range(targets)]
        await fleet.add_service(service, text, names, traits)
        services.append(load_sound(fleet.services.text(service), service))
    return services


def read_examples(folder: pathlib.Path) -> dict[str, str]:
    """Returns the service files two levels below a folder, by service."""
    return {
        path.stem: path.read_text() for path in sorted(folder.glob('*/*.toml'))
    }


def load_sound(text: str, file_name: str) -> Service:
    """Reads a service file that must be right.

    Raises:
        BrokenExample: If it has faults.
    """
    service = load_service(text, file_name)
    if isinstance(service, Faults):
        raise BrokenExample('\n'.join(str(one) for one in service.faults))
    return service
