"""What the server does with bytes from callers, good and bad."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from jacinthcroft_http import (
    Answer,
    BodyCut,
    IncomingRequest,
    Interrupted,
    Response,
    ServerLimits,
    now,
)

from tests.cover.http.http_peers import (
    HOST,
    LONG,
    Bench,
    in_loop,
    join,
    repeat,
    serving,
    settle,
    until,
)

GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
LAST = b'GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
POST = b'POST /p HTTP/1.1\r\nHost: h\r\nConnection: close\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
MUCH = b'a' * 17000
SHORT_TIMEOUTS = ServerLimits(
    head_timeout=0.05,
    keep_alive_timeout=0.05,
    write_timeout=0.05,
)


@in_loop
async def test_a_request_in_single_bytes_is_read_like_one_in_a_piece() -> None:
    async with serving() as bench, bench.raw() as caller:
        for number in LAST:
            await caller.send(bytes((number,)))
        answer = await caller.read_all()
    assert answer.startswith(b'HTTP/1.1 200')
    assert b'x-path: /last' in answer


@in_loop
async def test_pipelined_requests_are_answered_in_order() -> None:
    async def slow_first(request: IncomingRequest) -> Response:
        await asyncio.sleep(0.01 if request.path == '/a' else 0)
        return Response.text(200, request.path)

    async with serving(slow_first) as bench, bench.raw() as caller:
        answer = await caller.ask(GET + GET + LAST)
    assert answer.count(b'HTTP/1.1 200') == 3
    assert answer.index(b'/a') < answer.index(b'/last')


@pytest.mark.parametrize(
    ('text', 'reason'),
    [
        (b'nonsense\r\n\r\n', b'malformed-request'),
        (b'GET / HTTP/1.1\r\n\r\n', b'malformed-request'),
        (b'GET / HTTP/1.1\r\nHost: h\r\na b: c\r\n\r\n', b'malformed-request'),
        (
            join(b'POST / HTTP/1.0\r\nHost: h\r\n', CHUNKED),
            b'malformed-request',
        ),
        (join(POST, b'Content-Length: 1\r\n', CHUNKED), b'conflicting-length'),
        (
            join(POST, b'Content-Length: 1\r\nContent-Length: 2\r\n\r\nab'),
            b'conflicting-length',
        ),
        (join(POST, CHUNKED, b'zz\r\n'), b'malformed-request'),
        (join(b'GET /', MUCH), b'head-too-large'),
        (
            join(b'GET / HTTP/1.1\r\nHost: h\r\nA: ', MUCH, b'\r\n\r\n'),
            b'head-too-large',
        ),
    ],
)
@in_loop
async def test_a_bad_request_is_refused_and_harms_nobody_else(
    text: bytes,
    reason: bytes,
) -> None:
    async with serving() as bench, bench.raw() as other:
        await other.send(GET[:10])
        async with bench.raw() as caller:
            answer = await caller.ask(text)
        assert answer.startswith(b'HTTP/1.1 400')
        assert answer.endswith(reason)
        await other.send(GET[10:])
        assert b'200' in await other.read_head()


@in_loop
async def test_a_head_that_does_not_end_is_refused() -> None:
    async with serving(limits=SHORT_TIMEOUTS) as bench, bench.raw() as caller:
        await caller.send(b'GET / HTTP/1.1\r\nHost: ')
        assert b'head-timeout' in await caller.read_all()


@in_loop
async def test_an_idle_connection_is_closed_without_an_answer() -> None:
    async with serving(limits=SHORT_TIMEOUTS) as bench, bench.raw() as caller:
        await caller.send(GET)
        assert b'200' in await caller.read_head()
        assert await caller.read_all() == b''


@in_loop
async def test_bodies_come_chunked_and_go_chunked() -> None:
    async def relay(request: IncomingRequest) -> Response:
        return Response(200, body=request.body)

    async with serving(relay) as bench, bench.raw() as caller:
        answer = await caller.ask(
            join(POST, CHUNKED, b'3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n'),
        )
    assert answer.endswith(b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n')


@in_loop
async def test_a_waiting_caller_is_told_to_continue() -> None:
    async with serving() as bench, bench.raw() as caller:
        await caller.send(
            join(POST, b'Content-Length: 2\r\nExpect: 100-continue\r\n\r\n'),
        )
        assert b'100 Continue' in await caller.read_head()
        assert (await caller.ask(b'ab')).endswith(b'\r\n\r\nab')


@pytest.mark.parametrize(
    ('method', 'status'),
    [('HEAD', 200), ('GET', 204), ('GET', 304)],
)
@in_loop
async def test_answers_without_body_keep_the_connection_usable(
    method: str,
    status: int,
) -> None:
    async def bodiless(_: IncomingRequest) -> Response:
        return Response(status, body=b'abc')

    async with serving(bodiless) as bench:
        for _ in range(3):
            answer = await bench.pool.send(bench.request(method), 1.0)
            assert isinstance(answer, Answer)
            assert await answer.read(LONG) == b''
            assert bench.server.open_connections == 1


@in_loop
async def test_a_slow_caller_stops_the_body_that_it_is_sent() -> None:
    sent = []

    async def endless() -> AsyncIterator[bytes]:
        while True:
            sent.append(1)
            yield bytes(65536)

    async def stream(_: IncomingRequest) -> Response:
        return Response(200, body=endless())

    async with serving(stream) as bench, bench.raw() as caller:
        caller.writer.transport.pause_reading()  # type: ignore[attr-defined]
        await caller.send(GET)
        await settle(lambda: len(sent))
    # The kernel's buffers take a few megabytes; an unbounded body would not
    # ever have stopped.
    assert len(sent) < 400


@in_loop
async def test_a_caller_that_takes_nothing_is_cut_after_a_timeout() -> None:
    async def stream(_: IncomingRequest) -> Response:
        return Response(200, body=repeat(bytes(65536), LONG))

    async with serving(stream, SHORT_TIMEOUTS) as bench, bench.raw() as caller:
        caller.writer.transport.pause_reading()  # type: ignore[attr-defined]
        await caller.send(GET)
        await until(lambda: bench.server.running == 1)
        await until(lambda: not bench.server.open_connections)


@in_loop
async def test_a_body_that_nobody_reads_stops_its_caller() -> None:
    async def ignore(_: IncomingRequest) -> Response:
        await asyncio.Event().wait()
        raise AssertionError

    async with serving(ignore) as bench, bench.raw() as caller:
        await caller.send(POST + CHUNKED)
        chunk = join(b'10000\r\n', bytes(65536), b'\r\n')
        sent = []

        async def send_all() -> None:
            for _ in range(1000):
                await caller.send(chunk)
                sent.append(1)

        sending = asyncio.ensure_future(send_all())
        await settle(lambda: len(sent))
        sending.cancel()
    assert len(sent) < 400


@in_loop
async def test_a_body_that_is_waited_for_does_not_keep_the_head_back() -> None:
    gate = asyncio.Event()

    async def late() -> AsyncIterator[bytes]:
        await gate.wait()
        yield b'abc'

    async def stream(_: IncomingRequest) -> Response:
        return Response(200, [('content-length', '3')], late())

    async with serving(stream) as bench, bench.raw() as caller:
        await caller.send(LAST)
        assert b'200' in await caller.read_head()
        gate.set()
        assert await caller.read_all() == b'abc'


@in_loop
async def test_an_answer_that_breaks_off_never_looks_whole() -> None:
    async def cut() -> AsyncIterator[bytes]:
        yield b'abc'
        raise BodyCut(Interrupted('reset', 'lost'))

    async def stream(_: IncomingRequest) -> Response:
        return Response(200, body=cut())

    async with serving(stream) as bench, bench.raw() as caller:
        assert b'0\r\n\r\n' not in await caller.ask(GET)
        answer = await bench.pool.send(bench.request(), 1.0)
        assert isinstance(answer, Answer)
        assert isinstance(await answer.read(LONG), Interrupted)


@in_loop
async def test_a_caller_that_goes_cancels_its_handler() -> None:
    seen: list[IncomingRequest] = []
    ended = asyncio.Event()

    async def wait(request: IncomingRequest) -> Response:
        seen.append(request)
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            ended.set()
            raise
        raise AssertionError

    async with serving(wait) as bench:
        async with bench.raw() as caller:
            await caller.send(GET)
            await until(lambda: bool(seen))
        await ended.wait()
    assert seen[0].caller_disconnected.is_set()
    assert seen[0].received_at <= now()


@in_loop
async def test_a_handler_that_fails_costs_its_own_caller_only() -> None:
    async def fail(_: IncomingRequest) -> Response:
        raise ZeroDivisionError

    async with serving(fail) as bench, bench.raw() as caller:
        reported = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: reported.append(context),
        )
        assert b'HTTP/1.1 500' in await caller.ask(LAST)
    assert len(reported) == 1


@in_loop
async def test_a_caller_that_resets_before_the_accept_harms_nobody() -> None:
    reported: list[object] = []
    asyncio.get_running_loop().set_exception_handler(
        lambda _, context: reported.append(context),
    )
    async with serving() as bench:
        for _ in range(20):
            # Blocking calls: the loop cannot accept before the reset.
            caller = socket.create_connection((HOST, bench.port))
            no_linger = struct.pack('ii', 1, 0)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
            caller.close()
        assert await _still_serves(bench)
        await until(lambda: not bench.server.open_connections)
    assert not reported


@in_loop
async def test_draining_answers_what_runs_and_cuts_nothing() -> None:
    gate = asyncio.Event()

    async def wait(_: IncomingRequest) -> Response:
        await gate.wait()
        return Response.text(200, 'whole')

    async with serving(wait) as bench, bench.raw() as busy:
        async with bench.raw() as idle:
            await busy.send(GET)
            await until(lambda: bench.server.running == 1)
            draining = asyncio.ensure_future(bench.server.drain(LONG))
            assert await idle.read_all() == b''
        with pytest.raises(ConnectionRefusedError):
            async with bench.raw():
                """Nobody accepts."""
        gate.set()
        answer = await busy.read_all()
        busy.writer.close()
        assert await draining == 0
    assert answer.endswith(b'whole')
    assert b'connection: close' in answer


@in_loop
async def test_draining_tells_how_many_requests_it_cut() -> None:
    async def wait(_: IncomingRequest) -> Response:
        await asyncio.Event().wait()
        raise AssertionError

    async with serving(wait) as bench, bench.raw() as busy:
        await busy.send(GET)
        await until(lambda: bench.server.running == 1)
        assert await bench.server.drain(0.01) == 1


async def _still_serves(bench: Bench) -> bool:
    async with bench.raw() as caller:
        return b'HTTP/1.1 200' in await caller.ask(LAST)


FRAGMENTS = st.sampled_from(
    [
        GET,
        LAST,
        POST,
        CHUNKED,
        b'Content-Length: 3\r\n',
        b'\r\n\r\n',
        b'3\r\nabc\r\n',
        b'0\r\n\r\n',
        b'Expect: 100-continue\r\n',
    ]
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(st.one_of(FRAGMENTS, st.binary(max_size=20)), max_size=8))
def test_any_bytes_end_in_an_answer_or_a_close(parts: list[bytes]) -> None:
    @in_loop
    async def check() -> None:
        async with serving(limits=SHORT_TIMEOUTS) as bench:
            async with bench.raw() as caller:
                answer = await caller.ask(b''.join(parts))
            assert answer == b'' or answer.startswith(b'HTTP/1.1 ')
            assert await _still_serves(bench)

    check()
