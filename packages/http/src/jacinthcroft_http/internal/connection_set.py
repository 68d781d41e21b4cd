"""The open connections of a server and the enforcement of timeouts."""

import asyncio
from typing import Final

from jacinthcroft_http.internal.server_connection import (
    Phase,
    ServerConnection,
    ServerLimits,
)
from jacinthcroft_http.internal.waiting import Timeout

# Periodic sweeps enforce the timeouts, because a timer for each connection
# would cost time in every request. So a timeout may take effect late, by up to
# the shortest timeout divided by this number.
SWEEPS_PER_TIMEOUT: Final = 10


class ConnectionSet:
    """The open connections of a server."""

    def __init__(self, limits: ServerLimits) -> None:
        """Creates an empty set; sweeps run while it has connections."""
        self._connections: set[ServerConnection] = set()
        self._emptied = asyncio.Event()
        self._sweep_timeout = Timeout()
        self._sweep_interval = limits.shortest_timeout / SWEEPS_PER_TIMEOUT

    def __len__(self) -> int:
        """Returns how many connections are open."""
        return len(self._connections)

    @property
    def running(self) -> int:
        """How many requests are being read or answered."""
        return sum(
            connection.phase in {Phase.HEAD, Phase.REQUEST}
            for connection in self._connections
        )

    def add(self, connection: ServerConnection) -> None:
        """Adds a connection that has opened."""
        self._connections.add(connection)
        if not self._sweep_timeout.is_pending:
            self._schedule_sweep()

    def discard(self, connection: ServerConnection) -> None:
        """Removes a connection that has closed."""
        self._connections.discard(connection)
        if not self._connections:
            self._emptied.set()

    def close_idle(self, min_response_count: int) -> None:
        """Closes idle connections with at least this many responses."""
        for connection in tuple(self._connections):
            if connection.response_count >= min_response_count:
                connection.close_if_idle()

    async def wait_empty(self) -> None:
        """Waits until no connection is open."""
        while self._connections:
            self._emptied.clear()
            await self._emptied.wait()

    def abort_all(self) -> int:
        """Aborts all connections; returns how many had an unsent response."""
        remaining = tuple(self._connections)
        unsent_count = sum(
            connection.has_unsent_response for connection in remaining
        )
        for connection in remaining:
            connection.abort()
        return unsent_count

    def _schedule_sweep(self) -> None:
        self._sweep_timeout.start(self._sweep_interval, self._sweep)

    def _sweep(self) -> None:
        self._sweep_timeout.stop()
        for connection in tuple(self._connections):
            connection.enforce_timeouts()
        if self._connections:
            self._schedule_sweep()
