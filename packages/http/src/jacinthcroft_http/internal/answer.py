"""A response that the connection pool has received."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from typing import Final, Literal

import h11
from attrs import define, field

from jacinthcroft_http.internal.buffer_budget import BodyReservation
from jacinthcroft_http.internal.client_connection import ClientConnection
from jacinthcroft_http.internal.event_reader import Event
from jacinthcroft_http.internal.headers import Headers
from jacinthcroft_http.internal.messages import read_up_to
from jacinthcroft_http.internal.outcomes import (
    BodyCut,
    BodyTooLarge,
    Interrupted,
    NoBufferRoom,
)

# Chunks that are parsed without a pause for other connections.
_CHUNKS_PER_TURN: Final = 256
# A response of more chunks than this, of which the mean is tiny, is cut off:
# parsing a chunk costs the same for any size.
_MAX_TINY_CHUNKS: Final = 4096
_TINY_CHUNK_BYTES: Final = 64


def classify_interruption(error: Exception) -> Interrupted:
    """Returns the reason why a connection failed during an exchange."""
    reason: Literal['timeout', 'reset', 'protocol'] = 'protocol'
    if isinstance(error, TimeoutError):
        reason = 'timeout'
    elif isinstance(error, OSError):
        reason = 'reset'
    return Interrupted(reason, str(error))


@define(eq=False)
class Answer:
    """A received response; its head is parsed, its body can be read once.

    The receiver must read the body to its end or call `close`. If
    `is_framed` is false, the body ends where the connection closes, so a
    response that was truncated by a failure of the target looks complete.
    """

    status: int
    headers: Headers
    is_framed: bool
    _connection: ClientConnection
    _chunks: deque[bytes] = field(factory=deque, init=False)
    _is_ended: bool = field(default=False, init=False)
    _chunk_count: int = field(default=0, init=False)
    _received_bytes: int = field(default=0, init=False)

    @property
    def is_complete(self) -> bool:
        """Whether the whole body has arrived, so that reading never waits."""
        return self._is_ended

    @property
    def idle_seconds(self) -> float | None:
        """How long its connection had been idle; None if it was new."""
        return self._connection.idle_seconds

    @property
    def body(self) -> AsyncIterator[bytes]:
        """The chunks of the body.

        Raises:
            BodyCut: While iterating, if the body ends prematurely.
        """
        return self

    def __aiter__(self) -> 'Answer':
        """Returns itself, because a body can be read only once."""
        return self

    async def __anext__(self) -> bytes:
        """Returns the next chunk.

        Raises:
            BodyCut: If the body ends prematurely.
        """
        if not self._chunks and not self._is_ended:
            self._handle_event(await self._receive())
        if self._chunks:
            return self._chunks.popleft()
        raise StopAsyncIteration

    async def aclose(self) -> None:
        """Closes the connection unless the whole body has arrived."""
        self.close()

    async def read(self, limit: int) -> bytes | BodyTooLarge | Interrupted:
        """Reads the whole body, up to a limit in bytes."""
        try:
            body = await read_up_to(self, limit)
        except BodyCut as error:
            return error.cause
        if isinstance(body, BodyTooLarge):
            self.close()
        return body

    async def read_within(
        self, limit: int, reservation: BodyReservation
    ) -> bytes | BodyTooLarge | NoBufferRoom | Interrupted:
        """Reads the whole body while the buffer budget has room for it."""
        received: list[bytes] = []
        size = 0
        try:
            async for chunk in self:
                size += len(chunk)
                received.append(chunk)
                if size > limit:
                    self.close()
                    return BodyTooLarge(limit)
                if not await reservation.grow(len(chunk)):
                    self.close()
                    return NoBufferRoom()
        except BodyCut as error:
            return error.cause
        return b''.join(received)

    def close(self) -> None:
        """Discards the body; abandons the exchange if it is incomplete."""
        self._chunks.clear()
        if not self._is_ended:
            self._is_ended = True
            self._connection.abandon()

    def buffer_received_chunks(self) -> None:
        """Buffers the part of the body that has arrived, without waiting."""
        event: Event = h11.PAUSED
        while not self._is_ended and event is not h11.NEED_DATA:
            if self._chunk_count >= _CHUNKS_PER_TURN:
                return
            try:
                event = self._connection.reader.receive_now()
            except (h11.RemoteProtocolError, OSError):
                # The event reader raises the error again when the body is read.
                return
            if event is not h11.NEED_DATA:
                self._handle_event(event)

    async def _receive(self) -> Event:
        if self._chunk_count and self._chunk_count % _CHUNKS_PER_TURN == 0:
            await asyncio.sleep(0)
        try:
            self._require_sizable_chunks()
            return await self._connection.reader.receive()
        except (OSError, h11.RemoteProtocolError) as error:
            self.close()
            raise BodyCut(classify_interruption(error)) from error
        except BaseException:
            # Closing tells the other side that the task was cancelled.
            self.close()
            raise

    def _require_sizable_chunks(self) -> None:
        is_tiny = self._received_bytes < self._chunk_count * _TINY_CHUNK_BYTES
        if is_tiny and self._chunk_count > _MAX_TINY_CHUNKS:
            raise h11.RemoteProtocolError('the body has too many tiny chunks')

    def _handle_event(self, event: Event) -> None:
        if isinstance(event, h11.Data):
            self._chunk_count += 1
            self._received_bytes += len(event.data)
            self._chunks.append(bytes(event.data))
        else:
            self._is_ended = True
            self._connection.finish_exchange()
