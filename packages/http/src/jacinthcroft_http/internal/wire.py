"""One TCP connection, read as h11 events and written as bytes."""

import asyncio
import select
from typing import Any, cast

import h11

from jacinthcroft_http.internal.event_reader import EventReader
from jacinthcroft_http.internal.waiting import Wakeup

WRITE_BUFFER_BYTES = 65536


class Wire(asyncio.Protocol):
    """A connection with bounded buffers in both directions."""

    def __init__(self, role: type[Any], max_head_bytes: int) -> None:
        """Prepares the parser for one side of the connection."""
        self.parser = h11.Connection(
            role,
            max_incomplete_event_size=max_head_bytes,
        )
        self.reader = EventReader(self.parser)
        self._transport: asyncio.Transport | None = None
        self._poll = select.poll()
        self._is_writing_paused = False
        self._is_lost = False
        self._writable = Wakeup()

    @property
    def transport(self) -> asyncio.Transport:
        """The transport, once connected."""
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
    def is_quiet(self) -> bool:
        """Whether the kernel holds neither bytes nor an end of stream.

        On a busy process these wait there before the loop reports them.
        """
        return not self._poll.poll(0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport over."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.reader.attach(self._transport)
        connected = self._transport.get_extra_info('socket')
        self._poll.register(connected.fileno(), select.POLLIN)

    def eof_received(self) -> bool:
        """Notes that the other side sends no more, and closes."""
        self.reader.end()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Wakes whoever waits, with the reason when there is one."""
        self._is_lost = True
        self.fail(exc or ConnectionResetError('connection closed'))

    def pause_writing(self) -> None:
        """Notes that the other side reads too slowly."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Lets the writer go on."""
        self._is_writing_paused = False
        self._writable.wake()

    def abort(self) -> None:
        """Closes at once; unsent bytes are dropped."""
        # A lost transport has let go of its loop and cannot be aborted.
        if self._transport is not None and not self._is_lost:
            self._transport.abort()

    def fail(self, failure: Exception) -> None:
        """Makes every wait on this wire end with a failure."""
        self.reader.fail(failure)
        self._writable.wake()

    def send(self, event: h11.Event) -> bytes:
        """Returns the bytes of an event without writing them.

        Raises:
            h11.LocalProtocolError: If the event may not be sent now.
        """
        return self.parser.send(event) or b''

    async def write(self, chunk: bytes) -> None:
        """Writes bytes, and waits while the other side reads too slowly.

        Raises:
            Exception: What `fail` was told.
        """
        self.transport.write(chunk)
        if self._is_writing_paused or self.reader.failure is not None:
            await self.flush()

    async def flush(self) -> None:
        """Waits until the transport takes more bytes.

        Raises:
            Exception: What `fail` was told.
        """
        while self._is_writing_paused and self.reader.failure is None:
            await self._writable.wait()
        if self.reader.failure is not None:
            raise self.reader.failure
