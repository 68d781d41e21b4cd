"""A caller's connection with its phases and timeouts.

One task serves each connection from its opening to its close. A disconnect
of the caller cancels that task, and with it the running handler.
"""

import asyncio
import enum
import math
from collections.abc import Callable, Coroutine
from typing import Any, Final, Protocol

import h11
from attrs import frozen

from jacinthcroft_http.internal.base_connection import BaseConnection
from jacinthcroft_http.internal.clock import now

# How long a closing connection still reads and discards its caller's bytes. A
# close with unread bytes resets the connection, which may lose the response.
LINGERING_CLOSE_SECONDS: Final = 1.0


@frozen
class ServerLimits:
    """Limits of one connection: sizes in bytes and timeouts in seconds.

    `head_timeout` runs from a head's first byte, `body_timeout` while the
    handler waits for more of a body, `keep_alive_timeout` while no request is
    in progress, and `write_timeout` while the caller does not read the
    response.
    """

    max_head_bytes: int = 16384
    head_timeout: float = 5.0
    body_timeout: float = 15.0
    keep_alive_timeout: float = 60.0
    write_timeout: float = 30.0

    @property
    def shortest_timeout(self) -> float:
        """The shortest of the timeouts, in seconds."""
        return min(
            LINGERING_CLOSE_SECONDS,
            self.head_timeout,
            self.keep_alive_timeout,
            self.write_timeout,
        )


class Phase(enum.Enum):
    """The state of a server connection."""

    IDLE = 'idle'
    HEAD = 'head'
    REQUEST = 'request'
    CLOSING = 'closing'


class ConnectionRegistry(Protocol):
    """Receives the connections of a server when they open and close."""

    def add(self, connection: 'ServerConnection') -> None:
        """Adds a connection that has opened."""

    def discard(self, connection: 'ServerConnection') -> None:
        """Removes a connection that has closed."""


class ServerConnection(BaseConnection):
    """A connection that a caller has opened."""

    def __init__(
        self,
        limits: ServerLimits,
        serve: 'Callable[[ServerConnection], Coroutine[Any, Any, None]]',
        registry: 'ConnectionRegistry',
    ) -> None:
        """Runs `serve` and is in the registry while connected."""
        super().__init__(h11.SERVER, limits.max_head_bytes)
        self.phase = Phase.IDLE
        self.remote = ''
        self.response_count = 0
        self.on_disconnect: Callable[[], object] | None = None
        self.on_early_bytes: Callable[[], object] | None = None
        self._limits = limits
        self._serve = serve
        self._registry = registry
        self._task: asyncio.Task[None] | None = None
        self._phase_deadline = math.inf
        self._write_deadline = math.inf

    @property
    def has_unsent_response(self) -> bool:
        """Whether a request has begun but its response is not fully sent."""
        if self.phase in {Phase.HEAD, Phase.REQUEST}:
            return True
        return self.transport.get_write_buffer_size() > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and starts the task that serves it."""
        super().connection_made(transport)
        # There is no address if the caller has already reset the connection.
        peer = transport.get_extra_info('peername') or ('', 0)
        self.remote = f'{peer[0]}:{peer[1]}'
        self._registry.add(self)
        self.start_waiting_for_head()
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._serve(self))

    def data_received(self, data: bytes) -> None:
        """Buffers bytes; the first byte of a head starts its timeout."""
        if self.phase is Phase.CLOSING:
            return
        self.reader.add_received(data)
        if self.phase is Phase.IDLE:
            self.start_waiting_for_head()
        elif self.phase is Phase.REQUEST and self.on_early_bytes is not None:
            self.on_early_bytes()

    def eof_received(self) -> bool:
        """Cancels the handler: an end of stream counts as a disconnect."""
        super().eof_received()
        self._cancel_handler()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the handler and leaves the registry."""
        super().connection_lost(exc)
        self._cancel_handler()
        self._registry.discard(self)

    def pause_writing(self) -> None:
        """Starts the write timeout of a caller that reads too slowly."""
        super().pause_writing()
        self._write_deadline = now() + self._limits.write_timeout

    def resume_writing(self) -> None:
        """Stops the write timeout."""
        self._write_deadline = math.inf
        super().resume_writing()

    def start_waiting_for_head(self) -> None:
        """Starts the keep-alive timeout or the head timeout.

        The head timeout applies if the first byte of a head has arrived.
        """
        if self.reader.has_unread_bytes:
            self.phase = Phase.HEAD
            self._phase_deadline = now() + self._limits.head_timeout
        else:
            self.phase = Phase.IDLE
            self._phase_deadline = now() + self._limits.keep_alive_timeout

    def begin_request(self) -> None:
        """Stops the head timeout, because the head has been read."""
        self.phase = Phase.REQUEST
        self._phase_deadline = math.inf

    def close_if_idle(self) -> None:
        """Closes the connection if no request is in progress."""
        if self.phase is Phase.IDLE and self.has_no_pending_input:
            self.phase = Phase.CLOSING
            self.transport.close()

    def start_lingering_close(self) -> None:
        """Ends the sending direction and discards further input.

        The connection is aborted if the caller does not close in time.
        """
        self.phase = Phase.CLOSING
        if self.transport.is_closing():
            return
        self.reader.discard_received()
        is_flushed = self.transport.get_write_buffer_size() == 0
        self.transport.write_eof()
        close_timeout = (
            LINGERING_CLOSE_SECONDS
            if is_flushed
            else self._limits.write_timeout
        )
        self._phase_deadline = now() + close_timeout

    def enforce_timeouts(self) -> None:
        """Applies every timeout that has expired."""
        current_time = now()
        if current_time >= self._write_deadline:
            self.abort()
        if current_time < self._phase_deadline:
            return
        if self.phase is Phase.HEAD:
            self.reader.fail(TimeoutError())
        elif self.phase is Phase.IDLE:
            self.close_if_idle()
        elif self.phase is Phase.CLOSING:
            self.abort()

    def _cancel_handler(self) -> None:
        if self.phase is Phase.CLOSING:
            return
        if self.on_disconnect is not None:
            self.on_disconnect()
        if self._task is not None:
            self._task.cancel()
