"""Asks the operator ports of VMs, all at the same time."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus
from http.client import HTTPConnection, HTTPException

from attrs import frozen
from jacinthcroft_config import Address

MAX_ANSWER_BYTES = 16_777_216


@dataclass(frozen=True)
class Answer:
    """What a VM answered, as text."""

    address: Address
    text: str


@dataclass(frozen=True)
class NotFound:
    """The VM knows nothing of what was asked."""

    address: Address


@dataclass(frozen=True)
class Unreachable:
    """The VM gave no usable answer."""

    address: Address
    reason: str


Reply = Answer | NotFound | Unreachable


@frozen
class OperatorPorts:
    """The operator ports of some VMs.

    `timeout_seconds` bounds each step of an exchange: connecting, sending
    and each read.
    """

    addresses: Sequence[Address]
    timeout_seconds: float

    def ask(self, path: str) -> list[Reply]:
        """Sends `GET path` to every VM; the replies are in their order."""
        return asyncio.run(self._ask_all(path))

    async def _ask_all(self, path: str) -> list[Reply]:
        # http.client blocks, so each exchange has a thread of its own; a VM
        # that hangs holds up no other.
        exchanges = (
            asyncio.to_thread(self._ask_one, address, path)
            for address in self.addresses
        )
        return await asyncio.gather(*exchanges)

    def _ask_one(self, address: Address, path: str) -> Reply:
        connection = HTTPConnection(
            address.host,
            address.port,
            timeout=self.timeout_seconds,
        )
        try:
            return _exchange(connection, address, path)
        except (OSError, HTTPException, ValueError) as error:
            reason = str(error) or type(error).__name__
            return Unreachable(address, reason)
        finally:
            connection.close()


def _exchange(
    connection: HTTPConnection,
    address: Address,
    path: str,
) -> Reply:
    connection.request('GET', path)
    response = connection.getresponse()
    body = response.read(MAX_ANSWER_BYTES)
    if response.status == HTTPStatus.NOT_FOUND:
        return NotFound(address)
    if response.status != HTTPStatus.OK:
        return Unreachable(address, f'status {response.status}')
    return Answer(address, body.decode('utf-8'))
