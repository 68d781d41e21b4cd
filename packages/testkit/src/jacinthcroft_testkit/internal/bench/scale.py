"""What the fleet costs each VM as it grows, idle and under load."""

import asyncio
import os
import pathlib
from collections.abc import Sequence

from attrs import evolve, frozen
from jacinthcroft_http import now

from jacinthcroft_testkit.internal.bench.experiments import (
    System,
    experiment,
)
from jacinthcroft_testkit.internal.bench.readings import Reading
from jacinthcroft_testkit.internal.bench.stage import Stage, StagePlan, stage

_TEAM = 'kiosks'
_SIZES = (6, 12, 24, 48)
_RATE = 100.0
_SECONDS = 8.0
_PLAN = StagePlan({_TEAM: (_RATE * 2, 400)}, with_faults=True)
_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_MEGABYTE = 1_000_000
_KILOBYTE = 1_000
# Fields of /proc/<pid>/stat after the command's name.
_USER_TICKS = 11
_SYSTEM_TICKS = 12


@frozen
class _Usage:
    """What all VMs had used by a time."""

    at: float
    cpu_seconds: float
    memory_bytes: int
    control_bytes: int


@experiment('scale', 'costs of each VM as the fleet grows', [System.PRODUCT])
async def measure_scale(system: System, seed: int) -> Sequence[Reading]:
    """Measures fleets of every size, idle and at 100 requests a second."""
    readings = []
    for vms in _SIZES:
        plan = evolve(_PLAN, vms=vms)
        async with stage(system, plan, seed) as running:
            start = await _read_usage(running)
            await asyncio.sleep(_SECONDS)
            idle = await _read_usage(running)
            await running.send({_TEAM: _RATE}, _SECONDS)
            loaded = await _read_usage(running)
        readings.extend(_compare(f'{vms} VMs idle', vms, start, idle))
        readings.extend(_compare(f'{vms} VMs loaded', vms, idle, loaded))
    return readings


async def _read_usage(running: Stage) -> _Usage:
    vms = running.fleet.vms
    pids = [vms.process(name).pid for name in vms.names()]
    links = running.fleet.links
    control = await links.read_traffic('*>vm*')
    platform = await links.read_traffic('*>platform')
    return _Usage(
        now(),
        sum(_read_cpu_seconds(pid) for pid in pids),
        sum(_read_memory_bytes(pid) for pid in pids),
        sum(control.values()) + sum(platform.values()),
    )


def _compare(
    name: str,
    vms: int,
    before: _Usage,
    after: _Usage,
) -> list[Reading]:
    seconds = (after.at - before.at) * vms
    cpu = (after.cpu_seconds - before.cpu_seconds) / seconds
    sent = (after.control_bytes - before.control_bytes) / seconds
    memory = after.memory_bytes / vms
    return [
        Reading(f'{name}: CPU', '% of core', 100 * cpu),
        Reading(f'{name}: control traffic', 'KB/s', sent / _KILOBYTE),
        Reading(f'{name}: memory', 'MB', memory / _MEGABYTE),
    ]


def _read_cpu_seconds(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
    return ticks / _TICKS_PER_SECOND


def _read_memory_bytes(pid: int) -> int:
    pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * _PAGE_BYTES
