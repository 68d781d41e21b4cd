"""A TCP connection that is read as h11 events and written as bytes."""

import asyncio
import select
from typing import Any, cast

import h11

from jacinthcroft_http.internal.event_reader import EventReader
from jacinthcroft_http.internal.waiting import Wakeup

WRITE_BUFFER_BYTES = 65536


class BaseConnection(asyncio.Protocol):
    """A connection with bounded buffers in both directions."""

    def __init__(self, role: type[Any], max_head_bytes: int) -> None:
        """Creates the parser for `role`: h11.CLIENT or h11.SERVER."""
        self._role = role
        self._max_head_bytes = max_head_bytes
        self.parser = self.make_parser()
        self.reader = EventReader(self.parser)
        self._transport: asyncio.Transport | None = None
        self._poll = select.poll()
        self._is_writing_paused = False
        self._is_lost = False
        self._writable = Wakeup()

    @property
    def transport(self) -> asyncio.Transport:
        """The transport; it exists once the connection is established."""
        assert self._transport is not None, 'not connected yet'
        return self._transport

    @property
    def is_open(self) -> bool:
        """Whether both directions are still open."""
        return (
            self.reader.failure is None
            and not self.reader.is_ended
            and not self.transport.is_closing()
        )

    @property
    def has_no_pending_input(self) -> bool:
        """Whether the kernel has neither bytes nor an end of stream to read.

        In a busy process they stay there until the event loop reports them.
        """
        return not self._poll.poll(0)

    def make_parser(self) -> h11.Connection:
        """Returns a new parser for this side of the connection."""
        return h11.Connection(
            self._role, max_incomplete_event_size=self._max_head_bytes
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the transport and its buffer limit."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.reader.attach(self._transport)
        sock = self._transport.get_extra_info('socket')
        self._poll.register(sock.fileno(), select.POLLIN)

    def eof_received(self) -> bool:
        """Records the end of the stream and lets the transport close."""
        self.reader.mark_ended()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Makes every wait raise the reason of the close."""
        self._is_lost = True
        self.fail(exc or ConnectionResetError('connection closed'))

    def pause_writing(self) -> None:
        """Makes `flush` wait, because the write buffer is full."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Wakes the coroutine that waits in `flush`."""
        self._is_writing_paused = False
        self._writable.wake()

    def abort(self) -> None:
        """Closes at once; unsent bytes are discarded."""
        # A lost transport has no event loop any more and cannot be aborted.
        if self._transport is not None and not self._is_lost:
            self._transport.abort()

    def fail(self, failure: Exception) -> None:
        """Makes every wait on this connection raise `failure`."""
        self.reader.fail(failure)
        self._writable.wake()

    def encode(self, event: h11.Event) -> bytes:
        """Encodes an event without writing it.

        Raises:
            h11.LocalProtocolError: If the event is not allowed in this state.
        """
        return self.parser.send(event) or b''

    async def write(self, chunk: bytes) -> None:
        """Writes bytes; waits while the write buffer is full.

        Raises:
            Exception: The failure that was passed to `fail`.
        """
        self.transport.write(chunk)
        if self._is_writing_paused or self.reader.failure is not None:
            await self.flush()

    async def flush(self) -> None:
        """Waits until the write buffer has room.

        Raises:
            Exception: The failure that was passed to `fail`.
        """
        while self._is_writing_paused and self.reader.failure is None:
            await self._writable.wait()
        if self.reader.failure is not None:
            raise self.reader.failure
