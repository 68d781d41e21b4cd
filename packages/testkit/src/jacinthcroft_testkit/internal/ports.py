"""Ports for processes that must know them before they listen."""

import socket

from attrs import define, field
from jacinthcroft_config import Address

from jacinthcroft_testkit.internal.control import LOOPBACK


@define(eq=False)
class PortAllocator:
    """Hands out free ports and keeps them for the processes of one test.

    Each port stays bound here, without listening: no other process and no
    outgoing connection gets it, but a process that binds with
    `SO_REUSEADDR`, as asyncio's servers do, can listen on it at any time.
    """

    _reserved: list[socket.socket] = field(factory=list, init=False)

    def take(self) -> Address:
        """Returns an address that nobody else gets."""
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind((LOOPBACK, 0))
        self._reserved.append(reserved)
        return Address(LOOPBACK, reserved.getsockname()[1])

    def close(self) -> None:
        """Gives all ports back."""
        for reserved in self._reserved:
            reserved.close()
        self._reserved.clear()
