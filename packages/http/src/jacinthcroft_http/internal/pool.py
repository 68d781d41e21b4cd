"""A pool of kept-alive connections to targets and other VMs."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Self

from attrs import frozen

from jacinthcroft_http.internal.client_connection import (
    Address,
    ClientConnection,
)
from jacinthcroft_http.internal.clock import now
from jacinthcroft_http.internal.exchange import SendOutcome, exchange
from jacinthcroft_http.internal.messages import OutgoingRequest
from jacinthcroft_http.internal.outcomes import Interrupted, NothingSent
from jacinthcroft_http.internal.waiting import Timeout


@frozen
class PoolLimits:
    """Limits of a connection pool; timeouts in seconds."""

    max_idle_per_address: int = 8
    idle_timeout: float = 20.0
    connect_timeout: float = 1.0


class ConnectionPool:
    """Sends requests and keeps idle connections for each address."""

    def __init__(self, limits: PoolLimits) -> None:
        """Creates an empty pool; connections are opened on demand."""
        self._limits = limits
        self._idle: dict[Address, list[ClientConnection]] = {}
        self._open_counts: Counter[Address] = Counter()
        self._connections: set[ClientConnection] = set()
        self._sweep_timeout = Timeout()
        self._is_closed = False

    @classmethod
    def from_limits(cls, limits: PoolLimits) -> Self:
        """Creates a pool with the given limits."""
        return cls(limits)

    def open_connections(self, host: str, port: int) -> int:
        """Returns how many connections to an address are open or opening."""
        return self._open_counts[(host, port)]

    def idle_connections(self, host: str, port: int) -> int:
        """Returns how many connections to an address are idle."""
        return len(self._idle.get((host, port), ()))

    async def send(
        self,
        request: OutgoingRequest,
        timeout: float,
        before_first_byte: Callable[[], bool] | None = None,
        on_finished: Callable[[], None] | None = None,
    ) -> SendOutcome:
        """Sends a request once; returns its response or the failure.

        Args:
            request: The request; it is never retried.
            timeout: Seconds from now to the end of the response body.
            before_first_byte: Called right before the first write, with no
                await between; nothing is sent if it returns False.
            on_finished: Called once after the first write, when the response
                is complete, the other side has closed the connection, or
                `timeout` seconds have passed. An abandoned exchange also
                finishes only then, because the other side may not receive
                the news that it was abandoned.

        Raises:
            BodyCut: If the request's iterated body ends prematurely.
        """
        deadline = now() + timeout
        connection = self._pop_idle(request)
        if connection is None:
            opened = await self._connect(request, timeout)
            if isinstance(opened, NothingSent):
                return opened
            connection = opened
        seconds_left = deadline - now()
        if seconds_left <= 0:
            connection.close()
            return NothingSent(
                'timeout', 'timeout expired before the first write'
            )
        connection.begin_exchange(seconds_left, on_finished)
        request_with_time_left = request.with_time_left(seconds_left)
        outcome = await exchange(
            connection, request_with_time_left, before_first_byte
        )
        if isinstance(outcome, Interrupted):
            return replace(outcome, idle_seconds=connection.idle_seconds)
        return outcome

    async def close(self) -> None:
        """Closes every connection, including those in use."""
        self._is_closed = True
        self._sweep_timeout.stop()
        for connection in tuple(self._connections):
            connection.close()
        # The transports report the close in the loop's next iteration.
        await asyncio.sleep(0)

    def _pop_idle(self, request: OutgoingRequest) -> ClientConnection | None:
        idle = self._idle.get((request.host, request.port), [])
        while idle:
            # The last one has been idle for the shortest time.
            connection = idle[-1]
            if connection.is_idle_longer_than(request.max_rest):
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
            await _establish(connection, limit)
        except TimeoutError:
            self._on_closed(connection)
            return NothingSent(
                'connect-timeout', f'no connection within {limit:.3f} s'
            )
        except (OSError, ValueError, OverflowError) as error:
            # The last two are raised for a host or port that can't exist.
            self._on_closed(connection)
            return NothingSent('connect-failed', str(error))
        except BaseException:
            self._on_closed(connection)
            raise
        return connection

    def _new_connection(self, address: Address) -> ClientConnection:
        connection = ClientConnection(
            address, self._on_released, self._on_closed
        )
        self._connections.add(connection)
        self._open_counts[address] += 1
        return connection

    def _on_released(self, connection: ClientConnection) -> None:
        idle = self._idle.setdefault(connection.address, [])
        if self._is_closed:
            connection.close()
            return
        if len(idle) >= self._limits.max_idle_per_address:
            idle.pop(0).close()
        idle.append(connection)
        if not self._sweep_timeout.is_pending:
            self._schedule_sweep()

    def _on_closed(self, connection: ClientConnection) -> None:
        # A failed connect and `connection_lost` may both call this method.
        if connection not in self._connections:
            return
        self._connections.discard(connection)
        self._open_counts[connection.address] -= 1
        if not self._open_counts[connection.address]:
            self._open_counts.pop(connection.address)
            self._idle.pop(connection.address, None)
        elif connection in self._idle.get(connection.address, ()):
            self._idle[connection.address].remove(connection)

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


async def _establish(connection: ClientConnection, limit: float) -> None:
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(limit):
        await loop.create_connection(lambda: connection, *connection.address)
