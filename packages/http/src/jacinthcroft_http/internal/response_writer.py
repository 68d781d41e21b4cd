"""Writes a response with the framing that its request allows."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator
from typing import Final

import h11

from jacinthcroft_http.internal.base_connection import (
    WRITE_BUFFER_BYTES,
    BaseConnection,
)
from jacinthcroft_http.internal.headers import Header
from jacinthcroft_http.internal.messages import BODILESS_STATUSES, Response
from jacinthcroft_http.internal.outcomes import BodyCut

_CLOSE_HEADER: Final[Header] = (b'connection', b'close')
_LENGTH_NAME: Final = b'content-length'
# Larger bodies are written in pieces of this size, so that only pieces are
# copied while the caller reads slowly.
_PIECE_BYTES: Final = WRITE_BUFFER_BYTES


class ResponseWriter:
    """Writes the response to the request that a connection has read."""

    def __init__(
        self, connection: BaseConnection, *, is_head: bool, is_last: bool
    ) -> None:
        """Omits the body if `is_head`, announces the close if `is_last`."""
        self._connection = connection
        self._is_head = is_head
        self._is_last = is_last
        self._deferred_head = b''

    async def write(self, response: Response) -> None:
        """Writes a whole response; waits while the write buffer is full.

        Raises:
            OSError: If the caller disconnected or the body ended prematurely.
        """
        if isinstance(response.body, bytes):
            await self._write_bytes_body(response, response.body)
        else:
            await self._write_iterated_body(response, response.body)

    async def _write_bytes_body(self, response: Response, body: bytes) -> None:
        headers = response.headers.to_wire()
        has_body = self._allows_body(response)
        if has_body:
            headers = [pair for pair in headers if pair[0] != _LENGTH_NAME]
            headers.append((_LENGTH_NAME, b'%d' % len(body)))
        encoded = self._encode_head(response, headers)
        for piece in _split(body) if has_body else ():
            encoded += self._connection.encode(h11.Data(data=piece))
            if len(encoded) > _PIECE_BYTES:
                await self._connection.write(encoded)
                encoded = b''
        await self._connection.write(
            encoded + self._connection.encode(h11.EndOfMessage())
        )

    async def _write_iterated_body(
        self,
        response: Response,
        body: AsyncIterator[bytes],
    ) -> None:
        async with _closing(body):
            headers = response.headers.to_wire()
            self._defer_head(self._encode_head(response, headers))
            if self._allows_body(response):
                await self._write_chunks(body)
        await self._write_event(h11.EndOfMessage())

    async def _write_chunks(self, body: AsyncIterator[bytes]) -> None:
        try:
            async for chunk in body:
                await self._write_event(h11.Data(data=chunk))
        except BodyCut as error:
            # Without the end of the framing the caller detects the truncation.
            raise ConnectionAbortedError('response body ended early') from error

    async def _write_event(self, event: h11.Event) -> None:
        await self._connection.write(
            self._pop_deferred_head() + self._connection.encode(event)
        )

    def _defer_head(self, head: bytes) -> None:
        # The head is written together with a first chunk that is available
        # at once, and is not delayed by one that is not.
        self._deferred_head = head
        asyncio.get_running_loop().call_soon(self._write_deferred_head)

    def _write_deferred_head(self) -> None:
        if self._deferred_head:
            self._connection.transport.write(self._pop_deferred_head())

    def _pop_deferred_head(self) -> bytes:
        head = self._deferred_head
        self._deferred_head = b''
        return head

    def _encode_head(
        self,
        response: Response,
        headers: list[Header],
    ) -> bytes:
        if self._is_last:
            headers = [pair for pair in headers if pair[0] != _CLOSE_HEADER[0]]
            headers.append(_CLOSE_HEADER)
        return self._connection.encode(
            h11.Response(status_code=response.status, headers=headers),
        )

    def _allows_body(self, response: Response) -> bool:
        return not self._is_head and response.status not in BODILESS_STATUSES


def _split(body: bytes) -> Iterator[bytes]:
    for start in range(0, len(body), _PIECE_BYTES):
        yield body[start : start + _PIECE_BYTES]


@contextlib.asynccontextmanager
async def _closing(body: AsyncIterator[bytes]) -> AsyncIterator[None]:
    try:
        yield
    finally:
        # Generators and `Answer` have `aclose`; other iterators may not.
        aclose = getattr(body, 'aclose', None)
        if aclose is not None:
            await aclose()
