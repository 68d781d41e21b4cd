"""Stand-in targets behave, fail and keep their journals as told."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest
from jacinthcroft_http import (
    Answer,
    ConnectionPool,
    Interrupted,
    OutgoingRequest,
    now,
)
from jacinthcroft_testkit.internal.answers import AnswerBody
from jacinthcroft_testkit.internal.control import make_pool
from jacinthcroft_testkit.internal.history import RunResult
from jacinthcroft_testkit.internal.target_messages import (
    Behaviour,
    Faults,
    Traits,
)
from jacinthcroft_testkit.internal.target_server import TargetServer
from jacinthcroft_testkit.internal.target_state import TargetState
from jacinthcroft_testkit.internal.waiting import wait_until

_TRAITS = Traits(service_ms=1, restart_seconds=0, fall_seconds=0.1)


class _Bench:
    """One target in this process and a way to call it."""

    def __init__(self, pool: ConnectionPool, faults: Faults) -> None:
        self.state = TargetState('t1', _TRAITS, random.Random(1), faults)
        self.server = TargetServer(self.state)
        self._pool = pool
        self._port = 0

    async def start(self) -> None:
        address = await self.server.start()
        self._port = int(address.rpartition(':')[2])

    async def call(
        self,
        path: str,
        timeout: float = 5,
        deadline_ms: int = 5000,
    ) -> object:
        request = OutgoingRequest(
            '127.0.0.1',
            self._port,
            'GET',
            path,
            [
                ('x-request-id', f'id of {path}'),
                ('deadline-ms', str(deadline_ms)),
            ],
        )
        answer = await self._pool.send(request, timeout)
        if not isinstance(answer, Answer):
            return answer
        body = await answer.read(100_000)
        return AnswerBody.from_bytes(body) if isinstance(body, bytes) else body

    async def has_no_run(self) -> bool:
        return not self.state.running


def _run(
    scenario: Callable[[_Bench], Awaitable[None]],
    faults: Faults | None = None,
) -> TargetState:
    async def _scene() -> TargetState:
        pool = make_pool()
        bench = _Bench(pool, faults or Faults())
        await bench.start()
        async with asyncio.timeout(20):
            await scenario(bench)
        await pool.close()
        return bench.state

    return asyncio.run(_scene())


def _always(behaviour: Behaviour) -> Faults:
    return Faults({behaviour: 1}, late_seconds=0)


def test_an_answer_states_its_request() -> None:
    async def scenario(bench: _Bench) -> None:
        answer = await bench.call('/p?bytes=100')
        assert isinstance(answer, AnswerBody)
        assert answer.is_whole
        assert answer.path == '/p?bytes=100'
        assert len(answer.filler) == 100

    state = _run(scenario)
    assert [run.result for run in state.runs] == [RunResult.COMPLETED]


def test_a_crossed_answer_states_the_request_before() -> None:
    async def scenario(bench: _Bench) -> None:
        await bench.call('/first')
        answer = await bench.call('/second')
        assert isinstance(answer, AnswerBody)
        assert answer.path == '/first'

    _run(scenario, _always(Behaviour.CROSS))


@pytest.mark.parametrize('behaviour', [Behaviour.RESET, Behaviour.CUT])
def test_a_broken_answer_is_no_answer(behaviour: Behaviour) -> None:
    async def scenario(bench: _Bench) -> None:
        assert not isinstance(await bench.call('/p'), AnswerBody)

    _run(scenario, _always(behaviour))


def test_a_caller_that_disconnects_cancels_its_run() -> None:
    async def scenario(bench: _Bench) -> None:
        await bench.call('/p', timeout=0.1)
        await wait_until(bench.has_no_run, 'run cancelled', timeout=5)

    state = _run(scenario, Faults({Behaviour.STALL: 1}))
    assert [run.result for run in state.runs] == [RunResult.CANCELLED]


def test_a_run_ends_at_its_deadline_though_its_caller_stays() -> None:
    async def scenario(bench: _Bench) -> None:
        outcome = await bench.call('/p', deadline_ms=100)
        assert isinstance(outcome, Interrupted)
        assert outcome.reason == 'reset'

    state = _run(scenario, Faults({Behaviour.STALL: 1}))
    assert [run.result for run in state.runs] == [RunResult.CANCELLED]


def test_a_request_beyond_the_slots_is_shed_and_never_ran() -> None:
    async def scenario(bench: _Bench) -> None:
        await asyncio.gather(*(bench.call(f'/{one}') for one in range(3)))

    state = _run(scenario, Faults({Behaviour.LATE: 1}, late_seconds=0.1))
    assert len(state.runs) == 2
    assert state.sheds == 1


def test_a_crashed_target_comes_back_cold_with_another_boot_id() -> None:
    async def scenario(bench: _Bench) -> None:
        boot_id = bench.state.boot_id
        assert not isinstance(await bench.call('/die'), AnswerBody)
        await wait_until(lambda: _answers(bench), 'answer', timeout=5)
        assert bench.state.boot_id != boot_id

    state = _run(scenario, Faults(crash_marker='die'))
    assert state.runs[0].result is RunResult.CRASHED
    assert state.runs[1].cold_seconds is not None


def test_a_cold_target_falls_over_when_overloaded() -> None:
    async def scenario(bench: _Bench) -> None:
        bench.state.turn_cold(now())
        await asyncio.gather(*(bench.call(f'/{one}') for one in range(2)))

    state = _run(scenario)
    first, second = state.runs
    assert first.ended is not None
    assert first.ended >= second.started + _TRAITS.fall_seconds


async def _answers(bench: _Bench) -> bool:
    return isinstance(await bench.call('/p'), AnswerBody)
