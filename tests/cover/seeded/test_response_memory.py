"""Large responses occupy no more memory than their budget."""

import asyncio
import contextlib
import gc
import tracemalloc
from collections.abc import AsyncIterator

from jacinthcroft_decisions.dispatch import Outcome
from jacinthcroft_http import (
    BufferBudget,
    ConnectionPool,
    IncomingRequest,
    PoolLimits,
    Response,
    Server,
    ServerLimits,
)

from tests.cover.http.http_support import (
    HOST,
    reject,
    run_in_event_loop,
    running_server,
)
from tests.cover.seeded.sender_support import make_sender, send_once

BODY_BYTES = 1024 * 1024
LIMIT_BYTES = 2 * BODY_BYTES
REQUESTS = 12
UNREAD_SECONDS = 0.3
# What asyncio reads from a socket at a time.
MAX_CHUNK_BYTES = 256 * 1024


@contextlib.asynccontextmanager
async def _running_target(body: bytes) -> AsyncIterator[int]:
    async def serve(request: IncomingRequest) -> Response:
        request_id = request.headers.get('x-attempt-id') or ''
        headers = [('x-attempt-id', request_id), ('x-upstream-signature', 's')]
        return Response(200, headers, body)

    server = Server.from_limits(ServerLimits(), serve, reject)
    try:
        yield await server.start(HOST, 0)
    finally:
        await server.drain(0)


@run_in_event_loop
async def test_all_large_responses_are_read_within_the_budget() -> None:
    budget = BufferBudget.from_limit(LIMIT_BYTES)
    pool = ConnectionPool.from_limits(PoolLimits())
    sender = make_sender(pool, budget)
    peaks: list[int] = []

    async def send(port: int, number: int) -> Outcome:
        result = await send_once(sender, port, f'r{number}')
        peaks.append(budget.held_bytes)
        return result.outcome

    async with _running_target(bytes(BODY_BYTES)) as port:
        sends = [send(port, number) for number in range(REQUESTS)]
        outcomes = await asyncio.gather(*sends)
        await pool.close()
    assert set(outcomes) == {Outcome.SERVED}
    # The oldest body is always read, and the last chunk may exceed the limit.
    assert max(peaks) <= LIMIT_BYTES + BODY_BYTES + MAX_CHUNK_BYTES
    gc.collect()
    assert not budget.held_bytes


@run_in_event_loop
async def test_large_responses_wait_for_callers_but_small_ones_do_not() -> None:
    budget = BufferBudget.from_limit(LIMIT_BYTES)
    pool = ConnectionPool.from_limits(PoolLimits())
    sender = make_sender(pool, budget)
    async with (
        _running_target(bytes(BODY_BYTES)) as port,
        _running_target(b'small') as small_port,
    ):
        waiting = [await send_once(sender, port, f'r{n}') for n in range(3)]
        one_more = asyncio.create_task(send_once(sender, port, 'more'))
        small = await send_once(sender, small_port, 'small')
        assert small.outcome is Outcome.SERVED
        assert not one_more.done()
        # The first caller has read its response.
        waiting.clear()
        assert (await one_more).outcome is Outcome.SERVED
        await pool.close()


@run_in_event_loop
async def test_callers_that_do_not_read_bound_what_is_held() -> None:
    budget = BufferBudget.from_limit(LIMIT_BYTES)
    pool = ConnectionPool.from_limits(PoolLimits())
    sender = make_sender(pool, budget)
    async with _running_target(bytes(BODY_BYTES)) as port:
        sends = [send_once(sender, port, f'r{n}') for n in range(REQUESTS)]
        results = await asyncio.gather(*sends)
        await pool.close()
    served = sum(result.outcome is Outcome.SERVED for result in results)
    assert 0 < served < REQUESTS
    assert budget.held_bytes <= 2 * LIMIT_BYTES + BODY_BYTES


@run_in_event_loop
async def test_a_response_without_room_is_given_up_at_its_deadline() -> None:
    budget = BufferBudget.from_limit(LIMIT_BYTES)
    pool = ConnectionPool.from_limits(PoolLimits())
    sender = make_sender(pool, budget)
    older = budget.reserve(0)
    budget.take(LIMIT_BYTES)
    async with _running_target(bytes(BODY_BYTES)) as port:
        result = await send_once(sender, port, 'r')
        await pool.close()
    older.release()
    # The target is not to blame, and the request has run.
    assert (result.outcome, result.may_have_run) == (Outcome.ABANDONED, True)
    assert budget.held_bytes == LIMIT_BYTES


@run_in_event_loop
async def test_no_second_copy_waits_for_a_slow_caller() -> None:
    body = b'0123456789abcdef' * BODY_BYTES

    async def serve(_: IncomingRequest) -> Response:
        return Response(200, [], body)

    async with (
        running_server(serve) as running,
        running.open_raw_connection() as caller,
    ):
        tracemalloc.start()
        await caller.send(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        await asyncio.sleep(UNREAD_SECONDS)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        head = await caller.read_head()
        received = await caller.reader.readexactly(len(body))
    assert peak < BODY_BYTES
    assert b'content-length: %d' % len(body) in head.lower()
    assert received == body
