"""What leaves gets no new work after a few seconds: targets and zones.

Each promise is checked while the platform is away from half of the VMs, and
while the cell's holder stands still and wakes up late.
"""

import asyncio

from jacinthcroft_http import now
from jacinthcroft_testkit.internal.history import OutcomeKind
from jacinthcroft_testkit.internal.load_checks import find_late_runs_on
from jacinthcroft_testkit.internal.platform_messages import Availability
from jacinthcroft_testkit.internal.target_messages import Faults, Traits

from tests.slow.traffic_support import SERVICE, Scene, ScenePlan, scene

_PLAN = ScenePlan(targets=6, traits=Traits(service_ms=10))
_RATE = 60
_LEAVING = 't2'
_ZONE = 'muc2'
# "A few seconds": an accepted change is in force everywhere within these.
_GRACE_SECONDS = 8.0
_AWAY = ('vm1', 'vm3', 'vm5')


def test_a_target_marked_as_leaving_gets_no_new_work() -> None:
    """The platform is away from half of the VMs; the holder wakes up late."""

    async def _run() -> None:
        async with scene(_PLAN) as running:
            await _forsake(running)
            async with running.under_load(_RATE):
                holder = await running.holder()
                running.fleet.vms.pause(holder)
                running.fleet.services.mark_target(
                    SERVICE,
                    _LEAVING,
                    'leaving',
                )
                await running.fleet.publish_services()
                published_at = now()
                await running.holder(other_than=(holder,))
                running.fleet.vms.resume(holder)
                await _outlive_grace(running, published_at)
            await _check(running, {_LEAVING}, published_at)

    asyncio.run(_run())


def test_a_target_that_drains_gets_no_new_work() -> None:
    """The holder that heard of it is killed; the next one hears of it too."""

    async def _run() -> None:
        async with scene(_PLAN) as running:
            async with running.under_load(_RATE):
                draining = Faults(is_draining=True)
                await running.fleet.targets.set_faults(_LEAVING, draining)
                said_at = now()
                await _outlive_grace(running, said_at)
                holder = await running.holder()
                await running.fleet.vms.kill(holder)
                await running.holder(other_than=(holder,))
                await running.wait_for_runs(2 * _RATE)
            await _check(running, {_LEAVING}, said_at)

    asyncio.run(_run())


def test_a_zone_taken_out_gets_no_new_work_and_comes_back() -> None:
    """Its targets run nothing new, and its VMs refuse honestly."""

    async def _run() -> None:
        async with scene(_PLAN) as running:
            await _forsake(running)
            targets = running.fleet.services.targets_in(_ZONE)
            async with running.under_load(_RATE):
                holder = await running.holder()
                running.fleet.vms.pause(holder)
                await running.fleet.publish_vms([_ZONE])
                published_at = now()
                await running.holder(other_than=(holder,))
                running.fleet.vms.resume(holder)
                await _outlive_grace(running, published_at)
                back_at = now()
                out = await running.runs()
                await running.fleet.publish_vms()
                for name in targets:
                    await running.wait_for_runs(1, name)
            assert targets
            assert not find_late_runs_on(
                out,
                targets,
                published_at,
                _GRACE_SECONDS,
            )
            assert not _answers_of_zone(running, published_at, back_at)
            assert not await running.overload()

    asyncio.run(_run())


async def _forsake(running: Scene) -> None:
    for vm in _AWAY:
        await running.fleet.platform.treat(vm, Availability.HANGING)


async def _outlive_grace(running: Scene, changed_at: float) -> None:
    """Goes on until work begun after the grace shows what it may do."""
    while now() < changed_at + _GRACE_SECONDS:
        await running.wait_for_runs(1)
    await running.wait_for_runs(2 * _RATE)


async def _check(
    running: Scene,
    targets: set[str],
    changed_at: float,
) -> None:
    runs = await running.runs()
    before = [run for run in runs if run.started < changed_at]
    assert targets.intersection(run.target for run in before)
    assert not find_late_runs_on(runs, targets, changed_at, _GRACE_SECONDS)
    assert not await running.overload()


def _answers_of_zone(
    running: Scene,
    published_at: float,
    back_at: float,
) -> list[int]:
    """Returns what the zone's VMs answered once they were out."""
    vms = set(running.fleet.vms.names(_ZONE))
    late = {
        sent.number
        for sent in running.recorder.sent
        if sent.vm in vms and published_at + _GRACE_SECONDS < sent.at < back_at
    }
    assert late, 'nobody tried the VMs of the zone'
    return [
        outcome.number
        for outcome in running.recorder.outcomes
        if outcome.number in late and outcome.kind is OutcomeKind.ANSWERED
    ]
