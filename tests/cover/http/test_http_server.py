"""Tests of the HTTP server with valid and invalid requests."""

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

from tests.cover.http.http_support import (
    HOST,
    UNREACHED_LIMIT,
    ServerAndPool,
    join,
    repeat,
    run_in_event_loop,
    running_server,
    wait_until,
    wait_until_stable,
)

GET_REQUEST = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
CLOSING_REQUEST = b'GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
POST_HEAD_START = b'POST /p HTTP/1.1\r\nHost: h\r\nConnection: close\r\n'
CHUNKED_HEAD_END = b'Transfer-Encoding: chunked\r\n\r\n'
TOO_LONG_TEXT = b'a' * 17000
SHORT_TIMEOUTS = ServerLimits(
    head_timeout=0.05,
    body_timeout=0.05,
    keep_alive_timeout=0.05,
    write_timeout=0.05,
)


@run_in_event_loop
async def test_a_request_that_arrives_byte_by_byte_is_answered() -> None:
    async with (
        running_server() as fixture,
        fixture.open_raw_connection() as caller,
    ):
        for number in CLOSING_REQUEST:
            await caller.send(bytes((number,)))
        response = await caller.read_all()
    assert response.startswith(b'HTTP/1.1 200')
    assert b'x-path: /last' in response


@run_in_event_loop
async def test_pipelined_requests_are_answered_in_order() -> None:
    async def slow_first(request: IncomingRequest) -> Response:
        await asyncio.sleep(0.01 if request.path == '/a' else 0)
        return Response.text(200, request.path)

    async with (
        running_server(slow_first) as fixture,
        fixture.open_raw_connection() as caller,
    ):
        response = await caller.send_and_read_all(
            GET_REQUEST + GET_REQUEST + CLOSING_REQUEST
        )
    assert response.count(b'HTTP/1.1 200') == 3
    assert response.index(b'/a') < response.index(b'/last')


@pytest.mark.parametrize(
    ('text', 'reason'),
    [
        (b'nonsense\r\n\r\n', b'malformed-request'),
        (b'GET / HTTP/1.1\r\n\r\n', b'malformed-request'),
        (b'GET / HTTP/1.1\r\nHost: h\r\na b: c\r\n\r\n', b'malformed-request'),
        (
            join(b'POST / HTTP/1.0\r\nHost: h\r\n', CHUNKED_HEAD_END),
            b'malformed-request',
        ),
        (
            join(POST_HEAD_START, b'Content-Length: 1\r\n', CHUNKED_HEAD_END),
            b'conflicting-length',
        ),
        (
            join(
                POST_HEAD_START,
                b'Content-Length: 1\r\nContent-Length: 2\r\n\r\nab',
            ),
            b'conflicting-length',
        ),
        (
            join(POST_HEAD_START, CHUNKED_HEAD_END, b'zz\r\n'),
            b'malformed-request',
        ),
        (join(b'GET /', TOO_LONG_TEXT), b'head-too-large'),
        (
            join(
                b'GET / HTTP/1.1\r\nHost: h\r\nA: ', TOO_LONG_TEXT, b'\r\n\r\n'
            ),
            b'head-too-large',
        ),
    ],
)
@run_in_event_loop
async def test_a_bad_request_is_rejected_without_effect_on_other_callers(
    text: bytes,
    reason: bytes,
) -> None:
    async with (
        running_server() as fixture,
        fixture.open_raw_connection() as other,
    ):
        await other.send(GET_REQUEST[:10])
        async with fixture.open_raw_connection() as caller:
            response = await caller.send_and_read_all(text)
        assert response.startswith(b'HTTP/1.1 400')
        assert response.endswith(reason)
        await other.send(GET_REQUEST[10:])
        assert b'200' in await other.read_head()


@run_in_event_loop
async def test_an_incomplete_head_is_rejected_after_the_timeout() -> None:
    async with (
        running_server(limits=SHORT_TIMEOUTS) as fixture,
        fixture.open_raw_connection() as caller,
    ):
        await caller.send(b'GET / HTTP/1.1\r\nHost: ')
        assert b'head-timeout' in await caller.read_all()


@run_in_event_loop
async def test_a_body_that_never_comes_is_refused_after_a_timeout() -> None:
    async with (
        running_server(limits=SHORT_TIMEOUTS) as fixture,
        fixture.open_raw_connection() as caller,
    ):
        await caller.send(join(POST_HEAD_START, CHUNKED_HEAD_END, b'3\r\nab'))
        assert (await caller.read_all()).startswith(b'HTTP/1.1 400')


@run_in_event_loop
async def test_an_idle_connection_is_closed_without_a_response() -> None:
    async with (
        running_server(limits=SHORT_TIMEOUTS) as fixture,
        fixture.open_raw_connection() as caller,
    ):
        await caller.send(GET_REQUEST)
        assert b'200' in await caller.read_head()
        assert await caller.read_all() == b''


@run_in_event_loop
async def test_chunked_bodies_are_received_and_sent() -> None:
    async def relay(request: IncomingRequest) -> Response:
        return Response(200, body=request.body)

    async with (
        running_server(relay) as fixture,
        fixture.open_raw_connection() as caller,
    ):
        response = await caller.send_and_read_all(
            join(
                POST_HEAD_START,
                CHUNKED_HEAD_END,
                b'3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n',
            ),
        )
    assert response.endswith(b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n')


@run_in_event_loop
async def test_a_caller_that_expects_100_continue_receives_it() -> None:
    async with (
        running_server() as fixture,
        fixture.open_raw_connection() as caller,
    ):
        await caller.send(
            join(
                POST_HEAD_START,
                b'Content-Length: 2\r\nExpect: 100-continue\r\n\r\n',
            ),
        )
        assert b'100 Continue' in await caller.read_head()
        assert (await caller.send_and_read_all(b'ab')).endswith(b'\r\n\r\nab')


@pytest.mark.parametrize(
    ('method', 'status'),
    [('HEAD', 200), ('GET', 204), ('GET', 304)],
)
@run_in_event_loop
async def test_responses_without_body_keep_the_connection_open(
    method: str,
    status: int,
) -> None:
    async def bodiless(_: IncomingRequest) -> Response:
        return Response(status, body=b'abc')

    async with running_server(bodiless) as fixture:
        for _ in range(3):
            response = await fixture.pool.send(fixture.request(method), 1.0)
            assert isinstance(response, Answer)
            assert await response.read(UNREACHED_LIMIT) == b''
            assert fixture.server.open_connections == 1


@run_in_event_loop
async def test_a_caller_that_does_not_read_pauses_the_response_body() -> None:
    sent = []

    async def endless_body() -> AsyncIterator[bytes]:
        while True:
            sent.append(1)
            yield bytes(65536)

    async def stream(_: IncomingRequest) -> Response:
        return Response(200, body=endless_body())

    async with (
        running_server(stream) as fixture,
        fixture.open_raw_connection() as caller,
    ):
        caller.writer.transport.pause_reading()  # type: ignore[attr-defined]
        await caller.send(GET_REQUEST)
        await wait_until_stable(lambda: len(sent))
    # The kernel's buffers hold a few megabytes; without flow control the
    # count would grow without end.
    assert len(sent) < 400


@run_in_event_loop
async def test_a_caller_that_does_not_read_is_disconnected_at_the_timeout() -> (
    None
):
    async def stream(_: IncomingRequest) -> Response:
        return Response(200, body=repeat(bytes(65536), UNREACHED_LIMIT))

    async with (
        running_server(stream, SHORT_TIMEOUTS) as fixture,
        fixture.open_raw_connection() as caller,
    ):
        caller.writer.transport.pause_reading()  # type: ignore[attr-defined]
        await caller.send(GET_REQUEST)
        await wait_until(lambda: fixture.server.running == 1)
        await wait_until(lambda: not fixture.server.open_connections)


@run_in_event_loop
async def test_an_unread_request_body_pauses_its_caller() -> None:
    async def ignore(_: IncomingRequest) -> Response:
        await asyncio.Event().wait()
        raise AssertionError

    async with (
        running_server(ignore) as fixture,
        fixture.open_raw_connection() as caller,
    ):
        await caller.send(POST_HEAD_START + CHUNKED_HEAD_END)
        chunk = join(b'10000\r\n', bytes(65536), b'\r\n')
        sent = []

        async def send_all() -> None:
            for _ in range(1000):
                await caller.send(chunk)
                sent.append(1)

        sending = asyncio.ensure_future(send_all())
        await wait_until_stable(lambda: len(sent))
        sending.cancel()
    assert len(sent) < 400


@run_in_event_loop
async def test_a_late_response_body_does_not_delay_the_head() -> None:
    may_respond = asyncio.Event()

    async def late_body() -> AsyncIterator[bytes]:
        await may_respond.wait()
        yield b'abc'

    async def stream(_: IncomingRequest) -> Response:
        return Response(200, [('content-length', '3')], late_body())

    async with (
        running_server(stream) as fixture,
        fixture.open_raw_connection() as caller,
    ):
        await caller.send(CLOSING_REQUEST)
        assert b'200' in await caller.read_head()
        may_respond.set()
        assert await caller.read_all() == b'abc'


@run_in_event_loop
async def test_an_interrupted_response_never_looks_complete() -> None:
    async def interrupted_body() -> AsyncIterator[bytes]:
        yield b'abc'
        raise BodyCut(Interrupted('reset', 'lost'))

    async def stream(_: IncomingRequest) -> Response:
        return Response(200, body=interrupted_body())

    async with (
        running_server(stream) as fixture,
        fixture.open_raw_connection() as caller,
    ):
        assert b'0\r\n\r\n' not in await caller.send_and_read_all(GET_REQUEST)
        response = await fixture.pool.send(fixture.request(), 1.0)
        assert isinstance(response, Answer)
        assert isinstance(await response.read(UNREACHED_LIMIT), Interrupted)


@run_in_event_loop
async def test_a_caller_that_disconnects_cancels_its_handler() -> None:
    requests: list[IncomingRequest] = []
    ended = asyncio.Event()

    async def wait(request: IncomingRequest) -> Response:
        requests.append(request)
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            ended.set()
            raise
        raise AssertionError

    async with running_server(wait) as fixture:
        async with fixture.open_raw_connection() as caller:
            await caller.send(GET_REQUEST)
            await wait_until(lambda: bool(requests))
        await ended.wait()
    assert requests[0].caller_disconnected.is_set()
    assert requests[0].received_at <= now()


@run_in_event_loop
async def test_an_exception_in_a_handler_is_answered_with_status_500() -> None:
    async def fail(_: IncomingRequest) -> Response:
        raise ZeroDivisionError

    async with (
        running_server(fail) as fixture,
        fixture.open_raw_connection() as caller,
    ):
        reported = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: reported.append(context),
        )
        assert b'HTTP/1.1 500' in await caller.send_and_read_all(
            CLOSING_REQUEST
        )
    assert len(reported) == 1


@run_in_event_loop
async def test_a_reset_before_the_accept_reports_no_error() -> None:
    reported: list[object] = []
    asyncio.get_running_loop().set_exception_handler(
        lambda _, context: reported.append(context),
    )
    async with running_server() as fixture:
        for _ in range(20):
            # Blocking calls, so the event loop cannot accept before the reset.
            caller = socket.create_connection((HOST, fixture.port))
            no_linger = struct.pack('ii', 1, 0)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
            caller.close()
        assert await _still_serves(fixture)
        await wait_until(lambda: not fixture.server.open_connections)
    assert not reported


@run_in_event_loop
async def test_draining_waits_for_running_requests() -> None:
    may_respond = asyncio.Event()

    async def wait(_: IncomingRequest) -> Response:
        await may_respond.wait()
        return Response.text(200, 'whole')

    async with (
        running_server(wait) as fixture,
        fixture.open_raw_connection() as busy,
    ):
        async with fixture.open_raw_connection() as idle:
            await busy.send(GET_REQUEST)
            await wait_until(lambda: fixture.server.running == 1)
            draining = asyncio.ensure_future(
                fixture.server.drain(UNREACHED_LIMIT)
            )
            assert await idle.read_all() == b''
        with pytest.raises(ConnectionRefusedError):
            async with fixture.open_raw_connection():
                """The connection is refused."""
        may_respond.set()
        response = await busy.read_all()
        busy.writer.close()
        assert await draining == 0
    assert response.endswith(b'whole')
    assert b'connection: close' in response


@run_in_event_loop
async def test_draining_returns_the_number_of_aborted_requests() -> None:
    async def wait(_: IncomingRequest) -> Response:
        await asyncio.Event().wait()
        raise AssertionError

    async with (
        running_server(wait) as fixture,
        fixture.open_raw_connection() as busy,
    ):
        await busy.send(GET_REQUEST)
        await wait_until(lambda: fixture.server.running == 1)
        assert await fixture.server.drain(0.01) == 1


async def _still_serves(fixture: ServerAndPool) -> bool:
    async with fixture.open_raw_connection() as caller:
        return b'HTTP/1.1 200' in await caller.send_and_read_all(
            CLOSING_REQUEST
        )


REQUEST_FRAGMENTS = st.sampled_from(
    [
        GET_REQUEST,
        CLOSING_REQUEST,
        POST_HEAD_START,
        CHUNKED_HEAD_END,
        b'Content-Length: 3\r\n',
        b'\r\n\r\n',
        b'3\r\nabc\r\n',
        b'0\r\n\r\n',
        b'Expect: 100-continue\r\n',
    ]
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    st.lists(st.one_of(REQUEST_FRAGMENTS, st.binary(max_size=20)), max_size=8)
)
def test_any_bytes_lead_to_a_response_or_a_close(parts: list[bytes]) -> None:
    @run_in_event_loop
    async def check() -> None:
        async with running_server(limits=SHORT_TIMEOUTS) as fixture:
            async with fixture.open_raw_connection() as caller:
                response = await caller.send_and_read_all(b''.join(parts))
            assert response == b'' or response.startswith(b'HTTP/1.1 ')
            assert await _still_serves(fixture)

    check()
