"""Servers, pools and raw connections for the HTTP tests."""

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any, ParamSpec

from attrs import define, frozen
from jacinthcroft_http import (
    BadRequest,
    BodyTooLarge,
    ConnectionPool,
    Handler,
    IncomingRequest,
    OutgoingRequest,
    PoolLimits,
    Response,
    Server,
    ServerLimits,
)

HOST = '127.0.0.1'
# A body size, chunk count or time in seconds that no test reaches.
UNREACHED_LIMIT = 1 << 24
TEST_TIMEOUT_SECONDS = 10.0
Arguments = ParamSpec('Arguments')


def run_in_event_loop(
    test: Callable[Arguments, Coroutine[Any, Any, None]],
) -> Callable[Arguments, None]:
    """Decorates a test to run in a new event loop with a timeout."""

    @functools.wraps(test)
    def run(*args: Arguments.args, **kwargs: Arguments.kwargs) -> None:
        asyncio.run(
            asyncio.wait_for(test(*args, **kwargs), TEST_TIMEOUT_SECONDS)
        )

    return run


async def echo(request: IncomingRequest) -> Response:
    """Responds with the path and the whole body of the request."""
    body = await request.read_body(UNREACHED_LIMIT)
    assert not isinstance(body, BodyTooLarge)
    return Response(200, [('x-path', request.path)], body)


def reject(fault: BadRequest) -> Response:
    return Response.text(400, fault.reason)


def join(*parts: bytes) -> bytes:
    return b''.join(parts)


async def repeat(chunk: bytes, times: int) -> AsyncIterator[bytes]:
    for _ in range(times):
        yield chunk


@define
class RawConnection:
    """A connection that sends and receives unparsed bytes."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def send(self, text: bytes) -> None:
        self.writer.write(text)
        await self.writer.drain()

    async def send_and_read_all(self, text: bytes) -> bytes:
        """Sends bytes and returns all bytes received until the close."""
        await self.send(text)
        return await self.read_all()

    async def read_all(self) -> bytes:
        with contextlib.suppress(ConnectionResetError):
            return await self.reader.read()
        return b''

    async def read_head(self) -> bytes:
        return await self.reader.readuntil(b'\r\n\r\n')


@frozen
class ServerAndPool:
    """A running server, its port and a pool to send requests to it."""

    server: Server
    port: int
    pool: ConnectionPool

    def request(
        self,
        method: str = 'GET',
        target: str = '/',
        body: bytes | AsyncIterator[bytes] | None = None,
    ) -> OutgoingRequest:
        return OutgoingRequest(HOST, self.port, method, target, body=body)

    @contextlib.asynccontextmanager
    async def open_raw_connection(self) -> AsyncIterator[RawConnection]:
        reader, writer = await asyncio.open_connection(HOST, self.port)
        try:
            yield RawConnection(reader, writer)
        finally:
            writer.close()


@contextlib.asynccontextmanager
async def running_server(
    handler: Handler = echo,
    limits: ServerLimits | None = None,
) -> AsyncIterator[ServerAndPool]:
    """Starts a server and a pool; closes both at the end."""
    server = Server.from_limits(
        limits or ServerLimits(), handler, reject, lambda _: True
    )
    port = await server.start(HOST, 0)
    pool = ConnectionPool.from_limits(PoolLimits())
    try:
        yield ServerAndPool(server, port, pool)
    finally:
        await pool.close()
        await server.drain(0)


@contextlib.asynccontextmanager
async def scripted_target(
    *responses: bytes,
) -> AsyncIterator[tuple[int, list[bytes]]]:
    """Starts a target that sends the next given bytes for each request head.

    A connection is closed after the last of them was sent. Yields the port
    and the list of heads received so far.
    """
    heads: list[bytes] = []
    remaining_responses = list(responses)

    async def serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, OSError):
                while remaining_responses:
                    heads.append(await reader.readuntil(b'\r\n\r\n'))
                    writer.write(remaining_responses.pop(0))
        finally:
            writer.close()

    listener = await asyncio.start_server(serve, HOST, 0)
    try:
        yield listener.sockets[0].getsockname()[1], heads
    finally:
        listener.close()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Waits for a condition, at most `TEST_TIMEOUT_SECONDS`."""
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        while not condition():  # noqa: ASYNC110 - has no event to wait for
            await asyncio.sleep(0.001)


async def wait_until_stable(get_count: Callable[[], int]) -> None:
    """Waits until a count is above zero and stays the same for 0.1 s."""
    await wait_until(lambda: get_count() > 0)
    previous = 0
    while previous != get_count():
        previous = get_count()
        await asyncio.sleep(0.1)
