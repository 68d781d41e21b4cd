"""No target is overloaded: its slots hold, whatever fails in between."""

import asyncio
from collections.abc import Awaitable, Callable

from jacinthcroft_http import now
from jacinthcroft_testkit.internal.links import Direction, Mode, Setting
from jacinthcroft_testkit.internal.target_messages import (
    Behaviour,
    Faults,
    Traits,
)

from tests.slow.traffic_support import Scene, ScenePlan, scene

_TRAITS = Traits(service_ms=80)
_PLAN = ScenePlan(traits=_TRAITS)
_LINKED_PLAN = ScenePlan(traits=_TRAITS, with_faults=True)
# More than six targets with two slots and 80 ms can do.
_OVERLOAD_RATE = 160
_LEASE_SECONDS = 3.0
_GRAY = Faults(
    {Behaviour.LATE: 0.02, Behaviour.ERROR: 0.02, Behaviour.RESET: 0.02},
    late_seconds=0.6,
    is_shedding=False,
)
# Most runs go on for longer than their callers wait.
_SLOW = Faults(
    {Behaviour.LATE: 0.8},
    late_seconds=0.8,
    is_shedding=False,
)
_CALLER_LEAVES_SECONDS = 0.3


def test_slots_hold_when_the_holder_is_killed() -> None:
    """Its successor waits until what it does not know has ended."""
    asyncio.run(_under_overload(_PLAN, _kill_holder))


def test_slots_hold_when_the_holder_wakes_up_late() -> None:
    """The old holder and its idle permits are past their time by then."""
    asyncio.run(_under_overload(_PLAN, _freeze_holder))


def test_slots_hold_when_the_holder_hands_over() -> None:
    """A planned stop hands over what is under way."""
    asyncio.run(_under_overload(_PLAN, _stop_holder))


def test_slots_hold_when_vms_reach_targets_one_way_only() -> None:
    """Requests, and then answers, of some VMs get lost on the way."""
    asyncio.run(_under_overload(_LINKED_PLAN, _cut_one_way))


def test_slots_hold_when_cancellations_get_lost() -> None:
    """A target works on for a VM whose connection it believes open."""

    async def _run() -> None:
        async with scene(_LINKED_PLAN) as running:
            await running.fleet.targets.set_faults('*', _SLOW)
            load = running.under_load(
                _OVERLOAD_RATE,
                timeout=_CALLER_LEAVES_SECONDS,
            )
            async with load:
                await running.wait_for_runs(50)
                await _lose_cancellations(running)
            await _check(running)

    asyncio.run(_run())


async def _under_overload(
    plan: ScenePlan,
    fail: Callable[[Scene], Awaitable[None]],
) -> None:
    async with scene(plan) as running:
        await running.fleet.targets.set_faults('*', _GRAY)
        async with running.under_load(_OVERLOAD_RATE):
            await running.wait_for_runs(100)
            await fail(running)
            await running.wait_for_runs(100)
        await _check(running)


async def _check(running: Scene) -> None:
    runs = await running.runs()
    slots = running.plan.slots
    full = [run for run in runs if run.concurrency == slots]
    assert full, 'no target was ever full'
    assert not await running.overload()


async def _kill_holder(running: Scene) -> None:
    holder = await running.holder()
    await running.fleet.vms.kill(holder)
    await running.holder(other_than=(holder,))


async def _freeze_holder(running: Scene) -> None:
    holder = await running.holder()
    running.fleet.vms.pause(holder)
    paused_at = now()
    await running.holder(other_than=(holder,))
    await running.wait_for_runs(50)
    assert now() - paused_at > _LEASE_SECONDS - 1
    running.fleet.vms.resume(holder)


async def _stop_holder(running: Scene) -> None:
    holder = await running.holder()
    running.fleet.vms.entries.pop(holder)
    stopping = asyncio.create_task(running.fleet.vms.stop(holder))
    await running.holder(other_than=(holder,))
    assert await stopping == 0


async def _cut_one_way(running: Scene) -> None:
    links = running.fleet.links
    for vm, direction in (
        ('vm1', Direction.FORWARD),
        ('vm2', Direction.BACKWARD),
    ):
        await links.set(f'{vm}>t*', Setting(Mode.CUT), (direction,))
        await running.wait_for_runs(150)
        await links.set(f'{vm}>t*', Setting(Mode.RESET))
        await links.set(f'{vm}>t*', Setting())


async def _lose_cancellations(running: Scene) -> None:
    links = running.fleet.links
    for _ in range(2):
        for vm in ('vm1', 'vm2', 'vm3'):
            cut = Setting(Mode.CUT)
            await links.set(f'{vm}>t*', cut, (Direction.FORWARD,))
        await running.wait_for_runs(50)
        await links.set('vm*>t*', Setting(Mode.RESET))
        await links.set('vm*>t*', Setting())
        await running.wait_for_runs(50)
