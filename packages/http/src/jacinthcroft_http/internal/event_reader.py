"""Received bytes, bounded, and the h11 events they make up.

Bytes wait in an inbox until the parser asks for more, and the transport
stops reading while the inbox is full.
"""

import asyncio
from collections import deque

import h11

from jacinthcroft_http.internal.waiting import Wakeup

READ_BUFFER_BYTES = 65536

Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class EventReader:
    """The receiving half of a connection."""

    def __init__(self, parser: h11.Connection) -> None:
        """Reads events by a parser whose sending half others use."""
        self.is_ended = False
        self.failure: Exception | None = None
        self._parser = parser
        self._transport: asyncio.Transport | None = None
        self._inbox: deque[bytes] = deque()
        self._inbox_bytes = 0
        self._may_progress = False
        self._wakeup = Wakeup()

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes came that no event has consumed."""
        return bool(self._inbox) or bool(self._parser.trailing_data[0])

    def attach(self, transport: asyncio.Transport) -> None:
        """Learns which transport to pause while the inbox is full."""
        self._transport = transport

    def put(self, chunk: bytes) -> None:
        """Keeps received bytes until the parser wants them."""
        self._inbox.append(chunk)
        self._inbox_bytes += len(chunk)
        if self._inbox_bytes >= READ_BUFFER_BYTES and self._transport:
            self._transport.pause_reading()
        self._wakeup.wake()

    def end(self) -> None:
        """Notes that the other side sends no more."""
        self.is_ended = True
        self._wakeup.wake()

    def fail(self, failure: Exception) -> None:
        """Makes waiting raise; what has come already stays readable."""
        if self.failure is None:
            self.failure = failure
        self._wakeup.wake()

    def clear(self) -> None:
        """Drops the inbox and lets the transport read on."""
        self._inbox.clear()
        self._inbox_bytes = 0
        self._resume()

    def receive_now(self) -> Event:
        """Returns the next event, or NEED_DATA without waiting for it.

        Raises:
            h11.RemoteProtocolError: If the other side breaks the protocol.
            ConnectionResetError: If it closed in the middle of a message.
        """
        event = self._next_event()
        while event is h11.NEED_DATA and self._feed():
            event = self._next_event()
        return event

    async def receive(self) -> Event:
        """Returns the next event, waiting for its bytes.

        Raises:
            h11.RemoteProtocolError: If the other side breaks the protocol.
            Exception: What `fail` was told.
        """
        event = self.receive_now()
        while event is h11.NEED_DATA:
            if self.failure is not None:
                raise self.failure
            await self._wakeup.wait()
            event = self.receive_now()
        return event

    def _next_event(self) -> Event:
        # Asking a parser that has nothing to go on costs as much as parsing.
        if not self._may_progress:
            return h11.NEED_DATA
        try:
            event = self._parser.next_event()
        except h11.RemoteProtocolError as error:
            self._raise_if_ended(error)
            raise
        if event is h11.NEED_DATA:
            self._may_progress = False
        elif isinstance(event, h11.EndOfMessage):
            self._may_progress = bool(self._parser.trailing_data[0])
        return event

    def _raise_if_ended(self, error: h11.RemoteProtocolError) -> None:
        # Up to its end the message was in order: it was cut, not garbled.
        if self._parser.trailing_data[1]:
            raise ConnectionResetError('closed before the end') from error

    def _feed(self) -> bool:
        if self._inbox:
            chunk = self._inbox.popleft()
            was_full = self._inbox_bytes >= READ_BUFFER_BYTES
            self._inbox_bytes -= len(chunk)
            self._parser.receive_data(chunk)
            self._may_progress = True
            if was_full and self._inbox_bytes < READ_BUFFER_BYTES:
                self._resume()
            return True
        if self.is_ended and not self._parser.trailing_data[1]:
            self._parser.receive_data(b'')
            self._may_progress = True
            return True
        return False

    def _resume(self) -> None:
        if self._transport is not None:
            self._transport.resume_reading()
