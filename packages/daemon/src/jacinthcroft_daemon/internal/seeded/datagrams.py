"""Sends and receives the datagrams between VMs on one UDP port."""

import asyncio
from collections.abc import Callable
from typing import Any, Self, cast

from attrs import define, field
from jacinthcroft_http import now

from jacinthcroft_daemon.internal.seeded.schemas import InvalidMessage
from jacinthcroft_daemon.internal.seeded.wire import (
    DatagramKind,
    unpack_datagram,
)
from jacinthcroft_daemon.internal.telemetry.repeats import RateLimitedLog

# Decodes the fields of a datagram from a host; raises InvalidMessage if it
# can't.
Unpack = Callable[[str, list[Any]], Any]
# Gets the sender's host and the message that was decoded.
DatagramHandler = Callable[[str, Any], None]
# Between log lines about the same sender or the same network error.
_LOG_INTERVAL_SECONDS = 5.0


@define(eq=False)
class Datagrams(asyncio.DatagramProtocol):
    """The UDP port of a VM; datagrams may be lost at any time."""

    port: int
    _handlers: dict[DatagramKind, tuple[Unpack, DatagramHandler]] = field(
        factory=dict,
    )
    _transport: asyncio.DatagramTransport | None = None
    _repeat_log: RateLimitedLog = field(
        factory=lambda: RateLimitedLog.from_interval(_LOG_INTERVAL_SECONDS),
    )

    @classmethod
    def from_port(cls, port: int) -> Self:
        """Returns an unopened port; all VMs of a fleet use the same number."""
        return cls(port)

    def set_handler(
        self,
        kind: DatagramKind,
        unpack: Unpack,
        handler: DatagramHandler,
    ) -> None:
        """Sets how a kind of datagram is decoded and handled."""
        self._handlers[kind] = (unpack, handler)

    async def start(self, host: str) -> None:
        """Opens the port.

        Raises:
            OSError: If the port cannot be opened.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(host, self.port),
        )

    def send(self, host: str, datagram: bytes) -> None:
        """Sends a datagram to a VM, or drops it if the port is not open."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(datagram, (host, self.port))

    def close(self) -> None:
        """Closes the port."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport for sending."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Passes a datagram to its handler; logs and drops an invalid one."""
        try:
            kind, fields = unpack_datagram(data)
            unpack, handler = self._handlers[kind]
            message = unpack(addr[0], fields)
        except InvalidMessage as error:
            self._repeat_log.log(
                'warning',
                'datagram-dropped',
                addr[0],
                now(),
                detail=str(error),
            )
        else:
            handler(addr[0], message)

    def error_received(self, exc: Exception) -> None:
        """Logs an error of the network, such as a closed port at a peer."""
        self._repeat_log.log(
            'info',
            'datagram-failed',
            type(exc).__name__,
            now(),
            detail=str(exc),
        )
