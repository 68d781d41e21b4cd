"""Converts received bytes into h11 events, with a bounded buffer.

Received chunks are buffered until the parser needs more bytes; the transport
stops reading while the buffer is full.
"""

import asyncio
from collections import deque

import h11

from jacinthcroft_http.internal.waiting import Wakeup

READ_BUFFER_BYTES = 65536

Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class EventReader:
    """The receiving side of a connection."""

    def __init__(self, parser: h11.Connection) -> None:
        """Creates a reader; the connection sends by the same parser."""
        self.is_ended = False
        self.failure: Exception | None = None
        self._parser = parser
        self._transport: asyncio.Transport | None = None
        self._unparsed_chunks: deque[bytes] = deque()
        self._unparsed_bytes = 0
        self._has_parser_input = False
        self._wakeup = Wakeup()

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes have arrived that belong to no returned event."""
        return bool(self._unparsed_chunks) or bool(
            self._parser.trailing_data[0]
        )

    def replace_parser(self, parser: h11.Connection, received: bytes) -> None:
        """Continues with another parser, which gets the `received` bytes."""
        self._parser = parser
        self._has_parser_input = bool(received)
        if received:
            parser.receive_data(received)

    def attach(self, transport: asyncio.Transport) -> None:
        """Sets the transport to pause while the buffer is full."""
        self._transport = transport

    def add_received(self, chunk: bytes) -> None:
        """Buffers received bytes until the parser needs them."""
        self._unparsed_chunks.append(chunk)
        self._unparsed_bytes += len(chunk)
        if self._unparsed_bytes >= READ_BUFFER_BYTES and self._transport:
            self._transport.pause_reading()
        self._wakeup.wake()

    def mark_ended(self) -> None:
        """Records that the other side has ended its stream."""
        self.is_ended = True
        self._wakeup.wake()

    def fail(self, failure: Exception) -> None:
        """Makes waiting raise; bytes that have arrived stay readable."""
        if self.failure is None:
            self.failure = failure
        self._wakeup.wake()

    def discard_received(self) -> None:
        """Discards buffered chunks and lets the transport read again."""
        self._unparsed_chunks.clear()
        self._unparsed_bytes = 0
        self._resume_reading()

    def receive_now(self) -> Event:
        """Returns the next event, or NEED_DATA without waiting for it.

        Raises:
            h11.RemoteProtocolError: If the other side violates the protocol.
            ConnectionResetError: If it closed within a message.
        """
        event = self._next_event()
        while event is h11.NEED_DATA and self._feed_parser():
            event = self._next_event()
        return event

    async def receive(self) -> Event:
        """Returns the next event, waiting for its bytes.

        Raises:
            h11.RemoteProtocolError: If the other side violates the protocol.
            Exception: The failure that was passed to `fail`.
        """
        event = self.receive_now()
        while event is h11.NEED_DATA:
            if self.failure is not None:
                raise self.failure
            await self._wakeup.wait()
            event = self.receive_now()
        return event

    def _next_event(self) -> Event:
        # A call to a parser without new input costs as much as parsing.
        if not self._has_parser_input:
            return h11.NEED_DATA
        try:
            event = self._parser.next_event()
        except h11.RemoteProtocolError as error:
            self._raise_if_ended(error)
            raise
        if event is h11.NEED_DATA:
            self._has_parser_input = False
        elif isinstance(event, h11.EndOfMessage):
            self._has_parser_input = bool(self._parser.trailing_data[0])
        return event

    def _raise_if_ended(self, error: h11.RemoteProtocolError) -> None:
        # The message was valid until the stream ended: it is truncated.
        if self._parser.trailing_data[1]:
            raise ConnectionResetError(
                'connection closed within a message'
            ) from error

    def _feed_parser(self) -> bool:
        if self._unparsed_chunks:
            chunk = self._unparsed_chunks.popleft()
            was_full = self._unparsed_bytes >= READ_BUFFER_BYTES
            self._unparsed_bytes -= len(chunk)
            self._parser.receive_data(chunk)
            self._has_parser_input = True
            if was_full and self._unparsed_bytes < READ_BUFFER_BYTES:
                self._resume_reading()
            return True
        if self.is_ended and not self._parser.trailing_data[1]:
            self._parser.receive_data(b'')
            self._has_parser_input = True
            return True
        return False

    def _resume_reading(self) -> None:
        if self._transport is not None:
            self._transport.resume_reading()
