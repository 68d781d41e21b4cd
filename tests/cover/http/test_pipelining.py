"""Pipelined requests run side by side and are answered in order."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from attrs import define, field
from jacinthcroft_http import IncomingRequest, Response, Server, ServerLimits
from jacinthcroft_http.internal.read_ahead import MAX_EARLY_REQUESTS

from tests.cover.http.http_support import (
    HOST,
    RawConnection,
    join,
    reject,
    run_in_event_loop,
    wait_until,
)


@define
class SlowHandler:
    """Answers a request once the test lets it; its path names it."""

    started: list[str] = field(factory=list)
    cancelled: list[str] = field(factory=list)
    _gates: dict[str, asyncio.Event] = field(factory=dict)

    def let(self, *paths: str) -> None:
        for path in paths:
            self._gate(path).set()

    def may_start_early(self, request: IncomingRequest) -> bool:
        return request.path.startswith('/safe/')

    async def handle(self, request: IncomingRequest) -> Response:
        self.started.append(request.path)
        try:
            await self._gate(request.path).wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.path)
            raise
        status = 500 if request.path.endswith('fail') else 200
        return Response(status, body=request.path.encode())

    def _gate(self, path: str) -> asyncio.Event:
        return self._gates.setdefault(path, asyncio.Event())


@define
class Fixture:
    """A running server with its handler and one open connection."""

    server: Server
    handler: SlowHandler
    caller: RawConnection

    async def read_bodies(self, count: int) -> list[bytes]:
        return [await self._read_body() for _ in range(count)]

    async def _read_body(self) -> bytes:
        head = (await self.caller.read_head()).lower()
        length = head.partition(b'content-length: ')[2].partition(b'\r')[0]
        return await self.caller.reader.readexactly(int(length))


@contextlib.asynccontextmanager
async def _serving() -> AsyncIterator[Fixture]:
    handler = SlowHandler()
    server = Server.from_limits(
        ServerLimits(), handler.handle, reject, handler.may_start_early
    )
    port = await server.start(HOST, 0)
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        yield Fixture(server, handler, RawConnection(reader, writer))
    finally:
        writer.close()
        await server.drain(0)


def _get(path: str, extra: str = '') -> bytes:
    return f'GET {path} HTTP/1.1\r\nHost: h\r\n{extra}\r\n'.encode()


@run_in_event_loop
async def test_safe_requests_run_side_by_side_and_are_answered_in_order() -> (
    None
):
    async with _serving() as fixture:
        paths = ['/safe/1', '/safe/2', '/safe/3']
        await fixture.caller.send(join(*(_get(path) for path in paths)))
        await wait_until(lambda: fixture.handler.started == paths)
        fixture.handler.let('/safe/3', '/safe/2')
        await asyncio.sleep(0.02)
        fixture.handler.let('/safe/1')
        bodies = await fixture.read_bodies(3)
        assert bodies == [path.encode() for path in paths]


@run_in_event_loop
async def test_a_head_that_arrives_in_parts_is_read_ahead() -> None:
    async with _serving() as fixture:
        handler = fixture.handler
        second = _get('/safe/2')
        await fixture.caller.send(_get('/safe/1') + second[:9])
        await wait_until(lambda: handler.started == ['/safe/1'])
        await fixture.caller.send(second[9:])
        await wait_until(lambda: handler.started == ['/safe/1', '/safe/2'])
        await fixture.caller.send(_get('/safe/3')[:9])
        handler.let('/safe/1', '/safe/2', '/safe/3')
        await fixture.caller.send(_get('/safe/3')[9:])
        assert await fixture.read_bodies(3) == [
            b'/safe/1',
            b'/safe/2',
            b'/safe/3',
        ]


@run_in_event_loop
async def test_other_requests_wait_for_their_turn() -> None:
    async with _serving() as fixture:
        handler = fixture.handler
        await fixture.caller.send(
            join(_get('/safe/1'), _get('/once/2'), _get('/safe/3'))
        )
        await wait_until(lambda: bool(handler.started))
        await asyncio.sleep(0.02)
        assert handler.started == ['/safe/1']
        handler.let('/safe/1')
        await wait_until(
            lambda: handler.started == ['/safe/1', '/once/2', '/safe/3']
        )
        handler.let('/once/2', '/safe/3')
        bodies = await fixture.read_bodies(3)
        assert bodies == [b'/safe/1', b'/once/2', b'/safe/3']


@run_in_event_loop
async def test_nothing_behind_a_close_is_started() -> None:
    async with _serving() as fixture:
        closing = _get('/safe/1', 'Connection: close\r\n')
        await fixture.caller.send(closing + _get('/safe/2'))
        await wait_until(lambda: bool(fixture.handler.started))
        fixture.handler.let('/safe/1')
        received = await fixture.caller.read_all()
        assert received.count(b'HTTP/1.1 200') == 1
        assert fixture.handler.started == ['/safe/1']


@run_in_event_loop
async def test_a_failed_request_does_not_fail_the_ones_behind_it() -> None:
    async with _serving() as fixture:
        await fixture.caller.send(_get('/safe/fail') + _get('/safe/2'))
        fixture.handler.let('/safe/fail', '/safe/2')
        assert await fixture.read_bodies(2) == [b'/safe/fail', b'/safe/2']


@run_in_event_loop
async def test_a_malformed_request_is_refused_after_the_ones_before_it() -> (
    None
):
    async with _serving() as fixture:
        malformed = b'nonsense\r\n\r\n'
        await fixture.caller.send(_get('/safe/1') + malformed)
        await wait_until(lambda: bool(fixture.handler.started))
        fixture.handler.let('/safe/1')
        received = await fixture.caller.read_all()
        assert received.index(b'HTTP/1.1 200') == 0
        assert received.count(b'HTTP/1.1 400') == 1


@run_in_event_loop
async def test_few_requests_of_a_connection_run_at_once() -> None:
    async with _serving() as fixture:
        paths = [f'/safe/{number}' for number in range(30)]
        await fixture.caller.send(join(*(_get(path) for path in paths)))
        await wait_until(lambda: bool(fixture.handler.started))
        await asyncio.sleep(0.02)
        assert len(fixture.handler.started) == 1 + MAX_EARLY_REQUESTS
        fixture.handler.let(*paths)
        bodies = await fixture.read_bodies(len(paths))
        assert bodies == [path.encode() for path in paths]


@run_in_event_loop
async def test_a_disconnect_cancels_all_requests_of_the_connection() -> None:
    async with _serving() as fixture:
        await fixture.caller.send(_get('/safe/1') + _get('/safe/2'))
        await wait_until(lambda: len(fixture.handler.started) == 2)
        fixture.caller.writer.close()
        await wait_until(lambda: len(fixture.handler.cancelled) == 2)


@run_in_event_loop
async def test_a_planned_stop_answers_what_runs_and_starts_no_more() -> None:
    async with _serving() as fixture:
        handler = fixture.handler
        await fixture.caller.send(_get('/safe/1') + _get('/safe/2'))
        await wait_until(lambda: len(handler.started) == 2)
        fixture.server.stop_keep_alive()
        await fixture.caller.send(_get('/safe/3'))
        await asyncio.sleep(0.02)
        handler.let('/safe/1', '/safe/2', '/safe/3')
        received = await fixture.caller.read_all()
        assert received.count(b'HTTP/1.1 200') == 2
        assert received.count(b'connection: close') == 1
        assert handler.started == ['/safe/1', '/safe/2']
