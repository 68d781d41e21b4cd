"""A non-idempotent request runs at most once, and "not run" is true."""

import asyncio
import random
from collections.abc import Iterator

import pytest
from jacinthcroft_config import VmState
from jacinthcroft_http import now
from jacinthcroft_testkit import OutcomeKind
from jacinthcroft_testkit.internal.links import Direction, Mode, Setting
from jacinthcroft_testkit.internal.schedules import make_schedule
from jacinthcroft_testkit.internal.target_messages import Faults

from tests.slow.once_support import (
    BOOK,
    LEASE_TERM_SECONDS,
    Bench,
    answered,
    make_bench,
    slow_down,
)

_ANSWERS = (Direction.BACKWARD,)
# Each meets another key's shard on the way.
_LIST_CHANGES = 5


@pytest.fixture(scope='module')
def module_bench() -> Iterator[Bench]:
    yield from make_bench(seed=11)


@pytest.fixture
def bench(module_bench: Bench) -> Bench:
    """Returns the module's fleet, healed and with an empty history."""
    module_bench.run(module_bench.reset())
    return module_bench


def test_a_resend_finds_the_running_request_and_later_its_answer(
    bench: Bench,
) -> None:
    async def scenario() -> None:
        # The answer is held back until the resend has met the running one.
        held = Setting(Mode.FREEZE)
        await bench.fleet.links.set('vm1>transfers-*', held, _ANSWERS)
        path, key = bench.new_path(BOOK), bench.new_key()
        first = asyncio.create_task(bench.send('vm1', BOOK, path, key))
        await bench.wait_for_run(key)
        during = await bench.send('vm2', BOOK, path, key)
        assert (during.reason, during.outcome) == (
            'already-running',
            'unknown',
        )
        await bench.fleet.links.set('vm1>transfers-*', Setting(), _ANSWERS)
        assert (await first).kind is OutcomeKind.ANSWERED
        await _resend_everywhere(bench, path, key)
        await bench.check()

    bench.run(scenario())


def test_a_resend_finds_the_answer_while_a_list_comes_into_force(
    bench: Bench,
) -> None:
    async def scenario() -> None:
        sent = [
            (bench.new_path(BOOK), bench.new_key())
            for _ in range(_LIST_CHANGES)
        ]
        for path, key in sent:
            first = await bench.send('vm1', BOOK, path, key)
            assert first.kind is OutcomeKind.ANSWERED
        for path, key in sent:
            await bench.fleet.publish_vms()
            await _resend_everywhere(bench, path, key)
        await bench.check()

    bench.run(scenario())


def test_a_resend_finds_the_answer_while_a_witness_hangs(
    bench: Bench,
) -> None:
    async def scenario() -> None:
        path, key = bench.new_path(BOOK), bench.new_key()
        first = await bench.send('vm1', BOOK, path, key)
        assert first.kind is OutcomeKind.ANSWERED
        for vm in bench.vms:
            bench.fleet.vms.pause(vm)
            await _resend_everywhere(bench, path, key, but=vm)
            bench.fleet.vms.resume(vm)
        await bench.check()

    bench.run(scenario())


async def _resend_everywhere(
    bench: Bench,
    path: str,
    key: str,
    but: str = '',
) -> None:
    for vm in bench.vms:
        if vm == but:
            continue
        later = await bench.send(vm, BOOK, path, key)
        assert later.kind is OutcomeKind.ANSWERED
        assert later.is_replayed
    assert len(await bench.runs_of_key(key)) == 1


def test_a_key_does_not_run_again_after_its_vm_was_killed_in_the_run(
    bench: Bench,
) -> None:
    async def scenario() -> None:
        await bench.fleet.targets.set_faults('*', slow_down(1))
        path, key = bench.new_path(BOOK), bench.new_key()
        first = asyncio.create_task(bench.send('vm3', BOOK, path, key))
        await bench.wait_for_run(key)
        await bench.fleet.vms.kill('vm3')
        assert (await first).kind is OutcomeKind.CONNECTION_LOST
        await bench.fleet.targets.set_faults('*', Faults())
        others = [vm for vm in bench.vms if vm != 'vm3']
        for vm in others:
            outcome = await bench.send(vm, BOOK, path, key)
            assert outcome.outcome == 'unknown'
        await bench.fleet.vms.start('vm3')
        await bench.fleet.vms.wait_ready(['vm3'])
        for vm in bench.vms:
            outcome = await bench.send(vm, BOOK, path, key)
            assert outcome.outcome == 'unknown'
        await bench.heal()
        assert len(await bench.runs_of_key(key)) == 1
        await bench.check()

    bench.run(scenario())


def test_no_key_runs_on_both_sides_of_a_partition(bench: Bench) -> None:
    async def scenario() -> None:
        minority, majority = bench.vms[:2], bench.vms[2:]
        await bench.split(minority, majority)
        await bench.split(majority, minority)
        outcomes = await bench.storm(bench.vms, keys=60, seconds=5)
        assert any(one.outcome == 'unknown' for one in outcomes)
        # The cell's holder may be on the smaller side: the larger one serves
        # once its lease and the longest run on its permits have ended.
        await bench.storm_until_answered(majority, keys=20)
        await bench.heal()
        await bench.check()

    bench.run(scenario())


def test_no_key_runs_twice_when_a_partition_is_one_way(bench: Bench) -> None:
    async def scenario() -> None:
        left, right = bench.vms[:3], bench.vms[3:]
        await bench.split(left, right)
        outcomes = await bench.storm(bench.vms, keys=60, seconds=5)
        assert len(outcomes) == 180
        await bench.heal()
        await bench.check()

    bench.run(scenario())


def test_no_key_runs_twice_while_witnesses_restart(bench: Bench) -> None:
    async def scenario() -> None:
        restarts = asyncio.create_task(_restart_two(bench))
        while not restarts.done():
            await bench.storm(bench.vms, keys=20, seconds=1)
        await restarts
        # The two held the cell and the team's tokens. Nobody may grant any
        # until their leases and the longest run have ended, which may take
        # longer than the restarts; keys are resent on until one is answered.
        await bench.storm_until_answered(bench.vms, keys=20)
        await bench.heal()
        await bench.check()

    bench.run(scenario())


async def _restart_two(bench: Bench) -> None:
    for vm in ('vm2', 'vm5'):
        await bench.restart(vm)


def test_no_key_runs_twice_while_two_list_revisions_are_in_use(
    bench: Bench,
) -> None:
    async def scenario() -> None:
        # The three old ones learn nothing by asking, but are still asked.
        old, new = bench.vms[:3], bench.vms[3:]
        before = await bench.fleet.vms.read_status('vm1')
        await bench.split(old, new)
        revision = before['list_revision']
        for pinned in old:
            await bench.fleet.platform.pin(pinned, revision)
        storm = asyncio.create_task(
            bench.storm(bench.vms, keys=80, seconds=6),
        )
        bench.fleet.vms.mark('vm6', VmState.LEAVING)
        await bench.fleet.publish_vms()
        await storm
        seen = [await bench.fleet.vms.read_status(one) for one in bench.vms]
        assert len({status['list_revision'] for status in seen}) == 2
        bench.fleet.vms.mark('vm6', VmState.LIVE)
        await bench.fleet.publish_vms()
        await bench.heal()
        await bench.check()

    bench.run(scenario())


def test_a_claim_survives_a_pause_longer_than_a_lease(bench: Bench) -> None:
    async def scenario() -> None:
        # Full targets hold the claimed request back before its dispatch.
        await bench.fleet.targets.set_faults('*', slow_down(2.5))
        fillers = [asyncio.create_task(bench.look(vm)) for vm in bench.vms * 4]
        path, key = bench.new_path(BOOK), bench.new_key()
        await asyncio.sleep(0.2)
        first = asyncio.create_task(bench.send('vm4', BOOK, path, key))
        others = [vm for vm in bench.vms if vm != 'vm4']
        await asyncio.sleep(0.3)
        during = await bench.send('vm5', BOOK, path, key)
        bench.fleet.vms.pause('vm4')
        paused_at = now()
        assert during.reason == 'already-running'
        assert await bench.runs_of_key(key) == []
        await bench.fleet.targets.set_faults('*', Faults())
        while now() - paused_at < LEASE_TERM_SECONDS + 1:
            for vm in others:
                outcome = await bench.send(vm, BOOK, path, key)
                assert outcome.outcome == 'unknown'
            await asyncio.sleep(0.2)
        bench.fleet.vms.resume('vm4')
        resends = [bench.send(one, BOOK, path, key) for one in others]
        await asyncio.gather(first, *resends, *fillers)
        await bench.heal()
        assert len(await bench.runs_of_key(key)) <= 1
        await bench.check()

    bench.run(scenario())


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_no_key_runs_twice_under_random_faults(
    bench: Bench,
    seed: int,
) -> None:
    async def scenario() -> None:
        bench.randomness.seed(seed)
        patterns = [f'{vm}>vm*' for vm in bench.vms]
        patterns += [f'{vm}>transfers-*' for vm in bench.vms]
        schedule = make_schedule(random.Random(seed), patterns, 6, 0.4)
        storm = asyncio.create_task(
            bench.storm(bench.vms, keys=100, seconds=6, sendings=4),
        )
        await bench.play(schedule)
        assert answered(await storm)
        await bench.heal()
        await bench.check()

    bench.run(scenario())


def test_no_key_runs_twice_while_several_vms_are_replaced(
    bench: Bench,
) -> None:
    async def scenario() -> None:
        callers_see = list(bench.vms)
        storm = asyncio.create_task(
            bench.storm(callers_see, keys=80, seconds=6),
        )
        for vm in ('vm1', 'vm2'):
            await bench.fleet.vms.kill(vm)
        added = [await bench.fleet.add_vm(number) for number in (6, 7)]
        for vm in added:
            await bench.fleet.vms.start(vm)
        for vm in ('vm1', 'vm2'):
            bench.gone[vm] = bench.fleet.vms.entries.pop(vm)
        await bench.fleet.spread_vm_list()
        await bench.fleet.vms.wait_ready(added)
        await storm
        await bench.heal()
        await bench.check()

    bench.run(scenario())
