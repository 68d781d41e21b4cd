"""A request runs only for its key's team, and withdrawn keys stop working."""

import asyncio
from collections.abc import Iterator

import pytest
from attrs import evolve
from jacinthcroft_http import now
from jacinthcroft_testkit import Outcome, OutcomeKind, find_late_runs_of
from jacinthcroft_testkit.internal.links import Mode, Setting
from jacinthcroft_testkit.internal.platform_messages import Availability

from tests.slow.once_support import (
    FRESHNESS_SECONDS,
    IN_FORCE_SECONDS,
    LOOK,
    LOOK_BY_SPARE_KEY,
    Bench,
    answered,
    make_bench,
)

_KEYS = ('key-shop', 'key-app', 'key-spare', 'key-unheard')


@pytest.fixture(scope='module')
def module_bench() -> Iterator[Bench]:
    yield from make_bench(seed=21)


@pytest.fixture
def bench(module_bench: Bench) -> Bench:
    """Returns the module's fleet with `key-shop` in force everywhere."""
    module_bench.run(module_bench.reset_keys())
    return module_bench


async def _withdraw(bench: Bench) -> float:
    withdrawn_at = now()
    await bench.publish_shop_keys('key-spare')
    return withdrawn_at


async def _check_stopped(
    bench: Bench,
    outcomes: list[Outcome],
    withdrawn_at: float,
    grace: float,
) -> None:
    runs = await bench.runs()
    assert not find_late_runs_of(runs, 'shop', withdrawn_at, grace)
    late = [one for one in outcomes if one.at > withdrawn_at + grace]
    assert late
    assert {one.kind for one in late} == {OutcomeKind.REFUSED}
    await bench.check()


def test_a_request_without_a_good_key_runs_for_nobody(bench: Bench) -> None:
    async def scenario() -> None:
        for key, reason in (
            ('', 'key-missing'),
            ('key-unheard', 'key-unknown'),
        ):
            for vm in bench.vms:
                outcome = await bench.look(vm, evolve(LOOK, api_key=key))
                assert outcome.status == 401
                assert (outcome.reason, outcome.outcome) == (reason, 'not-run')
        # The key decides, whatever the caller says of itself.
        foreign = await bench.look('vm1', evolve(LOOK, api_key='key-app'))
        assert foreign.kind is OutcomeKind.ANSWERED
        runs = await bench.runs()
        assert runs[-1].team == 'app'
        bench.recorder.sent[-1] = evolve(bench.recorder.sent[-1], team='app')
        await bench.check()

    bench.run(scenario())


def test_a_withdrawn_key_stops_on_every_vm(bench: Bench) -> None:
    async def scenario() -> None:
        assert answered(await bench.look_everywhere(LOOK, 0.5))
        withdrawn_at = await _withdraw(bench)
        outcomes = await bench.look_everywhere(LOOK, IN_FORCE_SECONDS + 1)
        await _check_stopped(
            bench,
            outcomes,
            withdrawn_at,
            IN_FORCE_SECONDS,
        )

    bench.run(scenario())


def test_a_withdrawn_key_stops_on_a_connection_that_stays_open(
    bench: Bench,
) -> None:
    async def scenario() -> None:
        address = bench.fleet.vms.entries['vm1'].callers
        reader, writer = await asyncio.open_connection(
            address.host,
            address.port,
        )
        statuses = [await _ask(reader, writer)]
        withdrawn_at = now()
        await _withdraw(bench)
        while statuses[-1] != b'401':
            assert now() < withdrawn_at + IN_FORCE_SECONDS
            statuses.append(await _ask(reader, writer))
        for _ in range(50):
            assert await _ask(reader, writer) == b'401'
        assert set(statuses) == {b'200', b'401'}
        writer.close()

    bench.run(scenario())


async def _ask(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bytes:
    writer.write(
        b'GET /transfers/1 HTTP/1.1\r\nhost: a\r\n'
        b'authorization: Bearer key-shop\r\n\r\n',
    )
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.lower().split(b'\r\n')
    lengths = [line for line in lines if line.startswith(b'content-length')]
    await reader.readexactly(int(lengths[0].partition(b':')[2]))
    return head.split(b' ')[1]


@pytest.mark.parametrize(
    'treatment',
    [Availability.REFUSING, Availability.HANGING],
)
def test_peers_pass_a_withdrawal_on_where_the_platform_is_away(
    bench: Bench,
    treatment: Availability,
) -> None:
    async def scenario() -> None:
        for away in bench.vms[1:]:
            await bench.fleet.platform.treat(away, treatment)
        withdrawn_at = await _withdraw(bench)
        outcomes = await bench.look_everywhere(LOOK, IN_FORCE_SECONDS + 1)
        await _check_stopped(
            bench,
            outcomes,
            withdrawn_at,
            IN_FORCE_SECONDS,
        )
        assert answered(await bench.look_everywhere(LOOK_BY_SPARE_KEY, 1))

    bench.run(scenario())


def test_a_vm_that_hears_nobody_refuses_keyed_work(bench: Bench) -> None:
    async def scenario() -> None:
        for pattern in ('vm1>vm*', 'vm*>vm1', 'vm1>platform'):
            await bench.fleet.links.set(pattern, Setting(Mode.CUT))
        cut_at = now()
        await _withdraw(bench)
        outcomes = await bench.look_everywhere(LOOK, IN_FORCE_SECONDS)
        await _check_stopped(
            bench,
            outcomes,
            cut_at,
            FRESHNESS_SECONDS + 1,
        )
        alone = await bench.look('vm1', LOOK)
        assert alone.reason == 'not-fresh'
        assert not answered([await bench.look('vm1', LOOK_BY_SPARE_KEY)])

    bench.run(scenario())


def test_a_vm_that_wakes_late_does_not_run_with_the_withdrawn_key(
    bench: Bench,
) -> None:
    async def scenario() -> None:
        bench.fleet.vms.pause('vm2')
        await bench.wait_in_force(
            await bench.publish_shop_keys('key-spare'),
            'vm2',
        )
        waiting = [
            asyncio.create_task(
                bench.look('vm2', evolve(LOOK, timeout=30)),
            )
            for _ in range(20)
        ]
        await asyncio.sleep(FRESHNESS_SECONDS + 1)
        resumed_at = now()
        bench.fleet.vms.resume('vm2')
        outcomes = await asyncio.gather(*waiting)
        outcomes += await bench.look_everywhere(LOOK, 2)
        await _check_stopped(bench, outcomes, resumed_at, 0)

    bench.run(scenario())


def test_no_key_reaches_a_target_or_a_log(bench: Bench) -> None:
    async def scenario() -> None:
        await bench.look_everywhere(LOOK, 0.5)
        await bench.look_everywhere(evolve(LOOK, api_key=_KEYS[-1]), 0.5)
        for vm in bench.vms:
            log = bench.fleet.vms.process(vm).log_path.read_text()
            assert log
            assert not any(key in log for key in _KEYS)
        await bench.check()

    bench.run(scenario())
