"""Sends one request over a connection and receives the response head."""

from collections.abc import AsyncIterator, Callable
from typing import Final

import h11

from jacinthcroft_http.internal.answer import Answer, classify_interruption
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
# More interim responses, or more responses to other requests, are no protocol.
_MAX_INTERIM_RESPONSES: Final = 8
_MAX_FOREIGN_RESPONSES: Final = 2
# A response to another request that is longer is not read to its end.
_MAX_FOREIGN_BYTES: Final = 1_048_576


async def exchange(
    connection: ClientConnection,
    request: OutgoingRequest,
    before_first_byte: Callable[[], bool] | None,
) -> SendOutcome:
    """Sends a request and waits for the head of its response.

    There is no await between `before_first_byte` and the first write.

    Raises:
        BodyCut: If the request's iterated body ends prematurely.
    """
    not_sent = _send_first_bytes(connection, request, before_first_byte)
    if not_sent is not None:
        connection.close_unsent()
        return not_sent
    try:
        return await _send_body_and_receive_head(connection, request)
    except (OSError, h11.RemoteProtocolError) as error:
        connection.close()
        return classify_interruption(error)
    except BaseException:
        # The task was cancelled, or the request's body ended prematurely.
        connection.abandon()
        raise


def _send_first_bytes(
    connection: ClientConnection,
    request: OutgoingRequest,
    before_first_byte: Callable[[], bool] | None,
) -> NothingSent | None:
    try:
        first_bytes = _encode_first_bytes(connection, request)
    except (h11.LocalProtocolError, UnicodeEncodeError) as error:
        return NothingSent('malformed', str(error))
    if not connection.is_open:
        return NothingSent('closed', 'connection closed before the write')
    if before_first_byte is not None and not before_first_byte():
        return NothingSent('withheld', 'the sender withheld the request')
    connection.transport.write(first_bytes)
    return None


async def _send_body_and_receive_head(
    connection: ClientConnection,
    request: OutgoingRequest,
) -> Answer | Interrupted:
    event: Event = h11.NEED_DATA
    if request.body is not None and not isinstance(request.body, bytes):
        event = await _send_chunks(connection, request.body)
    for _ in range(_MAX_FOREIGN_RESPONSES + 1):
        event = await _receive_final_head(connection, event)
        if not isinstance(event, h11.Response):
            connection.close()
            return Interrupted('reset', 'closed without an answer')
        headers = Headers.from_wire(event.headers.raw_items())
        if request.owns_response(headers):
            return _make_answer(connection, request, event, headers)
        if not await _skip_foreign_response(connection, request):
            break
        event = h11.NEED_DATA
    connection.close()
    return Interrupted('protocol', 'the response is for another request')


def _make_answer(
    connection: ClientConnection,
    request: OutgoingRequest,
    head: h11.Response,
    headers: Headers,
) -> Answer:
    connection.peer_idle_timeout = _parse_keep_alive_timeout(headers)
    is_framed = _is_framed(request, head.status_code, headers)
    answer = Answer(head.status_code, headers, is_framed, connection)
    answer.buffer_received_chunks()
    return answer


async def _receive_final_head(
    connection: ClientConnection, event: Event
) -> Event:
    """Returns the event after all interim (1xx) responses.

    Raises:
        h11.RemoteProtocolError: If the other side violates the protocol or
            sends too many interim responses.
    """
    interim_count = 0
    while event is h11.NEED_DATA or _is_informational(event):
        event = await connection.reader.receive()
        interim_count += _is_informational(event)
        if interim_count > _MAX_INTERIM_RESPONSES:
            raise h11.RemoteProtocolError('too many interim responses')
    return event


async def _skip_foreign_response(
    connection: ClientConnection, request: OutgoingRequest
) -> bool:
    """Discards a response to another request whose head was received.

    Returns:
        Whether the response to `request` may still follow.
    """
    if connection.parser.our_state is not h11.DONE:
        # The request is not sent completely, so the parser can't be replaced.
        return False
    size = 0
    event = await connection.reader.receive()
    while isinstance(event, h11.Data):
        size += len(event.data)
        if size > _MAX_FOREIGN_BYTES:
            return False
        event = await connection.reader.receive()
    connection.expect_another_response(
        h11.Request(
            method=request.method,
            target=request.target,
            headers=[('host', request.host)],
        )
    )
    return True


async def _send_chunks(
    connection: ClientConnection,
    chunks: AsyncIterator[bytes],
) -> Event:
    """Sends a body; returns the response head if it arrives meanwhile.

    An early response stops the sending, because the rest of the body is not
    needed. The connection is not reused then, because the request is
    incomplete. A failed write may also mean an early response: the other
    side has closed, and its response is still unread.
    """
    async for chunk in chunks:
        event = connection.reader.receive_now()
        if event is not h11.NEED_DATA and not _is_informational(event):
            return event
        try:
            await connection.write(connection.encode(h11.Data(data=chunk)))
        except OSError:
            return h11.NEED_DATA
    connection.transport.write(connection.encode(h11.EndOfMessage()))
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


def _parse_keep_alive_timeout(headers: Headers) -> float | None:
    """Returns the timeout of a `Keep-Alive` header in seconds, if any."""
    for parameter in (headers.get('keep-alive') or '').split(','):
        name, _, seconds = parameter.strip().partition('=')
        if name.lower() == 'timeout' and seconds.isdecimal():
            return float(seconds)
    return None


def _is_informational(event: Event) -> bool:
    return isinstance(event, h11.InformationalResponse)


def _encode_first_bytes(
    connection: ClientConnection,
    request: OutgoingRequest,
) -> bytes:
    head = h11.Request(
        method=request.method,
        target=request.target,
        headers=_add_framing_headers(request).to_wire(),
    )
    encoded = connection.encode(head)
    if request.body is None or isinstance(request.body, bytes):
        if request.body:
            encoded += connection.encode(h11.Data(data=request.body))
        encoded += connection.encode(h11.EndOfMessage())
    return encoded


def _add_framing_headers(request: OutgoingRequest) -> Headers:
    # `Expect` is removed because this client never waits for `100 Continue`.
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
