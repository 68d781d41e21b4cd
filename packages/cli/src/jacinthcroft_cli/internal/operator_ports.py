"""Queries the operator ports of VMs concurrently."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus
from http.client import HTTPConnection, HTTPException

from attrs import frozen
from jacinthcroft_config import Address

MAX_RESPONSE_BYTES = 16_777_216


@dataclass(frozen=True)
class TextResponse:
    """The body of a successful response, as text."""

    address: Address
    text: str


@dataclass(frozen=True)
class NotFound:
    """The VM answered that it does not have the requested path."""

    address: Address


@dataclass(frozen=True)
class Unreachable:
    """The VM gave no usable response; `reason` says why."""

    address: Address
    reason: str


QueryResult = TextResponse | NotFound | Unreachable


@frozen
class OperatorPorts:
    """The operator ports of some VMs.

    `timeout_seconds` limits each step of a request on its own: the connect, the
    send and each read.
    """

    addresses: Sequence[Address]
    timeout_seconds: float

    def query(self, path: str) -> list[QueryResult]:
        """Sends `GET path` to every VM; returns the results in their order."""
        return asyncio.run(self._query_all(path))

    async def _query_all(self, path: str) -> list[QueryResult]:
        # http.client blocks, so each request runs in its own thread; a VM that
        # does not respond delays no other VM.
        queries = (
            asyncio.to_thread(self._query_vm, address, path)
            for address in self.addresses
        )
        return await asyncio.gather(*queries)

    def _query_vm(self, address: Address, path: str) -> QueryResult:
        connection = HTTPConnection(
            address.host,
            address.port,
            timeout=self.timeout_seconds,
        )
        try:
            return _send_request(connection, address, path)
        except (OSError, HTTPException, ValueError) as error:
            reason = str(error) or type(error).__name__
            return Unreachable(address, reason)
        finally:
            connection.close()


def _send_request(
    connection: HTTPConnection,
    address: Address,
    path: str,
) -> QueryResult:
    connection.request('GET', path)
    response = connection.getresponse()
    body = response.read(MAX_RESPONSE_BYTES)
    if response.status == HTTPStatus.NOT_FOUND:
        return NotFound(address)
    if response.status != HTTPStatus.OK:
        return Unreachable(address, f'status {response.status}')
    return TextResponse(address, body.decode('utf-8'))
