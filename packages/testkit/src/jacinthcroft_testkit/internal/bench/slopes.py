"""What configuration and placement cost for each thing they hold.

These slopes carry docs/CAPACITY.md; nothing is started for them.
"""

import hashlib
import random
import time
import tracemalloc
from collections.abc import Sequence

from jacinthcroft_config import (
    Address,
    Configuration,
    Faults,
    NamedService,
    RouteTable,
    TeamIndex,
    Vm,
    VmList,
    VmState,
    join_services,
    load_service,
)
from jacinthcroft_decisions.coordination import (
    CoordinationConfig,
    Placement,
)

from jacinthcroft_testkit.internal.bench.experiments import (
    System,
    experiment,
)
from jacinthcroft_testkit.internal.bench.readings import Reading

# A service of the coming size: 86,000 teams, 30,000 targets and 6,600 routes
# over 1,300 services.
_TEAMS = 66
_TARGETS = 23
_ROUTES = 5
_SERVICES = 100
_VMS = 48
_REPLACED = (1, 2, 4)
_TERMS = CoordinationConfig()
_MILLISECONDS = 1000
_MICROSECONDS = 1_000_000
_PERCENT = 100
_LIMITS = """
[limits]
slots = 2
cold_slots = 1
cold_start_seconds = 5.0
connections = 300
floor = 0.5
"""


@experiment('slopes', 'costs of configuration and placement', [System.PRODUCT])
async def measure_slopes(system: System, seed: int) -> Sequence[Reading]:
    """Loads services of the coming size and places shards."""
    return [*_measure_configuration(), *_measure_placement(seed)]


def _measure_configuration() -> list[Reading]:
    begun = time.process_time()
    for number in range(_SERVICES):
        load_service(_write_service(number), 'service.toml')
    parsed = time.process_time()
    tracemalloc.start()
    services = [_load(index) for index in range(_SERVICES)]
    loaded_at = time.process_time()
    joined = join_services(1, services)
    assert isinstance(joined, Configuration), joined
    # Both stay referenced while memory is read.
    indexes = (
        RouteTable.from_configuration(joined),
        TeamIndex.from_configuration(joined),
    )
    indexed_at = time.process_time()
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert indexes
    return [
        Reading(
            'read a service of 66 teams',
            'ms',
            (parsed - begun) / _SERVICES * _MILLISECONDS,
        ),
        Reading(
            'join and index, for each service',
            'ms',
            (indexed_at - loaded_at) / _SERVICES * _MILLISECONDS,
        ),
        Reading('memory of a service', 'bytes', held_bytes / _SERVICES),
    ]


def _measure_placement(seed: int) -> list[Reading]:
    before = Placement.from_vm_list(_vm_list(()), _TERMS)
    shards = range(_TERMS.shard_count)
    begun = time.process_time()
    for shard in shards:
        before.candidates(shard)
        before.witnesses(shard)
    seconds = time.process_time() - begun
    readings = [
        Reading(
            'rank one VM for one shard, both roles',
            'us',
            seconds / _VMS / len(shards) * _MICROSECONDS,
        ),
    ]
    for count in _REPLACED:
        replaced = random.Random(seed).sample(range(_VMS), count)
        after = Placement.from_vm_list(_vm_list(replaced), _TERMS)
        unsafe = sum(_can_miss(before, after, one) for one in shards)
        readings.append(
            Reading(
                f'{count} of 48 VMs replaced: majorities can miss each other',
                '%',
                unsafe / len(shards) * _PERCENT,
            ),
        )
    return readings


def _can_miss(before: Placement, after: Placement, shard: int) -> bool:
    """Whether a majority of either set can be disjoint from the other's."""
    both = set(before.witnesses(shard)) | set(after.witnesses(shard))
    return len(both) > _TERMS.witness_count


def _load(number: int) -> NamedService:
    name = f'service{number}.toml'
    service = load_service(_write_service(number), name)
    assert not isinstance(service, Faults), service
    return name, service


def _write_service(number: int) -> str:
    names = [f't{number}-{team}' for team in range(_TEAMS)]
    parts = [f'service = "s{number}"', _LIMITS]
    parts.extend(_write_route(number, route, names) for route in range(_ROUTES))
    parts.extend(_write_team(name) for name in names)
    parts.extend(_write_target(number, target) for target in range(_TARGETS))
    return '\n'.join(parts)


def _write_route(number: int, route: int, teams: Sequence[str]) -> str:
    return '\n'.join(
        (
            '[[routes]]',
            f'name = "r{route}"',
            'methods = ["GET"]',
            f'path = "/s{number}/r{route}/{{thing}}"',
            f'teams = {list(teams)}',
            'idempotent = true',
            'class = "reads"',
            'deadline_ms = 1000',
        )
    )


def _write_team(name: str) -> str:
    digest = hashlib.sha256(name.encode()).hexdigest()
    return '\n'.join(
        (
            f'[teams.{name}]',
            'rate = 10.0',
            'burst = 20',
            f'keys = ["sha256:{digest}"]',
        )
    )


def _write_target(number: int, target: int) -> str:
    return '\n'.join(
        (
            f'[targets.x{target}]',
            f'address = "10.0.{number}.{target + 1}:9000"',
            'zone = "z1"',
            'state = "active"',
        )
    )


def _vm_list(replaced: Sequence[int]) -> VmList:
    address = Address('127.0.0.1', 1)
    names = {number: f'vm{number}' for number in range(_VMS)}
    names.update((number, f'new{number}') for number in replaced)
    return VmList(
        1,
        tuple(
            Vm(name, f'z{number % 3}', VmState.LIVE, address, address, address)
            for number, name in names.items()
        ),
    )
