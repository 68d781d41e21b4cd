"""One request and its answer on a client's connection.

An exchange owns its connection until the answer's end. Only a connection
whose answer was read to its end, with nothing after it, goes back to the
pool; every other end closes it, so that a late answer is lost together with
its connection and can never meet another request.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Final, Literal

import h11
from attrs import define, field

from jacinthcroft_http.internal.headers import Headers
from jacinthcroft_http.internal.messages import OutgoingRequest, read_up_to
from jacinthcroft_http.internal.outcomes import (
    BodyCut,
    BodyTooLarge,
    Interrupted,
    NothingSent,
)
from jacinthcroft_http.internal.wire import Event, Wire

MAX_ANSWER_HEAD_BYTES: Final = 65536
_METHODS_WITH_BODY: Final = frozenset(('POST', 'PUT', 'PATCH'))


class ClientConnection(Wire):
    """A connection to another process, in use or idle."""

    def __init__(
        self,
        key: tuple[str, int],
        on_release: 'Callable[[ClientConnection], None]',
        on_closed: 'Callable[[ClientConnection], None]',
    ) -> None:
        """Tells the pool when the connection is free or closed."""
        super().__init__(h11.CLIENT, MAX_ANSWER_HEAD_BYTES)
        self.key = key
        self.idle_since = 0.0
        self.is_idle = False
        self._on_release = on_release
        self._on_closed = on_closed
        self._timer: asyncio.TimerHandle | None = None

    @property
    def has_answer_begun(self) -> bool:
        """Whether anything came back since the request went out."""
        return self._is_eof or self.has_unread_bytes

    def data_received(self, data: bytes) -> None:
        """Keeps an answer's bytes; closes when none was asked for."""
        if self.is_idle:
            self.close()
        else:
            super().data_received(data)

    def eof_received(self) -> bool | None:
        """Makes an idle connection unusable at once."""
        super().eof_received()
        if self.is_idle:
            self.close()
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the pool."""
        super().connection_lost(exc)
        self.stop_timeout()
        self._on_closed(self)

    def start_timeout(self, seconds: float) -> None:
        """Fails the exchange when its answer has not ended in time."""
        self._timer = self.loop.call_later(seconds, self._expire)

    def stop_timeout(self) -> None:
        """Ends the exchange's timeout."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def close(self) -> None:
        """Closes at once; unsent and unread bytes are dropped."""
        self.stop_timeout()
        self.is_idle = False
        self.fail(ConnectionResetError('closed here'))
        self.transport.abort()

    def release(self) -> None:
        """Ends an exchange whose answer has come to its end."""
        self.stop_timeout()
        is_done = (
            self.parser.our_state is h11.DONE
            and self.parser.their_state is h11.DONE
        )
        if is_done and self.is_open and not self.has_unread_bytes:
            self.parser.start_next_cycle()
            self._on_release(self)
        else:
            self.close()

    def _expire(self) -> None:
        self.fail(TimeoutError('no whole answer in time'))
        self.close()


@define(eq=False)
class Answer:
    """An answer whose head has come; its body is read once.

    Whoever gets an answer reads it to its end or calls `close`.
    """

    status: int
    headers: Headers
    _connection: ClientConnection
    _chunks: list[bytes] = field(factory=list)
    _is_ended: bool = False

    @property
    def is_complete(self) -> bool:
        """Whether the whole body has come, so that reading never waits."""
        return self._is_ended

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
        if self._chunks:
            return self._chunks.pop(0)
        if self._is_ended:
            raise StopAsyncIteration
        try:
            event = await self._connection.receive()
        except (OSError, h11.RemoteProtocolError) as error:
            self.close()
            raise BodyCut(interruption_of(error)) from error
        except BaseException:
            self.close()
            raise
        if not self._take(event):
            raise StopAsyncIteration
        return self._chunks.pop(0)

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
        """Gives the answer up: closes its connection if still reading."""
        if not self._is_ended:
            self._is_ended = True
            self._chunks.clear()
            self._connection.close()

    def take_what_came(self) -> None:
        """Takes the events that are here already, without waiting."""
        try:
            event = self._connection.receive_now()
        except h11.RemoteProtocolError:
            # The parser repeats its error to whoever reads the body.
            return
        while event is not h11.NEED_DATA and self._take(event):
            try:
                event = self._connection.receive_now()
            except h11.RemoteProtocolError:
                return

    def _take(self, event: Event) -> bool:
        if isinstance(event, h11.Data):
            self._chunks.append(bytes(event.data))
            return True
        self._is_ended = True
        self._connection.release()
        return False


SendOutcome = Answer | NothingSent | Interrupted


async def exchange(
    connection: ClientConnection,
    request: OutgoingRequest,
    before_first_byte: Callable[[], bool] | None,
) -> SendOutcome:
    """Sends a request and awaits its answer's head.

    The first write follows `before_first_byte` without an await between.
    """
    try:
        first_bytes = _encode_start(connection, request)
    except (h11.LocalProtocolError, UnicodeEncodeError) as error:
        connection.close()
        return NothingSent('malformed', str(error))
    if not connection.is_open:
        connection.close()
        return NothingSent('closed', 'connection closed before the write')
    if before_first_byte is not None and not before_first_byte():
        # Nothing was written, but the parser has already moved on.
        connection.close()
        return NothingSent('withheld', 'the sender withheld the request')
    connection.transport.write(first_bytes)
    try:
        return await _finish(connection, request)
    except (OSError, h11.RemoteProtocolError) as error:
        connection.close()
        return interruption_of(error)
    except BaseException:
        connection.close()
        raise


def interruption_of(error: Exception) -> Interrupted:
    """Names how a connection failed while in use."""
    reason: Literal['timeout', 'reset', 'protocol'] = 'protocol'
    if isinstance(error, TimeoutError):
        reason = 'timeout'
    elif isinstance(error, OSError):
        reason = 'reset'
    return Interrupted(reason, str(error))


async def _finish(
    connection: ClientConnection,
    request: OutgoingRequest,
) -> Answer | Interrupted:
    if request.body is not None and not isinstance(request.body, bytes):
        await _send_chunks(connection, request.body)
    event = await connection.receive()
    while isinstance(event, h11.InformationalResponse):
        event = await connection.receive()
    if not isinstance(event, h11.Response):
        connection.close()
        return Interrupted('reset', 'closed without an answer')
    headers = Headers.from_wire(event.headers)
    answer = Answer(event.status_code, headers, connection)
    answer.take_what_came()
    return answer


async def _send_chunks(
    connection: ClientConnection,
    chunks: AsyncIterator[bytes],
) -> None:
    parser = connection.parser
    async for chunk in chunks:
        if connection.has_answer_begun:
            # Answered early: the rest of the body is of no use, and the
            # connection will not be reused because the request has no end.
            return
        await connection.write(parser.send(h11.Data(data=chunk)) or b'')
    connection.transport.write(parser.send(h11.EndOfMessage()) or b'')


def _encode_start(
    connection: ClientConnection,
    request: OutgoingRequest,
) -> bytes:
    head = h11.Request(
        method=request.method,
        target=request.target,
        headers=_framed(request).to_wire(),
    )
    encoded = connection.parser.send(head) or b''
    if request.body is None or isinstance(request.body, bytes):
        if request.body:
            data = h11.Data(data=request.body)
            encoded += connection.parser.send(data) or b''
        encoded += connection.parser.send(h11.EndOfMessage()) or b''
    return encoded


def _framed(request: OutgoingRequest) -> Headers:
    # This client never waits for `100 Continue`, so it asks for none.
    headers = request.headers.without('transfer-encoding', 'expect')
    if headers.get('host') is None:
        headers = headers.with_added(('host', f'{request.host}:{request.port}'))
    if request.body is None or isinstance(request.body, bytes):
        headers = headers.without('content-length')
        length = len(request.body or b'')
        if length or request.method in _METHODS_WITH_BODY:
            headers = headers.with_added(('content-length', str(length)))
    elif headers.get('content-length') is None:
        headers = headers.with_added(('transfer-encoding', 'chunked'))
    return headers
