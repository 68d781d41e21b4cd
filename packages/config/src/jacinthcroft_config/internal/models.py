"""What service files and the platform's VM list say, as plain data.

Loading and checking happen in `service_files` and `vm_lists`; every other
package receives these classes already checked.
"""

import enum

from attrs import field, frozen


class Access(enum.Enum):
    """Who may call a route."""

    OPEN = 'open'
    TEAMS = 'teams'


class TargetState(enum.Enum):
    """Whether the operators want new work on a target."""

    ACTIVE = 'active'
    LEAVING = 'leaving'


class VmState(enum.Enum):
    """Whether the platform means to keep a VM."""

    LIVE = 'live'
    LEAVING = 'leaving'


@frozen(order=True)
class Address:
    """An IP number and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns `host:port`, an IP number of version 6 in brackets."""
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'


@frozen
class Team:
    """A team's keys and what it may spend on one service.

    `rate` is in requests per second, `burst` in requests; `key_hashes` are
    lower-case hexadecimal SHA-256 digests of the keys.
    """

    name: str
    rate: float
    burst: int
    key_hashes: tuple[str, ...]


@frozen
class Route:
    """One kind of request that a service answers.

    `path` is matched by segment; a segment in braces matches any text.
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
    """What each target of a service bears.

    `slots` and `cold_slots` are concurrent requests, warm and in cold start;
    `connections` are open connections of the whole fleet to one target;
    `floor` is the share of a service's targets that stays in use whatever
    their health.
    """

    slots: int
    cold_slots: int
    cold_start_seconds: float
    connections: int
    floor: float


@frozen
class Service:
    """One service file."""

    name: str
    limits: TargetLimits
    routes: tuple[Route, ...]
    teams: tuple[Team, ...]
    targets: tuple[Target, ...]


@frozen
class Configuration:
    """All services in force at one revision of the published bundle."""

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
