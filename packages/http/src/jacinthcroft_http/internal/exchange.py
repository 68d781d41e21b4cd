"""One request of ours and its answer, on one connection."""

from collections.abc import AsyncIterator, Callable
from typing import Final

import h11

from jacinthcroft_http.internal.answer import Answer, interruption_of
from jacinthcroft_http.internal.client_connection import ClientConnection
from jacinthcroft_http.internal.event_reader import Event
from jacinthcroft_http.internal.headers import Headers
from jacinthcroft_http.internal.messages import (
    BODILESS_STATUSES,
    OutgoingRequest,
)
from jacinthcroft_http.internal.outcomes import Interrupted, NothingSent

SendOutcome = Answer | NothingSent | Interrupted

_METHODS_WITH_BODY: Final = frozenset(('POST', 'PUT', 'PATCH'))


async def exchange(
    connection: ClientConnection,
    request: OutgoingRequest,
    before_first_byte: Callable[[], bool] | None,
) -> SendOutcome:
    """Sends a request and awaits its answer's head.

    The first write follows `before_first_byte` without an await between.

    Raises:
        BodyCut: If the request's own iterated body breaks off.
    """
    refusal = _start(connection, request, before_first_byte)
    if refusal is not None:
        connection.withhold()
        return refusal
    try:
        return await _finish(connection, request)
    except (OSError, h11.RemoteProtocolError) as error:
        connection.close()
        return interruption_of(error)
    except BaseException:
        # Cancelled, or the request's body broke off.
        connection.give_up()
        raise


def _start(
    connection: ClientConnection,
    request: OutgoingRequest,
    before_first_byte: Callable[[], bool] | None,
) -> NothingSent | None:
    try:
        first_bytes = _encode_start(connection, request)
    except (h11.LocalProtocolError, UnicodeEncodeError) as error:
        return NothingSent('malformed', str(error))
    if not connection.is_open:
        return NothingSent('closed', 'connection closed before the write')
    if before_first_byte is not None and not before_first_byte():
        return NothingSent('withheld', 'the sender withheld the request')
    connection.transport.write(first_bytes)
    return None


async def _finish(
    connection: ClientConnection,
    request: OutgoingRequest,
) -> Answer | Interrupted:
    event: Event = h11.NEED_DATA
    if request.body is not None and not isinstance(request.body, bytes):
        event = await _send_chunks(connection, request.body)
    while event is h11.NEED_DATA or _is_informational(event):
        event = await connection.reader.receive()
    if not isinstance(event, h11.Response):
        connection.close()
        return Interrupted('reset', 'closed without an answer')
    headers = Headers.from_wire(event.headers.raw_items())
    connection.kept_seconds = _kept_seconds(headers)
    is_framed = _is_framed(request, event.status_code, headers)
    answer = Answer(event.status_code, headers, is_framed, connection)
    answer.take_what_came()
    return answer


async def _send_chunks(
    connection: ClientConnection,
    chunks: AsyncIterator[bytes],
) -> Event:
    """Sends a body, and returns what came back meanwhile.

    An answer that comes before the body's end makes the rest of no use; the
    connection is not reused then, because the request has no end. It may
    also show only by the other side's close, with the answer still unread.
    """
    async for chunk in chunks:
        event = connection.reader.receive_now()
        if event is not h11.NEED_DATA and not _is_informational(event):
            return event
        try:
            await connection.write(connection.send(h11.Data(data=chunk)))
        except OSError:
            return h11.NEED_DATA
    connection.transport.write(connection.send(h11.EndOfMessage()))
    return h11.NEED_DATA


def _is_framed(
    request: OutgoingRequest,
    status: int,
    headers: Headers,
) -> bool:
    if request.method == 'HEAD' or status in BODILESS_STATUSES:
        return True
    return any(
        name in {'content-length', 'transfer-encoding'}
        for name, _ in headers.pairs
    )


def _kept_seconds(headers: Headers) -> float | None:
    """Returns for how long the other side keeps the connection, if told."""
    for parameter in (headers.get('keep-alive') or '').split(','):
        name, _, seconds = parameter.strip().partition('=')
        if name.lower() == 'timeout' and seconds.isdecimal():
            return float(seconds)
    return None


def _is_informational(event: Event) -> bool:
    return isinstance(event, h11.InformationalResponse)


def _encode_start(
    connection: ClientConnection,
    request: OutgoingRequest,
) -> bytes:
    head = h11.Request(
        method=request.method,
        target=request.target,
        headers=_frame(request).to_wire(),
    )
    encoded = connection.send(head)
    if request.body is None or isinstance(request.body, bytes):
        if request.body:
            encoded += connection.send(h11.Data(data=request.body))
        encoded += connection.send(h11.EndOfMessage())
    return encoded


def _frame(request: OutgoingRequest) -> Headers:
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
