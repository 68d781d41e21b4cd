"""Ports for processes that must know them before they listen.

They lie below the range from which the system takes the ports of outgoing
connections, so that a killed VM finds its ports free when it comes back.
Every test process has a block of its own.
"""

import os
import socket

from attrs import define, field
from jacinthcroft_config import Address

from jacinthcroft_testkit.internal.control import LOOPBACK

_FIRST_PORT = 10_000
_LAST_PORT = 32_000
_BLOCK_PORTS = 200
_BLOCKS = (_LAST_PORT - _FIRST_PORT) // _BLOCK_PORTS


class NoFreePort(Exception):
    """All ports below the system's own range are taken."""


def _first_port() -> int:
    return _FIRST_PORT + os.getpid() % _BLOCKS * _BLOCK_PORTS


@define
class PortAllocator:
    """Hands out each free port once."""

    _next_port: int = field(factory=_first_port, init=False)

    def take(self) -> Address:
        """Returns an address on which nobody listens.

        Raises:
            NoFreePort: If there is none.
        """
        for _ in range(_LAST_PORT - _FIRST_PORT):
            address = Address(LOOPBACK, self._next_port)
            self._next_port += 1
            if self._next_port > _LAST_PORT:
                self._next_port = _FIRST_PORT
            if _is_free(address):
                return address
        raise NoFreePort


def _is_free(address: Address) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((address.host, address.port))
        except OSError:
            return False
    return True
