"""The body of the request that a connection is serving."""

from typing import Final

import h11

from jacinthcroft_http.internal.base_connection import BaseConnection
from jacinthcroft_http.internal.outcomes import BodyCut, Interrupted

_CONTINUE_RESPONSE: Final = h11.InformationalResponse(
    status_code=100,
    headers=[],
    reason=b'Continue',
)


class RequestBody:
    """Chunks of a request body, received as the handler reads them."""

    def __init__(self, connection: BaseConnection) -> None:
        """Creates the body of the request that the connection receives."""
        self._connection = connection

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
            BodyCut: If the caller violates the protocol or disconnects.
        """
        if self.is_ended:
            raise StopAsyncIteration
        try:
            event = await self._next_event()
        except h11.RemoteProtocolError as error:
            raise BodyCut(Interrupted('protocol', str(error))) from error
        except OSError as error:
            raise BodyCut(Interrupted('reset', str(error))) from error
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

    async def _next_event(self) -> object:
        if self._connection.parser.they_are_waiting_for_100_continue:
            await self._connection.write(
                self._connection.encode(_CONTINUE_RESPONSE)
            )
        return await self._connection.reader.receive()
