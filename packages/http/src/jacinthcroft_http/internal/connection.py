"""A caller's connection: its phases, its timeouts and its end.

Each connection is served by one task from beginning to end. A caller that
disconnects cancels that task, and with it the handler it is running.
"""

import asyncio
import enum
import math
from collections.abc import Callable, Coroutine
from typing import Any, Final, Protocol

import h11
from attrs import frozen

from jacinthcroft_http.internal.clock import now
from jacinthcroft_http.internal.wire import Wire

# How long a closing connection still swallows what its caller sends: closing
# with unread bytes would reset the connection and could destroy the answer.
LINGER_SECONDS: Final = 1.0


@frozen
class ServerLimits:
    """What one connection may cost: bytes, and timeouts in seconds.

    `head_timeout` counts from a head's first byte, `keep_alive_timeout`
    while no request is under way, and `write_timeout` while the caller does
    not take what is written.
    """

    max_head_bytes: int = 16384
    head_timeout: float = 5.0
    keep_alive_timeout: float = 60.0
    write_timeout: float = 30.0

    @property
    def shortest_timeout(self) -> float:
        """The shortest of the timeouts, in seconds."""
        return min(
            LINGER_SECONDS,
            self.head_timeout,
            self.keep_alive_timeout,
            self.write_timeout,
        )


class Phase(enum.Enum):
    """What a connection is busy with."""

    IDLE = 'idle'
    HEAD = 'head'
    REQUEST = 'request'
    CLOSING = 'closing'


class Members(Protocol):
    """The open connections of a server."""

    def add(self, connection: 'ServerConnection') -> None:
        """Takes in a connection that has opened."""

    def discard(self, connection: 'ServerConnection') -> None:
        """Forgets a connection that has closed."""


class ServerConnection(Wire):
    """The connection of one caller."""

    def __init__(
        self,
        limits: ServerLimits,
        serve: 'Callable[[ServerConnection], Coroutine[Any, Any, None]]',
        members: 'Members',
    ) -> None:
        """Runs `serve` and is one of the members while connected."""
        super().__init__(h11.SERVER, limits.max_head_bytes)
        self.phase = Phase.IDLE
        self.remote = ''
        self.served = 0
        self.on_disconnect: Callable[[], object] | None = None
        self._limits = limits
        self._serve = serve
        self._members = members
        self._task: asyncio.Task[None] | None = None
        self._phase_deadline = math.inf
        self._write_deadline = math.inf

    @property
    def owes_answer(self) -> bool:
        """Whether a request was begun that has not been wholly answered."""
        if self.phase in {Phase.HEAD, Phase.REQUEST}:
            return True
        return self.transport.get_write_buffer_size() > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts serving."""
        super().connection_made(transport)
        # A caller that has reset the connection already has no address.
        peer = transport.get_extra_info('peername') or ('', 0)
        self.remote = f'{peer[0]}:{peer[1]}'
        self._members.add(self)
        self.await_head()
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._serve(self))

    def data_received(self, data: bytes) -> None:
        """Starts the head's timeout with its first byte."""
        if self.phase is Phase.CLOSING:
            return
        self.reader.put(data)
        if self.phase is Phase.IDLE:
            self.await_head()

    def eof_received(self) -> bool:
        """Takes the end of the stream for a caller that has gone."""
        super().eof_received()
        self._cancel()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the handler and tells the server."""
        super().connection_lost(exc)
        self._cancel()
        self._members.discard(self)

    def pause_writing(self) -> None:
        """Gives a caller that reads too slowly limited time."""
        super().pause_writing()
        self._write_deadline = now() + self._limits.write_timeout

    def resume_writing(self) -> None:
        """Stops the timeout of a slow caller."""
        self._write_deadline = math.inf
        super().resume_writing()

    def await_head(self) -> None:
        """Waits for a request's first byte, or for the rest of its head."""
        if self.reader.has_unread_bytes:
            self.phase = Phase.HEAD
            self._phase_deadline = now() + self._limits.head_timeout
        else:
            self.phase = Phase.IDLE
            self._phase_deadline = now() + self._limits.keep_alive_timeout

    def begin_request(self) -> None:
        """Ends the head's timeout."""
        self.phase = Phase.REQUEST
        self._phase_deadline = math.inf

    def close_if_idle(self) -> None:
        """Closes a connection on which no request is under way."""
        if self.phase is Phase.IDLE and self.is_quiet:
            self.phase = Phase.CLOSING
            self.transport.close()

    def linger(self) -> None:
        """Closes once what was written has been taken."""
        self.phase = Phase.CLOSING
        if self.transport.is_closing():
            return
        self.reader.clear()
        is_flushed = self.transport.get_write_buffer_size() == 0
        self.transport.write_eof()
        patience = LINGER_SECONDS if is_flushed else self._limits.write_timeout
        self._phase_deadline = now() + patience

    def enforce_timeouts(self) -> None:
        """Ends what has outlived its timeout."""
        at = now()
        if at >= self._write_deadline:
            self.abort()
        if at < self._phase_deadline:
            return
        if self.phase is Phase.HEAD:
            self.reader.fail(TimeoutError())
        elif self.phase is Phase.IDLE:
            self.close_if_idle()
        elif self.phase is Phase.CLOSING:
            self.abort()

    def _cancel(self) -> None:
        if self.phase is Phase.CLOSING:
            return
        if self.on_disconnect is not None:
            self.on_disconnect()
        if self._task is not None:
            self._task.cancel()
