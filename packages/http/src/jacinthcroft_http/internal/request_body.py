"""The body of the request that a connection is serving."""

import asyncio
from typing import Final

import h11

from jacinthcroft_http.internal.base_connection import BaseConnection
from jacinthcroft_http.internal.event_reader import Event
from jacinthcroft_http.internal.outcomes import BodyCut, Interrupted

_CONTINUE_RESPONSE: Final = h11.InformationalResponse(
    status_code=100,
    headers=[],
    reason=b'Continue',
)


class RequestBody:
    """Chunks of a request body, received as the handler reads them."""

    def __init__(self, connection: BaseConnection, timeout: float) -> None:
        """Creates the body of the request that the connection receives.

        Args:
            connection: The connection.
            timeout: Seconds that the handler waits for the next bytes.
        """
        self._connection = connection
        self._timeout = timeout

    @property
    def is_ended(self) -> bool:
        """Whether the body has been read to its end."""
        return self._connection.parser.their_state in {h11.DONE, h11.MUST_CLOSE}

    def __aiter__(self) -> 'RequestBody':
        """Returns itself, because a body can be read only once."""
        return self

    async def __anext__(self) -> bytes:
        """Returns the next chunk.

        Raises:
            BodyCut: If the caller violates the protocol, disconnects or stops
                sending.
        """
        if not self.is_ended:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
        raise StopAsyncIteration

    def discard_received(self) -> None:
        """Discards the part of the body that has arrived but is unread.

        Raises:
            h11.RemoteProtocolError: If the caller violates the protocol.
        """
        while not self.is_ended:
            if self._connection.reader.receive_now() is h11.NEED_DATA:
                return

    async def _next_event(self) -> Event:
        try:
            return await self._receive()
        except h11.RemoteProtocolError as error:
            raise BodyCut(Interrupted('protocol', str(error))) from error
        except TimeoutError as error:
            detail = f'no bytes of the body for {self._timeout} s'
            raise BodyCut(Interrupted('timeout', detail)) from error
        except OSError as error:
            raise BodyCut(Interrupted('reset', str(error))) from error

    async def _receive(self) -> Event:
        connection = self._connection
        if connection.parser.they_are_waiting_for_100_continue:
            await connection.write(connection.encode(_CONTINUE_RESPONSE))
        event = connection.reader.receive_now()
        if event is not h11.NEED_DATA:
            return event
        async with asyncio.timeout(self._timeout):
            return await connection.reader.receive()
