"""Data classes for service files and for the platform's VM list.

`service_files` and `vm_lists` load and check them, so other packages can rely
on valid values.
"""

import enum

from attrs import field, frozen


class Access(enum.Enum):
    """Who may call a route."""

    OPEN = 'open'
    TEAMS = 'teams'


class TargetState(enum.Enum):
    """Whether a target gets new requests, as the operators set it."""

    ACTIVE = 'active'
    LEAVING = 'leaving'


class VmState(enum.Enum):
    """Whether a VM stays in the fleet, as the platform sets it."""

    LIVE = 'live'
    LEAVING = 'leaving'


@frozen(order=True)
class Address:
    """An IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns `host:port`, with an IPv6 address in brackets."""
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'


@frozen
class Team:
    """A team's keys and its rate limit on one service.

    `rate` is in requests per second, `burst` in requests; `key_hashes` are
    lower-case hexadecimal SHA-256 digests of the keys.
    """

    name: str
    rate: float
    burst: int
    key_hashes: tuple[str, ...]


@frozen
class Route:
    """A path with methods that a service accepts, and the rules for them.

    `path` is matched by segment; a segment in braces matches any one segment.
    """

    name: str
    methods: tuple[str, ...]
    path: str
    access: Access
    teams: tuple[str, ...]
    is_idempotent: bool
    request_class: str
    deadline_ms: int


@frozen
class Target:
    """One back end of a service."""

    name: str
    address: Address
    zone: str
    state: TargetState


@frozen
class TargetLimits:
    """Limits of each target of a service.

    `slots` and `cold_slots` limit the concurrent requests of a warm target and
    of one in cold start; `connections` limits the open connections of the whole
    fleet to one target; `floor` is the share of a service's targets that stays
    in use regardless of their health.
    """

    slots: int
    cold_slots: int
    cold_start_seconds: float
    connections: int
    floor: float


@frozen
class Service:
    """The content of one service file."""

    name: str
    limits: TargetLimits
    routes: tuple[Route, ...]
    teams: tuple[Team, ...]
    targets: tuple[Target, ...]


@frozen
class Configuration:
    """All services of one revision of the published bundle."""

    revision: int
    services: tuple[Service, ...]


@frozen
class Vm:
    """One VM of the fleet with its three addresses."""

    name: str
    zone: str
    state: VmState
    callers: Address
    peers: Address
    operators: Address


@frozen
class VmList:
    """The platform's list of VMs at one revision.

    `zones_out` are availability zones taken out of service: neither their
    VMs nor their targets get new work.
    """

    revision: int
    vms: tuple[Vm, ...]
    zones_out: frozenset[str] = field(factory=frozenset)
