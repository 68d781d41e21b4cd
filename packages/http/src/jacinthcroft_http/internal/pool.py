"""Kept-alive connections to targets and peers."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Self

from attrs import frozen

from jacinthcroft_http.internal.clock import now
from jacinthcroft_http.internal.exchange import (
    ClientConnection,
    SendOutcome,
    exchange,
)
from jacinthcroft_http.internal.messages import OutgoingRequest
from jacinthcroft_http.internal.outcomes import NothingSent

_Key = tuple[str, int]


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
        self._idle: dict[_Key, list[ClientConnection]] = {}
        self._open: Counter[_Key] = Counter()
        self._all: set[ClientConnection] = set()
        self._sweeper: asyncio.TimerHandle | None = None
        self._is_closed = False

    @classmethod
    def from_limits(cls, limits: PoolLimits) -> Self:
        """Makes a pool that keeps to the limits."""
        return cls(limits)

    def open_connections(self, host: str, port: int) -> int:
        """Returns how many connections to an address are open or opening."""
        return self._open[(host, port)]

    def idle_connections(self, host: str, port: int) -> int:
        """Returns how many connections to an address wait for a request."""
        return len(self._idle.get((host, port), ()))

    async def send(
        self,
        request: OutgoingRequest,
        timeout: float,
        before_first_byte: Callable[[], bool] | None = None,
    ) -> SendOutcome:
        """Sends a request, once, and returns its answer or why there is none.

        Args:
            request: What to send; it is never sent a second time.
            timeout: Seconds from now to the end of the answer's body.
            before_first_byte: Asked right before the first write, with no
                await between; the request is withheld if it returns False.

        Raises:
            BodyCut: If the request's own iterated body breaks off.
        """
        expiry = now() + timeout
        connection = self._take_idle((request.host, request.port))
        if connection is None:
            opened = await self._connect(request, timeout)
            if isinstance(opened, NothingSent):
                return opened
            connection = opened
        left = expiry - now()
        if left <= 0:
            connection.close()
            return NothingSent('timeout', 'time ran out before the write')
        connection.start_timeout(left)
        return await exchange(connection, request, before_first_byte)

    async def close(self) -> None:
        """Closes every connection, also those in use."""
        self._is_closed = True
        if self._sweeper is not None:
            self._sweeper.cancel()
            self._sweeper = None
        for connection in tuple(self._all):
            connection.close()
        # The transports report their end on the loop's next turn.
        await asyncio.sleep(0)

    def _take_idle(self, key: _Key) -> ClientConnection | None:
        idle = self._idle.get(key, [])
        oldest = now() - self._limits.idle_timeout
        while idle:
            connection = idle.pop()
            if connection.is_open and connection.idle_since > oldest:
                connection.is_idle = False
                return connection
            connection.close()
        return None

    async def _connect(
        self,
        request: OutgoingRequest,
        timeout: float,
    ) -> ClientConnection | NothingSent:
        key = (request.host, request.port)
        if self._is_closed:
            return NothingSent('closed', 'the pool is closed')
        self._open[key] += 1
        limit = min(timeout, self._limits.connect_timeout)
        connection = None
        try:
            async with asyncio.timeout(limit):
                connection = await self._open_connection(key)
        except TimeoutError:
            return NothingSent('connect-timeout', f'none in {limit:.3f} s')
        except OSError as error:
            return NothingSent('connect-failed', str(error))
        finally:
            if connection is None:
                self._forget(key)
        self._all.add(connection)
        return connection

    async def _open_connection(self, key: _Key) -> ClientConnection:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: ClientConnection(key, self._release, self._on_closed),
            *key,
        )
        return connection

    def _release(self, connection: ClientConnection) -> None:
        idle = self._idle.setdefault(connection.key, [])
        if self._is_closed or len(idle) >= self._limits.max_idle_per_address:
            connection.close()
            return
        connection.is_idle = True
        connection.idle_since = now()
        idle.append(connection)
        if self._sweeper is None:
            self._schedule_sweep()

    def _on_closed(self, connection: ClientConnection) -> None:
        if connection not in self._all:
            return
        self._all.discard(connection)
        self._forget(connection.key)
        idle = self._idle.get(connection.key, [])
        if connection in idle:
            idle.remove(connection)

    def _forget(self, key: _Key) -> None:
        self._open[key] -= 1
        if not self._open[key]:
            self._open.pop(key)
            self._idle.pop(key, None)

    def _schedule_sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._sweeper = loop.call_later(self._limits.idle_timeout, self._sweep)

    def _sweep(self) -> None:
        self._sweeper = None
        oldest = now() - self._limits.idle_timeout
        for idle in tuple(self._idle.values()):
            for connection in tuple(idle):
                if connection.idle_since <= oldest:
                    idle.remove(connection)
                    connection.close()
        if any(self._idle.values()):
            self._schedule_sweep()
