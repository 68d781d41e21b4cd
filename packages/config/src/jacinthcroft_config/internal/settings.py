"""Declares, loads and documents the settings file of a VM.

Each section of the file is a class; each field declares the checker, the
description and the default of one key.
"""

import enum
from typing import Annotated, Any

from attrs import field, frozen

from jacinthcroft_config.internal.checkers import (
    AddressText,
    Choice,
    Integer,
    Name,
    Number,
    Text,
)
from jacinthcroft_config.internal.documents import parse_toml
from jacinthcroft_config.internal.faults import FaultCollector, Faults
from jacinthcroft_config.internal.models import Address
from jacinthcroft_config.internal.tables import (
    TableReader,
    describe_table,
    read_keys,
)


class LogLevel(enum.Enum):
    """How much a VM writes to its log."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


@frozen
class VmSettings:
    """Which VM this is."""

    name: Annotated[
        str,
        Name(),
        "Name of this VM in the platform's list.",
    ]
    zone: Annotated[
        str,
        Name(),
        'Availability zone that this VM stands in.',
    ]


@frozen
class ListenSettings:
    """Where this VM is reached."""

    callers: Annotated[
        Address,
        AddressText(),
        'Where callers send requests.',
    ]
    peers: Annotated[
        Address,
        AddressText(),
        'Where other VMs send messages.',
    ]
    operators: Annotated[
        Address,
        AddressText(),
        'Where health, metrics and status are read.',
    ]


@frozen
class PlatformSettings:
    """Where the platform's configuration service is."""

    address: Annotated[
        Address,
        AddressText(),
        'The configuration service.',
    ]


@frozen
class FleetSettings:
    """What the VMs of one fleet share."""

    secret_file: Annotated[
        str,
        Text(),
        'File that holds the secret by which VMs know each other.',
    ]


@frozen
class LogSettings:
    """What is written to the log."""

    level: Annotated[
        LogLevel,
        Choice(LogLevel),
        'Least severe events written.',
    ] = LogLevel.INFO


@frozen
class Tunables:
    """Values that seldom need a change; names end in their units."""

    gossip_interval_ms: Annotated[
        int,
        Integer((50, 10_000)),
        'Time between two exchanges of revisions with a peer.',
    ] = 500
    coordination_interval_ms: Annotated[
        int,
        Integer((20, 1_000)),
        'Time between two steps of leases and witnesses.',
    ] = 150
    drain_notice_ms: Annotated[
        int,
        Integer((0, 60_000)),
        'How long a stopping VM goes on serving new arrivals while the '
        'balancer notices that it is not ready.',
    ] = 1000
    drain_seconds: Annotated[
        float,
        Number((0, 600)),
        'How long a stopping VM waits for requests in progress.',
    ] = 10.0
    freshness_seconds: Annotated[
        float,
        Number((1, 60)),
        'How long a VM that does not hear a majority of the fleet, itself '
        'or through others, still serves requests.',
    ] = 5.0
    platform_wait_seconds: Annotated[
        int,
        Integer((1, 300)),
        'How long one watch of the platform waits for a new revision.',
    ] = 2
    platform_watchers: Annotated[
        int,
        Integer((1, 64)),
        'VMs that watch the platform; the others are told by peers.',
    ] = 4
    head_timeout_ms: Annotated[
        int,
        Integer((100, 60_000)),
        "How long a caller may take to send a request's head.",
    ] = 5000
    max_head_bytes: Annotated[
        int,
        Integer((1_024, 1_048_576)),
        'Largest head of a request.',
    ] = 16_384
    max_body_bytes: Annotated[
        int,
        Integer((1_024, 1_073_741_824)),
        'Largest body of a request.',
    ] = 1_048_576
    queue_limit: Annotated[
        int,
        Integer((1, 100_000)),
        'Requests that may wait on one VM; more are refused.',
    ] = 200
    trace_entries: Annotated[
        int,
        Integer((0, 1_000_000)),
        'Latest requests that `jacinthcroft explain` knows on a VM.',
    ] = 2000
    metric_teams: Annotated[
        int,
        Integer((1, 10_000)),
        'Teams with metrics of their own; the rest are added up.',
    ] = 256


@frozen
class Settings:
    """The content of one VM's settings file."""

    vm: VmSettings
    listen: ListenSettings
    platform: PlatformSettings
    fleet: FleetSettings
    log: LogSettings = field(factory=LogSettings)
    tunables: Tunables = field(factory=Tunables)


_SECTIONS = (
    ('vm', VmSettings),
    ('listen', ListenSettings),
    ('platform', PlatformSettings),
    ('fleet', FleetSettings),
    ('log', LogSettings),
    ('tunables', Tunables),
)


def load_settings(text: str, file_name: str) -> Settings | Faults:
    """Returns a VM's settings, or every fault in them."""
    collector = FaultCollector(file_name)
    document = parse_toml(collector, text)
    if not collector.is_empty:
        return collector.faults
    reader = TableReader(collector)
    reader.report_unknown('', document, [name for name, _ in _SECTIONS])
    checked = {
        name: reader.read(name, document.get(name, {}), read_keys(section))
        for name, section in _SECTIONS
    }
    _check_ports(collector, checked['listen'])
    if not collector.is_empty:
        return collector.faults
    sections: dict[str, Any] = {
        name: section(**checked[name]) for name, section in _SECTIONS
    }
    return Settings(**sections)


def _check_ports(collector: FaultCollector, listen: dict[str, Any]) -> None:
    owners: dict[Address, str] = {}
    for name, address in listen.items():
        owner = owners.setdefault(address, name)
        if owner != name:
            collector.report(
                f'listen.{name}',
                f'{address} is also that of {owner}',
                'write another port',
            )


def describe_settings() -> str:
    """Returns every section and key of the settings as Markdown."""
    parts = ['# Settings of jacinthcroftd']
    for name, section in _SECTIONS:
        parts.append(f'## `[{name}]`')
        parts.append(str(section.__doc__))
        parts.append(describe_table(read_keys(section)))
    return '\n\n'.join(parts)
