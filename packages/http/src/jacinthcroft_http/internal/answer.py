"""An answer to a request of ours."""

from collections import deque
from collections.abc import AsyncIterator
from typing import Literal

import h11
from attrs import define, field

from jacinthcroft_http.internal.client_connection import ClientConnection
from jacinthcroft_http.internal.event_reader import Event
from jacinthcroft_http.internal.headers import Headers
from jacinthcroft_http.internal.messages import read_up_to
from jacinthcroft_http.internal.outcomes import (
    BodyCut,
    BodyTooLarge,
    Interrupted,
)


def interruption_of(error: Exception) -> Interrupted:
    """Names how a connection failed while in use."""
    reason: Literal['timeout', 'reset', 'protocol'] = 'protocol'
    if isinstance(error, TimeoutError):
        reason = 'timeout'
    elif isinstance(error, OSError):
        reason = 'reset'
    return Interrupted(reason, str(error))


@define(eq=False)
class Answer:
    """An answer whose head has come; its body is read once.

    Whoever gets an answer reads it to its end or calls `close`. An answer
    that is not framed ends with its connection, so that one whose target
    died in the middle looks whole.
    """

    status: int
    headers: Headers
    is_framed: bool
    _connection: ClientConnection
    _chunks: deque[bytes] = field(factory=deque, init=False)
    _is_ended: bool = field(default=False, init=False)

    @property
    def is_complete(self) -> bool:
        """Whether the whole body has come, so that reading never waits."""
        return self._is_ended

    @property
    def idle_seconds(self) -> float | None:
        """For how long its connection had been idle, None for a new one."""
        return self._connection.idle_seconds

    @property
    def body(self) -> AsyncIterator[bytes]:
        """The body's chunks.

        Raises:
            BodyCut: While iterating, if the answer breaks off.
        """
        return self

    def __aiter__(self) -> 'Answer':
        """Returns itself: a body can be read once."""
        return self

    async def __anext__(self) -> bytes:
        """Returns the next chunk.

        Raises:
            BodyCut: If the answer breaks off.
        """
        if not self._chunks and not self._is_ended:
            self._take(await self._receive())
        if self._chunks:
            return self._chunks.popleft()
        raise StopAsyncIteration

    async def aclose(self) -> None:
        """Closes the connection unless the body has come to its end."""
        self.close()

    async def read(self, limit: int) -> bytes | BodyTooLarge | Interrupted:
        """Reads the whole body, up to a limit in bytes."""
        try:
            body = await read_up_to(self, limit)
        except BodyCut as cut:
            return cut.cause
        if isinstance(body, BodyTooLarge):
            self.close()
        return body

    def close(self) -> None:
        """Gives the answer up, and its connection if still reading."""
        self._chunks.clear()
        if not self._is_ended:
            self._is_ended = True
            self._connection.give_up()

    def take_what_came(self) -> None:
        """Takes the part of the body that is here, without waiting."""
        event: Event = h11.PAUSED
        while not self._is_ended and event is not h11.NEED_DATA:
            try:
                event = self._connection.reader.receive_now()
            except (h11.RemoteProtocolError, OSError):
                # The reader tells it again to whoever reads the body.
                return
            if event is not h11.NEED_DATA:
                self._take(event)

    async def _receive(self) -> Event:
        try:
            return await self._connection.reader.receive()
        except (OSError, h11.RemoteProtocolError) as error:
            self.close()
            raise BodyCut(interruption_of(error)) from error
        except BaseException:
            # Cancelled: giving up the answer is passed on by closing.
            self.close()
            raise

    def _take(self, event: Event) -> None:
        if isinstance(event, h11.Data):
            self._chunks.append(bytes(event.data))
        else:
            self._is_ended = True
            self._connection.release()
