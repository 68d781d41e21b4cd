"""One UDP port: sends datagrams and hands received ones to handlers."""

import asyncio
from collections.abc import Callable
from typing import Any, Self, cast

from attrs import define, field
from jacinthcroft_http import now

from jacinthcroft_daemon.internal.seeded.wire import Kind, unpack
from jacinthcroft_daemon.internal.telemetry.repeats import RateLimitedLog

# Handlers get the sender's host and the fields.
DatagramHandler = Callable[[str, list[Any]], None]
# Seconds between log lines on the same kind of bad datagram.
_REPEAT_SECONDS = 5.0


@define(eq=False)
class Datagrams(asyncio.DatagramProtocol):
    """Datagrams of the fleet; losing one is ordinary."""

    port: int
    _handlers: dict[Kind, DatagramHandler] = field(factory=dict)
    _transport: asyncio.DatagramTransport | None = None
    _log: RateLimitedLog = field(
        factory=lambda: RateLimitedLog.from_interval(_REPEAT_SECONDS),
    )

    @classmethod
    def from_port(cls, port: int) -> Self:
        """Makes datagrams on a port that is the same on all VMs."""
        return cls(port)

    def on(self, kind: Kind, handler: DatagramHandler) -> None:
        """Registers the handler of one kind."""
        self._handlers[kind] = handler

    async def start(self, host: str) -> None:
        """Opens the port.

        Raises:
            OSError: If the port cannot be had.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(host, self.port),
        )

    def send(self, host: str, datagram: bytes) -> None:
        """Sends a datagram to a VM."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(datagram, (host, self.port))

    def close(self) -> None:
        """Closes the port."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hands a datagram to its handler; drops what is not one."""
        try:
            kind, fields = unpack(data)
            self._handlers[kind](addr[0], fields)
        except (ValueError, TypeError, LookupError) as error:
            self._log.log(
                'warning',
                'datagram-dropped',
                addr[0],
                now(),
                detail=repr(error),
            )

    def error_received(self, exc: Exception) -> None:
        """Logs what the network reported, such as a closed port."""
        self._log.log(
            'info',
            'datagram-failed',
            type(exc).__name__,
            now(),
            detail=str(exc),
        )
