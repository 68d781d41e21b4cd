"""What the fleet adds to a direct call, at two loads."""

from collections.abc import Sequence

from attrs import evolve
from jacinthcroft_config import Problem, parse_address

from jacinthcroft_testkit.internal.bench.experiments import (
    System,
    experiment,
)
from jacinthcroft_testkit.internal.bench.readings import Reading
from jacinthcroft_testkit.internal.bench.stage import (
    Stage,
    StagePlan,
    read_kind,
    stage,
)
from jacinthcroft_testkit.internal.caller import Caller, Recorder
from jacinthcroft_testkit.internal.latency import Latency
from jacinthcroft_testkit.internal.load import run_closed
from jacinthcroft_testkit.internal.requests import Balancer, Entrance
from jacinthcroft_testkit.internal.target_messages import Traits

_TEAM = 'kiosks'
_PLAN = StagePlan(
    {_TEAM: (1000.0, 2000)},
    traits=Traits(service_ms=2, spread=0),
)
_REQUESTS = 800
_CALLERS = (1, 4)
_DIRECT = 'direct'


@experiment('latency', 'added to a direct call, 2 ms of service, all VMs')
async def measure_latency(system: System, seed: int) -> Sequence[Reading]:
    """Sends the same reads directly to a target and through the fleet."""
    async with stage(system, _PLAN, seed) as running:
        readings = [Reading('warm after start', 's', running.warm_seconds)]
        # One target takes all direct calls, so it has a slot for each.
        traits = evolve(_PLAN.traits, slots=max(_CALLERS))
        ports = await running.fleet.targets.add((_DIRECT,), traits)
        address = parse_address(ports[_DIRECT])
        assert not isinstance(address, Problem), address
        entrance = Entrance(_DIRECT, address)
        alone = Balancer([entrance], running.randomness)
        for callers in _CALLERS:
            direct = await _time(running, alone, callers)
            fleet = await _time(running, running.balancer, callers)
            readings.extend(_compare(callers, direct, fleet))
    return readings


async def _time(running: Stage, balancer: Balancer, callers: int) -> Latency:
    recorder = Recorder(f'{callers}-')
    kind = read_kind(_TEAM)
    if balancer is not running.balancer:
        kind = evolve(kind, api_key='')
    caller = Caller(balancer, recorder, running.pool, running.randomness)
    await run_closed(caller, [kind], callers, _REQUESTS, running.randomness)
    return Latency.from_records(recorder.sent, recorder.outcomes)


def _compare(
    callers: int,
    direct: Latency,
    fleet: Latency,
) -> list[Reading]:
    name = f'{callers} callers'
    added_p50 = fleet.p50_ms - direct.p50_ms
    added_p99 = fleet.p99_ms - direct.p99_ms
    return [
        Reading(f'{name}: direct p50', 'ms', direct.p50_ms),
        Reading(f'{name}: direct p99', 'ms', direct.p99_ms),
        Reading(f'{name}: added p50', 'ms', added_p50),
        Reading(f'{name}: added p99', 'ms', added_p99),
        Reading(f'{name}: answered', 'requests', fleet.samples),
    ]
