"""A listening port and the connections that came through it."""

import asyncio
from typing import Self

from jacinthcroft_http.internal.clock import now
from jacinthcroft_http.internal.connection import (
    BadRequestAnswer,
    Handler,
    Phase,
    ServerConnection,
    ServerLimits,
)

BACKLOG = 1024
DRAIN_POLL_SECONDS = 0.02


class Server:
    """Serves one port until it is drained."""

    def __init__(
        self,
        limits: ServerLimits,
        handler: Handler,
        on_bad_request: BadRequestAnswer,
    ) -> None:
        """Prepares a server; `start` opens its port."""
        self._limits = limits
        self._handler = handler
        self._on_bad_request = on_bad_request
        self._connections: set[ServerConnection] = set()
        self._listener: asyncio.Server | None = None
        self._is_draining = False

    @classmethod
    def from_limits(
        cls,
        limits: ServerLimits,
        handler: Handler,
        on_bad_request: BadRequestAnswer,
    ) -> Self:
        """Makes a server that answers by `handler`.

        `on_bad_request` answers what is not a request; the connection is
        closed after that answer.
        """
        return cls(limits, handler, on_bad_request)

    @property
    def running(self) -> int:
        """How many requests are being read or answered."""
        return sum(
            connection.phase in {Phase.HEAD, Phase.REQUEST}
            for connection in self._connections
        )

    @property
    def open_connections(self) -> int:
        """How many connections are open."""
        return len(self._connections)

    async def start(self, host: str, port: int) -> int:
        """Opens the port and returns its number, for port 0 a free one.

        Raises:
            OSError: If the port cannot be had.
        """
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._connect,
            host,
            port,
            backlog=BACKLOG,
        )
        bound: int = self._listener.sockets[0].getsockname()[1]
        return bound

    async def drain(self, timeout: float) -> int:
        """Stops accepting, ends what is running and closes the rest.

        Returns:
            How many requests were cut because `timeout` seconds had passed.
        """
        # What the kernel already holds is taken in before the port closes.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self._is_draining = True
        if self._listener is not None:
            self._listener.close()
        for connection in tuple(self._connections):
            connection.is_last_request = True
            connection.close_if_idle()
        deadline = now() + timeout
        while self._connections and now() < deadline:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        cut = self.running
        for remaining in tuple(self._connections):
            remaining.abort()
        return cut

    def _connect(self) -> ServerConnection:
        connection = ServerConnection(
            self._limits,
            self._handler,
            self._on_bad_request,
            self._connections,
        )
        connection.is_last_request = self._is_draining
        return connection
