"""The body of the request that a connection is serving."""

from typing import Final

import h11

from jacinthcroft_http.internal.outcomes import BodyCut, Interrupted
from jacinthcroft_http.internal.wire import Wire

_CONTINUE: Final = h11.InformationalResponse(
    status_code=100,
    headers=[],
    reason=b'Continue',
)


class RequestBody:
    """Chunks of a body, read from the wire as its reader wants them."""

    def __init__(self, wire: Wire) -> None:
        """Reads from a wire until the body's end."""
        self._wire = wire

    @property
    def is_ended(self) -> bool:
        """Whether the body has been read to its end."""
        return self._wire.parser.their_state in {h11.DONE, h11.MUST_CLOSE}

    def __aiter__(self) -> 'RequestBody':
        """Returns itself: a body can be read once."""
        return self

    async def __anext__(self) -> bytes:
        """Returns the next chunk.

        Raises:
            BodyCut: If the caller breaks the protocol or disconnects.
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

    def skip(self) -> None:
        """Drops what is left of the body, as far as it has come.

        Raises:
            h11.RemoteProtocolError: If the caller breaks the protocol.
        """
        while not self.is_ended:
            if self._wire.reader.receive_now() is h11.NEED_DATA:
                return

    async def _next_event(self) -> object:
        if self._wire.parser.they_are_waiting_for_100_continue:
            await self._wire.write(self._wire.send(_CONTINUE))
        return await self._wire.reader.receive()
