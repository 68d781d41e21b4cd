"""A target in cold start gets no more than it bears."""

import asyncio
import functools
from collections.abc import Sequence

from attrs import evolve
from jacinthcroft_http import now
from jacinthcroft_testkit.internal.history import Run
from jacinthcroft_testkit.internal.load_checks import find_overfilled_slots
from jacinthcroft_testkit.internal.target_messages import Traits
from jacinthcroft_testkit.internal.waiting import wait_until

from tests.slow.traffic_support import (
    SERVICE,
    SETTLE_SECONDS,
    Scene,
    ScenePlan,
    scene,
    seconds_later,
)

_PLAN = ScenePlan(
    slots=4,
    cold_start_seconds=3,
    traits=Traits(slots=4, service_ms=80, cold_seconds=3),
)
_RATE = 150
_RESTARTED = 't3'
_SILENT = 't2'
_ADDED = ('t7', 't8')
# Longer than the fall of an overfilled target and two pauses after it.
_LONG_COLD_SECONDS = 12.0
_LONG_PLAN = evolve(
    _PLAN,
    cold_start_seconds=_LONG_COLD_SECONDS,
    traits=evolve(_PLAN.traits, cold_seconds=_LONG_COLD_SECONDS),
)
# Long enough for a new file to spread and for some runs.
_ADDED_COLD_SECONDS = 8.0
_ADDED_PLAN = evolve(
    _PLAN,
    cold_start_seconds=_ADDED_COLD_SECONDS,
    traits=evolve(_PLAN.traits, cold_seconds=_ADDED_COLD_SECONDS),
)
# By design: a target over its bearing answers nothing, so each of its permits
# ends as a stall by its start window (1 s), its deadline (1 s), the report's
# way (0.25 s) and the cell's next look (0.25 s) at the latest, and then it is
# ejected.
_SILENT_GRACE_SECONDS = 2.5


def test_a_restarted_target_ramps_up_also_when_the_holder_dies() -> None:
    """Its boot id or resets tell; the next holder takes all as cold."""

    async def _run() -> None:
        async with scene(_PLAN) as running:
            async with running.under_load(_RATE):
                restarted_at = now()
                await running.fleet.targets.restart(_RESTARTED)
                await wait_until(
                    functools.partial(_has_cold_runs, running, restarted_at),
                    'runs in cold start',
                    SETTLE_SECONDS,
                )
                holder = await running.holder()
                await running.fleet.vms.kill(holder)
                await running.fleet.targets.restart('t4')
                await running.holder(other_than=(holder,))
                await running.wait_for_runs(2 * _RATE)
            runs = await running.runs()
            assert not find_overfilled_slots(runs, running.plan.bearing)

    asyncio.run(_run())


def test_a_target_that_turns_cold_without_a_sign_is_spared_soon() -> None:
    """It is ejected within a permit's life, and ramps up when it is back."""

    async def _run() -> None:
        async with scene(_LONG_PLAN) as running:
            async with running.under_load(_RATE):
                await running.wait_for_runs(_RATE)
                turned_at = now()
                await running.fleet.targets.turn_cold(_SILENT)
                await seconds_later(turned_at, _LONG_COLD_SECONDS)
            runs = await running.runs()
            bearing = evolve(
                running.plan.bearing,
                cold_grace_seconds=_SILENT_GRACE_SECONDS,
            )
            assert not find_overfilled_slots(runs, bearing)
            # It was over its bearing before, and has run something since.
            assert find_overfilled_slots(runs, running.plan.bearing)
            assert _cold_runs(runs, turned_at + _SILENT_GRACE_SECONDS)

    asyncio.run(_run())


def test_targets_added_to_a_running_service_ramp_up() -> None:
    """A target seen for the first time is taken as cold."""

    async def _run() -> None:
        async with scene(_ADDED_PLAN) as running:
            async with running.under_load(_RATE):
                added_at = now()
                await running.fleet.add_targets(
                    SERVICE,
                    _ADDED,
                    evolve(_ADDED_PLAN.traits, is_cold_at_start=True),
                )
                await running.fleet.publish_services()
                for name in _ADDED:
                    await wait_until(
                        functools.partial(
                            _has_cold_runs,
                            running,
                            added_at,
                            name,
                        ),
                        f'runs in cold start on {name}',
                        SETTLE_SECONDS,
                    )
            runs = await running.runs()
            assert not find_overfilled_slots(runs, running.plan.bearing)

    asyncio.run(_run())


def _cold_runs(runs: Sequence[Run], since: float) -> list[Run]:
    return [
        run
        for run in runs
        if run.cold_seconds is not None and run.started > since
    ]


async def _has_cold_runs(
    running: Scene,
    since: float,
    name: str = _RESTARTED,
) -> bool:
    journal = await running.fleet.targets.read_journal(name)
    return len(_cold_runs(journal.runs, since)) > 5
