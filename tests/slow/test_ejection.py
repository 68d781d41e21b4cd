"""Ejection keeps the floor, whatever is sick and however it shows."""

import asyncio

import pytest
from jacinthcroft_http import now
from jacinthcroft_testkit.internal.links import Mode, Setting
from jacinthcroft_testkit.internal.load_checks import (
    FloorSample,
    find_breached_floors,
)
from jacinthcroft_testkit.internal.target_messages import (
    Behaviour,
    Faults,
    Traits,
)

from tests.slow.traffic_support import SERVICE, Scene, ScenePlan, scene

_TRAITS = Traits(service_ms=15)
_FLOOR = 0.5
_SAMPLES = 60
_FLAPS = 4
_SAMPLES_OF_A_FLAP = 15
# vm1 and vm4 are the zone's VMs.
_PATHS_OF_A_ZONE = 'vm[14]>t*'
_EJECTED = 'ejected'


def test_the_floor_holds_while_most_targets_are_sick() -> None:
    """They stall, fail and reset; their health endpoints say all is well."""

    async def _run() -> None:
        async with scene(ScenePlan(traits=_TRAITS)) as running:
            for target, behaviour in (
                ('t1', Behaviour.LATE),
                ('t2', Behaviour.LATE),
                ('t3', Behaviour.ERROR),
                ('t4', Behaviour.RESET),
                ('t5', Behaviour.ERROR),
            ):
                sick = Faults({behaviour: 0.8}, claimed_health=True)
                await running.fleet.targets.set_faults(target, sick)
            async with running.under_load(60):
                samples = await _sample_floor(running)
            assert max(sample.in_use for sample in samples) <= 6
            assert min(sample.in_use for sample in samples) < 6
            assert not find_breached_floors(samples)
            assert not await running.overload()

    asyncio.run(_run())


def test_a_target_that_one_vm_cannot_reach_stays_in_use() -> None:
    """The path is at fault: that VM gets no more permits for it."""

    async def _run() -> None:
        plan = ScenePlan(traits=_TRAITS, with_faults=True)
        async with scene(plan) as running:
            await running.fleet.links.set('vm1>t1', Setting(Mode.RESET))
            async with running.under_load(60):
                states = await _sample_states(running, 't1')
            assert _EJECTED not in states
            runs = (await running.fleet.targets.read_journal('t1')).runs
            assert runs[-1].started > running.recorder.sent[-1].at - 5

    asyncio.run(_run())


def test_the_floor_holds_while_most_targets_flap() -> None:
    """They fail for a while, heal, and fail again before they are trusted."""

    async def _run() -> None:
        async with scene(ScenePlan(traits=_TRAITS)) as running:
            async with running.under_load(60):
                samples = await _sample_flapping(running)
            assert min(sample.in_use for sample in samples) < 6
            assert not find_breached_floors(samples)
            assert not await running.overload()

    asyncio.run(_run())


@pytest.mark.parametrize('mode', [Mode.RESET, Mode.CUT])
def test_targets_that_a_whole_zone_cannot_reach_stay_in_use(
    mode: Mode,
) -> None:
    """The zone's paths are at fault: the other zones see no sick target."""

    async def _run() -> None:
        plan = ScenePlan(traits=_TRAITS, with_faults=True)
        async with scene(plan) as running:
            await running.fleet.links.set(_PATHS_OF_A_ZONE, Setting(mode))
            async with running.under_load(60):
                samples = await _sample_floor(running)
            assert not find_breached_floors(samples)
            assert {sample.in_use for sample in samples} == {6}

    asyncio.run(_run())


async def _sample_flapping(running: Scene) -> list[FloorSample]:
    samples = []
    behaviours = (Behaviour.RESET, Behaviour.ERROR)
    for flap in range(2 * _FLAPS):
        share = 0 if flap % 2 else 1
        for number in range(1, 6):
            behaviour = behaviours[number % 2]
            faults = Faults({behaviour: share}, claimed_health=True)
            await running.fleet.targets.set_faults(f't{number}', faults)
        samples.extend(await _sample_floor(running, _SAMPLES_OF_A_FLAP))
    return samples


async def _sample_floor(
    running: Scene,
    count: int = _SAMPLES,
) -> list[FloorSample]:
    samples = []
    for _ in range(count):
        await running.wait_for_runs(3)
        states = await _states(running)
        in_use = sum(state != _EJECTED for state in states.values())
        samples.append(
            FloorSample(SERVICE, now(), in_use, len(states), _FLOOR),
        )
    return samples


async def _sample_states(running: Scene, target: str) -> set[str]:
    found = set()
    for _ in range(_SAMPLES):
        await running.wait_for_runs(3)
        found.add((await _states(running))[target])
    return found


async def _states(running: Scene) -> dict[str, str]:
    status = await running.fleet.vms.read_status(await running.holder())
    return {target['target']: target['state'] for target in status['targets']}
