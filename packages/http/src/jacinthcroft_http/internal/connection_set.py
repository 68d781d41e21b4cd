"""All connections of one server, with their timeouts and their end."""

import asyncio
from typing import Final

from jacinthcroft_http.internal.connection import (
    Phase,
    ServerConnection,
    ServerLimits,
)
from jacinthcroft_http.internal.waiting import Timeout

# Timeouts are enforced by sweeps over the connections instead of one timer
# for each, which would cost every request; so they may end this part later.
SWEEPS_PER_TIMEOUT: Final = 10


class ConnectionSet:
    """The open connections of a server."""

    def __init__(self, limits: ServerLimits) -> None:
        """Starts empty; timeouts are enforced while there are any."""
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
        """Takes a new connection in."""
        self._connections.add(connection)
        if not self._sweep_timeout.is_pending:
            self._schedule_sweep()

    def discard(self, connection: ServerConnection) -> None:
        """Forgets a connection that has closed."""
        self._connections.discard(connection)
        if not self._connections:
            self._emptied.set()

    def close_idle(self, served_at_least: int) -> None:
        """Closes idle connections that have served so many requests."""
        for connection in tuple(self._connections):
            if connection.served >= served_at_least:
                connection.close_if_idle()

    async def wait_empty(self) -> None:
        """Waits until no connection is open."""
        while self._connections:
            self._emptied.clear()
            await self._emptied.wait()

    def cut(self) -> int:
        """Aborts every connection; returns how many still owed an answer."""
        remaining = tuple(self._connections)
        owing = sum(connection.owes_answer for connection in remaining)
        for connection in remaining:
            connection.abort()
        return owing

    def _schedule_sweep(self) -> None:
        self._sweep_timeout.start(self._sweep_interval, self._sweep)

    def _sweep(self) -> None:
        self._sweep_timeout.stop()
        for connection in tuple(self._connections):
            connection.enforce_timeouts()
        if self._connections:
            self._schedule_sweep()
