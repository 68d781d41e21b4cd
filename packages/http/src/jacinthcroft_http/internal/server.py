"""A listening port and the connections that came through it."""

import asyncio
from typing import Final, Self

from jacinthcroft_http.internal.connection import (
    ServerConnection,
    ServerLimits,
)
from jacinthcroft_http.internal.connection_set import ConnectionSet
from jacinthcroft_http.internal.conversation import (
    BadRequestAnswer,
    Conversation,
    Handler,
    Service,
)

BACKLOG: Final = 1024

# Turns of the loop from a connection's arrival until it is connected.
TURNS_TO_ACCEPT: Final = 4

# A connection on which no request has come yet was opened for one that is
# likely on its way when the draining begins.
NEW_CONNECTION_GRACE_SECONDS: Final = 0.5


class Server:
    """Serves one port until it is drained."""

    def __init__(
        self,
        limits: ServerLimits,
        handler: Handler,
        on_bad_request: BadRequestAnswer,
    ) -> None:
        """Prepares a server; `start` opens its port."""
        self._service = Service(
            limits,
            handler,
            on_bad_request,
            lambda: self._is_leaving,
        )
        self._connections = ConnectionSet(limits)
        self._listener: asyncio.Server | None = None
        self._is_leaving = False

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
        return self._connections.running

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

    def stop_keep_alive(self) -> None:
        """Makes each further answer its connection's last.

        Called some seconds before `drain`, this lets callers move away
        without ever finding a connection closed under a request.
        """
        self._is_leaving = True

    async def drain(self, timeout: float) -> int:
        """Stops accepting, ends what is running and closes the rest.

        Returns:
            How many requests were cut because `timeout` seconds had passed.
        """
        self.stop_keep_alive()
        # What the kernel already holds is taken in before the port closes.
        for _ in range(TURNS_TO_ACCEPT):
            await asyncio.sleep(0)
        if self._listener is not None:
            self._listener.close()
        self._connections.close_idle(served_at_least=1)
        asyncio.get_running_loop().call_later(
            NEW_CONNECTION_GRACE_SECONDS,
            self._close_unused,
        )
        try:
            async with asyncio.timeout(timeout):
                await self._connections.wait_empty()
        except TimeoutError:
            return self._connections.cut()
        return 0

    def _close_unused(self) -> None:
        self._connections.close_idle(served_at_least=0)

    def _connect(self) -> ServerConnection:
        return ServerConnection(
            self._service.limits,
            self._serve,
            self._connections,
        )

    async def _serve(self, connection: ServerConnection) -> None:
        await Conversation(self._service, connection).run()
