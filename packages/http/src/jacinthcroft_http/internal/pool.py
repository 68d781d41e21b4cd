"""Kept-alive connections to targets and peers."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Self

from attrs import frozen

from jacinthcroft_http.internal.client_connection import (
    ClientConnection,
    PoolKey,
)
from jacinthcroft_http.internal.clock import now
from jacinthcroft_http.internal.exchange import SendOutcome, exchange
from jacinthcroft_http.internal.messages import OutgoingRequest
from jacinthcroft_http.internal.outcomes import Interrupted, NothingSent
from jacinthcroft_http.internal.waiting import Timeout


@frozen
class PoolLimits:
    """How many idle connections are kept; timeouts in seconds."""

    max_idle_per_address: int = 8
    idle_timeout: float = 20.0
    connect_timeout: float = 1.0


class ConnectionPool:
    """Sends requests over connections that it keeps per address."""

    def __init__(self, limits: PoolLimits) -> None:
        """Starts empty; connections are opened when needed."""
        self._limits = limits
        self._idle: dict[PoolKey, list[ClientConnection]] = {}
        self._open: Counter[PoolKey] = Counter()
        self._all: set[ClientConnection] = set()
        self._sweep_timeout = Timeout()
        self._is_closed = False

    @classmethod
    def from_limits(cls, limits: PoolLimits) -> Self:
        """Makes a pool that keeps to the limits."""
        return cls(limits)

    def open_connections(self, host: str, port: int) -> int:
        """Returns how many connections to an address are open or opening."""
        return self._open[(host, port)]

    def idle_connections(self, host: str, port: int) -> int:
        """Returns how many connections to an address await a request."""
        return len(self._idle.get((host, port), ()))

    async def send(
        self,
        request: OutgoingRequest,
        timeout: float,
        before_first_byte: Callable[[], bool] | None = None,
        on_finished: Callable[[], None] | None = None,
    ) -> SendOutcome:
        """Sends a request, once, and returns its answer or why there is none.

        Args:
            request: What to send; it is never sent a second time.
            timeout: Seconds from now to the end of the answer's body.
            before_first_byte: Asked right before the first write, with no
                await between; the request is withheld if it returns False.
            on_finished: Called once after the first write, when the other side
                has answered in full, has closed the connection, or has had
                `timeout` seconds. An exchange that is given up is over only
                then: the word of it may be lost on the way.

        Raises:
            BodyCut: If the request's own iterated body breaks off.
        """
        expiry = now() + timeout
        connection = self._take_idle(request)
        if connection is None:
            opened = await self._connect(request, timeout)
            if isinstance(opened, NothingSent):
                return opened
            connection = opened
        left = expiry - now()
        if left <= 0:
            connection.close()
            return NothingSent('timeout', 'time ran out before the write')
        connection.begin(left, on_finished)
        timed = request.with_time_left(left)
        outcome = await exchange(connection, timed, before_first_byte)
        if isinstance(outcome, Interrupted):
            return replace(outcome, idle_seconds=connection.idle_seconds)
        return outcome

    async def close(self) -> None:
        """Closes every connection, also those in use."""
        self._is_closed = True
        self._sweep_timeout.stop()
        for connection in tuple(self._all):
            connection.close()
        # The transports report their end on the loop's next turn.
        await asyncio.sleep(0)

    def _take_idle(self, request: OutgoingRequest) -> ClientConnection | None:
        idle = self._idle.get((request.host, request.port), [])
        while idle:
            # The last one has rested for the shortest time.
            connection = idle[-1]
            if connection.has_rested(request.max_rest):
                return None
            idle.pop()
            if connection.is_usable(self._limits.idle_timeout):
                return connection
            connection.close()
        return None

    async def _connect(
        self,
        request: OutgoingRequest,
        timeout: float,
    ) -> ClientConnection | NothingSent:
        if self._is_closed:
            return NothingSent('closed', 'the pool is closed')
        limit = min(timeout, self._limits.connect_timeout)
        connection = self._new_connection((request.host, request.port))
        try:
            await _open(connection, limit)
        except TimeoutError:
            self._on_closed(connection)
            return NothingSent('connect-timeout', f'none in {limit:.3f} s')
        except OSError as error:
            self._on_closed(connection)
            return NothingSent('connect-failed', str(error))
        except BaseException:
            self._on_closed(connection)
            raise
        return connection

    def _new_connection(self, key: PoolKey) -> ClientConnection:
        connection = ClientConnection(key, self._on_released, self._on_closed)
        self._all.add(connection)
        self._open[key] += 1
        return connection

    def _on_released(self, connection: ClientConnection) -> None:
        idle = self._idle.setdefault(connection.key, [])
        if self._is_closed:
            connection.close()
            return
        if len(idle) >= self._limits.max_idle_per_address:
            idle.pop(0).close()
        idle.append(connection)
        if not self._sweep_timeout.is_pending:
            self._schedule_sweep()

    def _on_closed(self, connection: ClientConnection) -> None:
        # Failing to open and losing the transport may both lead here.
        if connection not in self._all:
            return
        self._all.discard(connection)
        self._open[connection.key] -= 1
        if not self._open[connection.key]:
            self._open.pop(connection.key)
            self._idle.pop(connection.key, None)
        elif connection in self._idle.get(connection.key, ()):
            self._idle[connection.key].remove(connection)

    def _schedule_sweep(self) -> None:
        self._sweep_timeout.start(self._limits.idle_timeout, self._sweep)

    def _sweep(self) -> None:
        self._sweep_timeout.stop()
        for idle in tuple(self._idle.values()):
            for connection in tuple(idle):
                if not connection.is_usable(self._limits.idle_timeout):
                    connection.close()
        if any(self._idle.values()):
            self._schedule_sweep()


async def _open(connection: ClientConnection, limit: float) -> None:
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(limit):
        await loop.create_connection(lambda: connection, *connection.key)
