"""A listening port and its connections."""

import asyncio
from typing import Final, Self

from jacinthcroft_http.internal.connection_set import ConnectionSet
from jacinthcroft_http.internal.messages import IncomingRequest
from jacinthcroft_http.internal.request_loop import (
    BadRequestAnswer,
    EarlyStart,
    Handler,
    RequestLoop,
    ServerContext,
)
from jacinthcroft_http.internal.server_connection import (
    ServerConnection,
    ServerLimits,
)

BACKLOG: Final = 1024

# Iterations of the event loop from a connection's arrival to its protocol's
# `connection_made`.
LOOP_ITERATIONS_TO_ACCEPT: Final = 4

# A connection without any request yet was probably opened for a request that is
# on its way when draining begins, so it is closed only after this time.
NEW_CONNECTION_GRACE_SECONDS: Final = 0.5


def _start_in_turn(_: IncomingRequest) -> bool:
    return False


class Server:
    """An HTTP server on one port."""

    def __init__(
        self,
        limits: ServerLimits,
        handler: Handler,
        on_bad_request: BadRequestAnswer,
        may_start_early: EarlyStart,
    ) -> None:
        """Creates a server; `start` opens its port."""
        self._context = ServerContext(
            limits,
            handler,
            on_bad_request,
            lambda: self._is_keep_alive_stopped,
            may_start_early,
        )
        self._connections = ConnectionSet(limits)
        self._listener: asyncio.Server | None = None
        self._is_keep_alive_stopped = False
        self._is_accepting_stopped = False

    @classmethod
    def from_limits(
        cls,
        limits: ServerLimits,
        handler: Handler,
        on_bad_request: BadRequestAnswer,
        may_start_early: EarlyStart = _start_in_turn,
    ) -> Self:
        """Creates a server that passes each request to `handler`.

        `on_bad_request` makes the response to a malformed request; the
        connection is closed after that response. `may_start_early` selects the
        pipelined requests that run beside the one before them; without it,
        none does.
        """
        return cls(limits, handler, on_bad_request, may_start_early)

    @property
    def running(self) -> int:
        """How many requests are being read or answered."""
        return self._connections.running

    @property
    def open_connections(self) -> int:
        """How many connections are open."""
        return len(self._connections)

    async def start(self, host: str, port: int) -> int:
        """Opens the port and returns its number; port 0 means any free port.

        Raises:
            OSError: If the port cannot be opened.
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
        """Makes every connection close after its next response.

        If this is called some seconds before `drain`, callers connect to
        other servers without losing a request on a connection that closes.
        """
        self._is_keep_alive_stopped = True

    async def drain(self, timeout: float) -> int:
        """Stops accepting, waits for running requests and closes connections.

        Returns:
            How many requests were aborted after `timeout` seconds.
        """
        await self.stop_accepting()
        if await self.wait_idle(timeout):
            return 0
        return self._connections.abort_all()

    async def stop_accepting(self) -> None:
        """Closes the port and the connections that carry no request."""
        if self._is_accepting_stopped:
            return
        self._is_accepting_stopped = True
        self.stop_keep_alive()
        # Accepts the connections in the kernel's backlog before closing.
        for _ in range(LOOP_ITERATIONS_TO_ACCEPT):
            await asyncio.sleep(0)
        if self._listener is not None:
            self._listener.close()
        self._connections.close_idle(min_response_count=1)
        asyncio.get_running_loop().call_later(
            NEW_CONNECTION_GRACE_SECONDS,
            self._close_unused,
        )

    async def wait_idle(self, timeout: float) -> bool:
        """Waits until no connection is open.

        Returns:
            Whether that was so within `timeout` seconds.
        """
        try:
            async with asyncio.timeout(timeout):
                await self._connections.wait_empty()
        except TimeoutError:
            return False
        return True

    def _close_unused(self) -> None:
        self._connections.close_idle(min_response_count=0)

    def _connect(self) -> ServerConnection:
        return ServerConnection(
            self._context.limits,
            self._serve,
            self._connections,
        )

    async def _serve(self, connection: ServerConnection) -> None:
        await RequestLoop(self._context, connection).run()
