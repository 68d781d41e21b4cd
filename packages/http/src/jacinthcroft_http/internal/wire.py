"""One TCP connection with its h11 parser, bounded in both directions.

Bytes wait in an inbox until the parser asks for them, and the transport
stops reading while the inbox is full. Waiting uses one bare future a
direction instead of a task, which is what keeps a request cheap.
"""

import asyncio
from collections import deque
from typing import Any, cast

import h11

READ_BUFFER_BYTES = 65536
WRITE_BUFFER_BYTES = 65536

Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class Wire(asyncio.Protocol):
    """A connection that is read as h11 events and written as bytes."""

    def __init__(self, role: type[Any], max_head_bytes: int) -> None:
        """Prepares the parser for one side of the connection."""
        self.parser = h11.Connection(
            role,
            max_incomplete_event_size=max_head_bytes,
        )
        self.loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._inbox: deque[bytes] = deque()
        self._inbox_bytes = 0
        self._is_reading_paused = False
        self._is_writing_paused = False
        self._is_eof = False
        self._failure: Exception | None = None
        self._readable: asyncio.Future[None] | None = None
        self._writable: asyncio.Future[None] | None = None

    @property
    def transport(self) -> asyncio.Transport:
        """The transport, once connected."""
        assert self._transport is not None, 'not connected yet'
        return self._transport

    @property
    def is_open(self) -> bool:
        """Whether both directions are still open."""
        return (
            self._failure is None
            and not self._is_eof
            and not self.transport.is_closing()
        )

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes came that no event has consumed."""
        return bool(self._inbox) or bool(self.parser.trailing_data[0])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport over."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)

    def data_received(self, data: bytes) -> None:
        """Keeps bytes for the parser, and stops reading when full."""
        self._inbox.append(data)
        self._inbox_bytes += len(data)
        if self._inbox_bytes >= READ_BUFFER_BYTES:
            self._is_reading_paused = True
            self.transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool | None:
        """Notes that the other side sends no more."""
        self._is_eof = True
        self._wake_reader()
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Wakes whoever waits, with the reason when there is one."""
        # Bytes already in the inbox, and an end of stream, stay readable.
        self.fail(exc or ConnectionResetError('connection closed'))

    def pause_writing(self) -> None:
        """Notes that the other side reads too slowly."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Lets the writer go on."""
        self._is_writing_paused = False
        self._wake_writer()

    def fail(self, failure: Exception) -> None:
        """Makes every wait on this wire end with a failure."""
        if self._failure is None:
            self._failure = failure
        self._wake_reader()
        self._wake_writer()

    def receive_now(self) -> Event:
        """Returns the next event, or NEED_DATA without waiting for it.

        Raises:
            h11.RemoteProtocolError: If the other side breaks the protocol.
        """
        event = self.parser.next_event()
        while event is h11.NEED_DATA and self._feed():
            event = self.parser.next_event()
        return event

    async def receive(self) -> Event:
        """Returns the next event, waiting for its bytes.

        Raises:
            h11.RemoteProtocolError: If the other side breaks the protocol.
            Exception: What `fail` was told.
        """
        event = self.receive_now()
        while event is h11.NEED_DATA:
            await self._wait_readable()
            event = self.receive_now()
        return event

    async def write(self, chunk: bytes) -> None:
        """Writes bytes, and waits while the other side reads too slowly.

        Raises:
            Exception: What `fail` was told.
        """
        self.transport.write(chunk)
        if self._is_writing_paused:
            await self.flush()

    async def flush(self) -> None:
        """Waits until the transport takes more bytes.

        Raises:
            Exception: What `fail` was told.
        """
        while self._is_writing_paused and self._failure is None:
            self._writable = self.loop.create_future()
            try:
                await self._writable
            finally:
                self._writable = None
        if self._failure is not None:
            raise self._failure

    def _feed(self) -> bool:
        if self._inbox:
            chunk = self._inbox.popleft()
            self._inbox_bytes -= len(chunk)
            self.parser.receive_data(chunk)
            if self._is_reading_paused and self._failure is None:
                self._is_reading_paused = False
                self.transport.resume_reading()
            return True
        if self._is_eof and not self.parser.trailing_data[1]:
            self.parser.receive_data(b'')
            return True
        return False

    async def _wait_readable(self) -> None:
        if self._failure is not None:
            raise self._failure
        self._readable = self.loop.create_future()
        try:
            await self._readable
        finally:
            self._readable = None

    def _wake_reader(self) -> None:
        if self._readable is not None and not self._readable.done():
            self._readable.set_result(None)

    def _wake_writer(self) -> None:
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
