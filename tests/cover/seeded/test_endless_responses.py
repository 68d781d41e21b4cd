"""Bytes without end from a target are cut off, and harm no other request."""

import asyncio
import contextlib
import tracemalloc
from collections.abc import AsyncIterator

import pytest
from jacinthcroft_decisions.dispatch import Outcome
from jacinthcroft_http import ConnectionPool, PoolLimits

from tests.cover.http.http_support import HOST, join
from tests.cover.seeded.sender_support import (
    REQUEST_SECONDS,
    make_sender,
    send_once,
)

# Beside the four megabytes that a response may have.
MAX_PEAK_BYTES = 16 * 1024 * 1024
# Half the time that a request has, in which an innocent one is answered.
INNOCENT_SECONDS = 0.5
STATUS = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: r\r\nX-Upstream-Signature: s\r\n'
CHUNKED = join(STATUS, b'Transfer-Encoding: chunked\r\n\r\n')
CHUNK = join(b'1000\r\n', b'a' * 4096, b'\r\n')
OTHER_RESPONSE = STATUS.replace(b': r', b': other')
# The start of a response, and what follows it without end.
ENDLESS = {
    'head': (STATUS, b'X-A: 1\r\n' * 1000),
    'header line': (join(STATUS, b'X-A: '), b'a' * 8000),
    'body with a length': (
        join(STATUS, b'Content-Length: 99999999999\r\n\r\n'),
        b'a' * 8000,
    ),
    'body without a length': (join(STATUS, b'\r\n'), b'a' * 8000),
    'chunks': (CHUNKED, CHUNK * 2),
    'tiny chunks': (CHUNKED, b'1\r\na\r\n' * 1000),
    'chunk extension': (join(CHUNKED, b'1;'), b'a' * 8000),
    'trailers': (join(CHUNKED, b'0\r\n'), b'X-A: 1\r\n' * 1000),
    'interim responses': (b'', b'HTTP/1.1 102 P\r\n\r\n' * 400),
    'other responses': (
        b'',
        join(OTHER_RESPONSE, b'Content-Length: 0\r\n\r\n') * 100,
    ),
    'no protocol': (b'', b'\x00\xff' * 4000),
}


@contextlib.asynccontextmanager
async def _target(
    start: bytes, repeated: bytes
) -> AsyncIterator[tuple[int, asyncio.Event]]:
    """Starts a target that writes until the proxy closes; yields its port."""
    is_closed = asyncio.Event()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            with contextlib.suppress(OSError):
                await reader.readuntil(b'\r\n\r\n')
                writer.write(start)
                while repeated and not writer.transport.is_closing():
                    writer.write(repeated)
                    await writer.drain()
        finally:
            writer.close()
            is_closed.set()

    listener = await asyncio.start_server(serve, HOST, 0)
    try:
        yield listener.sockets[0].getsockname()[1], is_closed
    finally:
        listener.close()


@pytest.mark.parametrize('kind', list(ENDLESS))
def test_endless_bytes_are_cut_off(kind: str) -> None:
    async def run() -> None:
        pool = ConnectionPool.from_limits(PoolLimits())
        sender = make_sender(pool)
        served = join(STATUS, b'Content-Length: 2\r\n\r\nok')
        async with (
            _target(*ENDLESS[kind]) as (port, is_closed),
            _target(served, b'') as (sound_port, _),
        ):
            endless, innocent = await asyncio.gather(
                send_once(sender, port, 'r'),
                send_once(sender, sound_port, 'r'),
            )
            await asyncio.wait_for(is_closed.wait(), 1)
        assert endless.outcome in {Outcome.BROKEN, Outcome.SILENT}
        assert endless.response is None
        assert endless.may_have_run
        assert endless.seconds < REQUEST_SECONDS + INNOCENT_SECONDS
        assert innocent.outcome is Outcome.SERVED
        assert innocent.seconds < INNOCENT_SECONDS
        await pool.close()

    tracemalloc.start()
    try:
        asyncio.run(run())
        assert tracemalloc.get_traced_memory()[1] < MAX_PEAK_BYTES
    finally:
        tracemalloc.stop()
