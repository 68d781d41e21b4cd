"""Servers, pools and raw sockets that the HTTP tests share."""

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
LONG = 1 << 24
PATIENCE = 10.0
Arguments = ParamSpec('Arguments')


def in_loop(
    test: Callable[Arguments, Coroutine[Any, Any, None]],
) -> Callable[Arguments, None]:
    """Runs a test in an event loop of its own."""

    @functools.wraps(test)
    def run(*args: Arguments.args, **kwargs: Arguments.kwargs) -> None:
        asyncio.run(asyncio.wait_for(test(*args, **kwargs), PATIENCE))

    return run


async def echo(request: IncomingRequest) -> Response:
    """Answers with the path and the whole body."""
    body = await request.read_body(LONG)
    assert not isinstance(body, BodyTooLarge)
    return Response(200, [('x-path', request.path)], body)


def refuse(fault: BadRequest) -> Response:
    return Response.text(400, fault.reason)


def join(*parts: bytes) -> bytes:
    return b''.join(parts)


async def repeat(chunk: bytes, times: int) -> AsyncIterator[bytes]:
    for _ in range(times):
        yield chunk


@define
class Raw:
    """A caller or a target that is only a socket."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def send(self, text: bytes) -> None:
        self.writer.write(text)
        await self.writer.drain()

    async def ask(self, text: bytes) -> bytes:
        """Sends bytes and returns all that comes until the close."""
        await self.send(text)
        return await self.read_all()

    async def read_all(self) -> bytes:
        with contextlib.suppress(ConnectionResetError):
            return await self.reader.read()
        return b''

    async def read_head(self) -> bytes:
        return await self.reader.readuntil(b'\r\n\r\n')


@frozen
class Bench:
    """A server, its port and a pool that calls it."""

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
    async def raw(self) -> AsyncIterator[Raw]:
        reader, writer = await asyncio.open_connection(HOST, self.port)
        yield Raw(reader, writer)
        writer.close()


@contextlib.asynccontextmanager
async def serving(
    handler: Handler = echo,
    limits: ServerLimits | None = None,
) -> AsyncIterator[Bench]:
    """Runs a server and a pool, and closes both."""
    server = Server.from_limits(limits or ServerLimits(), handler, refuse)
    port = await server.start(HOST, 0)
    pool = ConnectionPool.from_limits(PoolLimits())
    yield Bench(server, port, pool)
    await pool.close()
    await server.drain(0)


@contextlib.asynccontextmanager
async def scripted(
    *answers: bytes,
) -> AsyncIterator[tuple[int, list[bytes]]]:
    """A target that gives scripted bytes for each head it reads.

    A connection is closed after the last of its script. Yields the port and
    the heads received so far.
    """
    heads: list[bytes] = []
    script = list(answers)

    async def serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while script:
                heads.append(await reader.readuntil(b'\r\n\r\n'))
                writer.write(script.pop(0))
        writer.close()

    listener = await asyncio.start_server(serve, HOST, 0)
    yield listener.sockets[0].getsockname()[1], heads
    listener.close()


async def until(condition: Callable[[], bool]) -> None:
    """Waits, within the patience of the tests, for a condition."""
    async with asyncio.timeout(PATIENCE):
        while not condition():  # noqa: ASYNC110 - polls another party
            await asyncio.sleep(0.001)


async def settle(measure: Callable[[], int]) -> None:
    """Waits until a measure, once above zero, no longer grows."""
    await until(lambda: measure() > 0)
    seen = 0
    while seen != measure():
        seen = measure()
        await asyncio.sleep(0.1)
