"""Service while an availability zone is taken out and put back."""

import asyncio
import math
from collections.abc import Sequence

from attrs import frozen
from jacinthcroft_http import now

from jacinthcroft_testkit.internal.bench.experiments import (
    System,
    experiment,
)
from jacinthcroft_testkit.internal.bench.readings import Reading
from jacinthcroft_testkit.internal.bench.stage import (
    Stage,
    StagePlan,
    answered_share,
    stage,
    wait_at,
)
from jacinthcroft_testkit.internal.requests import Entrance

_TEAM = 'kiosks'
_RATE = 80.0
_PLAN = StagePlan({_TEAM: (_RATE * 2, 320)})
_ZONE = 'muc1'
_OUT_AT_SECONDS = 4.0
_BACK_AT_SECONDS = 12.0
_END_SECONDS = 20.0
# How long the platform's balancer takes to follow the VMs' readiness.
_BALANCER_LAG_SECONDS = 1.0


@frozen
class _Times:
    """When the zone was published as out and as in again."""

    begun: float
    out_at: float
    back_at: float


@experiment('zone', 'one zone of three out for 8 s and back')
async def measure_zone(system: System, seed: int) -> Sequence[Reading]:
    """Takes a zone out under load and puts it back."""
    async with stage(system, _PLAN, seed) as running:
        async with asyncio.TaskGroup() as group:
            group.create_task(running.send({_TEAM: _RATE}, _END_SECONDS))
            move = group.create_task(_move_zone(running))
        return await _read(running, move.result())


async def _move_zone(running: Stage) -> _Times:
    begun = now()
    fleet = running.fleet
    leaving = fleet.vms.names(_ZONE)
    await wait_at(begun, _OUT_AT_SECONDS)
    out_at = now()
    await fleet.publish_vms([_ZONE])
    await asyncio.sleep(_BALANCER_LAG_SECONDS)
    for name in leaving:
        running.balancer.retire(name)
    await wait_at(begun, _BACK_AT_SECONDS)
    back_at = now()
    await fleet.publish_vms()
    await fleet.vms.wait_ready(leaving)
    for name in leaving:
        address = fleet.vms.entries[name].callers
        running.balancer.admit(Entrance(name, address))
    return _Times(begun, out_at, back_at)


async def _read(running: Stage, times: _Times) -> list[Reading]:
    targets = running.fleet.services.targets_in(_ZONE)
    starts = [
        run.started
        for run in await running.read_runs()
        if run.target in targets
    ]
    while_out = [one for one in starts if times.out_at < one < times.back_at]
    after = [one for one in starts if one >= times.back_at]
    served = {
        name: answered_share(running.settled(_TEAM, begin, end))
        for name, begin, end in (
            ('before', times.begun, times.out_at),
            ('while out', times.out_at, times.back_at),
            ('after', times.back_at, math.inf),
        )
    }
    return [
        *(
            Reading(f'answered {name}', '%', share)
            for name, share in served.items()
        ),
        Reading(
            'last new work in the zone after',
            's',
            max(while_out, default=times.out_at) - times.out_at,
        ),
        Reading(
            'first new work once back after',
            's',
            min(after, default=times.begun + _END_SECONDS) - times.back_at,
        ),
    ]
