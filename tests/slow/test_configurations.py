"""An accepted configuration is in force everywhere and never reverts."""

import asyncio
import itertools
from collections.abc import Iterator, Sequence

import pytest
from jacinthcroft_http import now
from jacinthcroft_testkit import OutcomeKind, find_late_runs_of
from jacinthcroft_testkit.internal.platform_messages import Availability

from tests.slow.once_support import (
    FRESHNESS_SECONDS,
    IN_FORCE_SECONDS,
    LOOK,
    LOOK_BY_SPARE_KEY,
    SERVICE,
    Bench,
    answered,
    make_bench,
    write_service,
)

# More than a platform of any size would notice from six VMs.
_CALLS_A_SECOND_AT_MOST = 40


@pytest.fixture(scope='module')
def module_bench() -> Iterator[Bench]:
    yield from make_bench(seed=31)


@pytest.fixture
def bench(module_bench: Bench) -> Bench:
    """Returns the module's fleet with `key-shop` in force everywhere."""
    module_bench.run(module_bench.reset_keys())
    return module_bench


async def _watch_revisions(
    bench: Bench,
    seconds: float,
) -> list[dict[str, int]]:
    until = now() + seconds
    seen = []
    while now() < until:
        seen.append(await bench.revisions())
    return seen


def _reversions(seen: Sequence[dict[str, int]]) -> list[str]:
    return [
        f'{vm}: {earlier[vm]} to {later[vm]}'
        for earlier, later in itertools.pairwise(seen)
        for vm in earlier
        if later[vm] < earlier[vm]
    ]


@pytest.mark.parametrize(
    'treatment',
    [Availability.REFUSING, Availability.HANGING],
)
def test_a_revision_reaches_vms_for_which_the_platform_is_away(
    bench: Bench,
    treatment: Availability,
) -> None:
    async def scenario() -> None:
        # Whichever VMs watch: each one is once the only one that reads.
        for there in bench.vms:
            await bench.fleet.platform.treat('*', treatment)
            await bench.fleet.platform.treat(there, Availability.UP)
            revision = await bench.publish_shop_keys('key-shop', 'key-spare')
            await bench.wait_in_force(revision)
        outcomes = await bench.look_everywhere(LOOK_BY_SPARE_KEY, 0.5)
        assert len(outcomes) == answered(outcomes)

    bench.run(scenario())


def test_a_revision_reaches_vms_for_which_the_platform_is_stale(
    bench: Bench,
) -> None:
    async def scenario() -> None:
        old = (await bench.revisions())['vm1']
        for there in bench.vms:
            for vm in bench.vms:
                pinned = None if vm == there else old
                await bench.fleet.platform.pin(vm, pinned)
            revision = await bench.publish_shop_keys('key-spare')
            await bench.wait_in_force(revision)
        outcomes = await bench.look_everywhere(LOOK, 0.5)
        assert not answered(outcomes)

    bench.run(scenario())


def test_a_platform_that_goes_back_reverts_no_vm(bench: Bench) -> None:
    async def scenario() -> None:
        old = (await bench.revisions())['vm1']
        newer = await bench.publish_shop_keys('key-spare')
        await bench.wait_in_force(newer)
        watch = asyncio.create_task(
            _watch_revisions(bench, IN_FORCE_SECONDS),
        )
        for vm in bench.vms[:3]:
            await bench.fleet.platform.pin(vm, old)
        assert not answered(await bench.look_everywhere(LOOK, 3))
        await bench.fleet.platform.pin('*', old)
        assert not answered(await bench.look_everywhere(LOOK, 3))
        seen = await watch
        assert len(seen) > 3
        assert not _reversions(seen)
        assert min(seen[-1].values()) >= newer

    bench.run(scenario())


@pytest.mark.parametrize(
    'treatment',
    [Availability.REFUSING, Availability.HANGING],
)
def test_service_goes_on_while_the_platform_is_away_for_all(
    bench: Bench,
    treatment: Availability,
) -> None:
    async def scenario() -> None:
        await bench.fleet.platform.treat('*', treatment)
        await asyncio.sleep(FRESHNESS_SECONDS + 1)
        outcomes = await bench.look_everywhere(LOOK, 1)
        assert {one.kind for one in outcomes} == {OutcomeKind.ANSWERED}
        booked = [await bench.book(vm) for vm in bench.vms]
        assert answered(booked) == len(bench.vms)
        await bench.check()

    bench.run(scenario())


def test_a_vm_that_restarts_at_a_stale_platform_runs_nothing_old(
    bench: Bench,
) -> None:
    async def scenario() -> None:
        old = (await bench.revisions())['vm4']
        newer = await bench.publish_shop_keys('key-spare')
        await bench.wait_in_force(newer)
        await bench.fleet.platform.pin('vm4', old)
        withdrawn_at = now()
        await bench.fleet.vms.kill('vm4')
        await bench.fleet.vms.start('vm4')
        outcomes = await bench.look_everywhere(LOOK, IN_FORCE_SECONDS)
        # It came up, knew the key for unknown, and never ran for it.
        reasons = {one.reason for one in outcomes}
        assert 'key-unknown' in reasons
        runs = await bench.runs()
        assert not find_late_runs_of(runs, 'shop', withdrawn_at, 0)
        assert (await bench.revisions())['vm4'] >= newer
        assert answered([await bench.look('vm4', LOOK_BY_SPARE_KEY)])

    bench.run(scenario())


def test_a_broken_bundle_leaves_the_one_in_force(bench: Bench) -> None:
    async def scenario() -> None:
        good = (await bench.revisions())['vm1']
        text = write_service().replace('rate = 400.0', 'rate = -1.0')
        texts = {SERVICE: text}
        broken = await bench.fleet.platform.publish_services(texts)
        before = len(await bench.fleet.platform.count_calls())
        outcomes = await bench.look_everywhere(LOOK, FRESHNESS_SECONDS)
        assert len(outcomes) == answered(outcomes)
        assert set((await bench.revisions()).values()) == {good}
        # Nobody reads the broken one again and again.
        calls = await bench.fleet.platform.count_calls()
        assert max(calls[before:]) <= _CALLS_A_SECOND_AT_MOST
        # A VM without memory gets the accepted one from its peers.
        await bench.restart('vm5')
        assert (await bench.revisions())['vm5'] == good
        mended = await bench.publish_shop_keys('key-shop')
        assert mended > broken
        await bench.wait_in_force(mended)

    bench.run(scenario())
