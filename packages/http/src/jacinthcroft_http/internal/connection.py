"""One caller's connection: heads are read, handled and answered in order.

A connection is served by one task from beginning to end, and the handler
runs inside that task: there is no task per request, and a caller that
disconnects cancels its handler by cancelling the connection's task.
"""

import asyncio
import enum
from collections.abc import Awaitable, Callable
from typing import Final

import h11
from attrs import frozen

from jacinthcroft_http.internal.clock import now
from jacinthcroft_http.internal.headers import Header, Headers
from jacinthcroft_http.internal.messages import IncomingRequest, Response
from jacinthcroft_http.internal.outcomes import (
    BadRequest,
    BodyCut,
    Interrupted,
)
from jacinthcroft_http.internal.wire import Wire

Handler = Callable[[IncomingRequest], Awaitable[Response]]
BadRequestAnswer = Callable[[BadRequest], Response]

# How long a closing connection still swallows what its caller sends: closing
# with unread bytes would reset the connection and could destroy the answer.
LINGER_SECONDS: Final = 1.0

_STATUS_HEAD_TOO_LARGE: Final = 431
_STATUS_FAILED: Final = 500
_BODILESS_STATUSES: Final = frozenset((204, 304))
_CLOSE: Final[Header] = (b'connection', b'close')


@frozen
class ServerLimits:
    """What one connection may cost: bytes, and timeouts in seconds.

    `head_timeout` counts from a head's first byte, `keep_alive_timeout`
    while no request is under way, and `write_timeout` while the caller does
    not take what is written.
    """

    max_head_bytes: int = 16384
    head_timeout: float = 5.0
    keep_alive_timeout: float = 60.0
    write_timeout: float = 30.0


class Phase(enum.Enum):
    """What a connection is busy with."""

    IDLE = 'idle'
    HEAD = 'head'
    REQUEST = 'request'
    CLOSING = 'closing'


class RequestBody:
    """The body of the request that a connection is serving."""

    def __init__(self, connection: 'ServerConnection') -> None:
        """Reads from a connection until the body's end."""
        self._connection = connection
        self._is_finished = False

    def __aiter__(self) -> 'RequestBody':
        """Returns itself: a body can be read once."""
        return self

    async def __anext__(self) -> bytes:
        """Returns the next chunk.

        Raises:
            BodyCut: If the caller breaks the protocol or disconnects.
        """
        chunk = None
        if not self._is_finished:
            chunk = await self._connection.receive_chunk()
        if chunk is None:
            self._is_finished = True
            raise StopAsyncIteration
        return chunk


class ServerConnection(Wire):
    """Serves the requests of one caller's connection."""

    def __init__(
        self,
        limits: ServerLimits,
        handler: Handler,
        on_bad_request: BadRequestAnswer,
        registry: 'set[ServerConnection]',
    ) -> None:
        """Joins the registry of open connections when connected."""
        super().__init__(h11.SERVER, limits.max_head_bytes)
        self.phase = Phase.IDLE
        self.is_last_request = False
        self.served = 0
        self._limits = limits
        self._handler = handler
        self._on_bad_request = on_bad_request
        self._registry = registry
        self._request: IncomingRequest | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._remote = ''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts serving."""
        super().connection_made(transport)
        peer = transport.get_extra_info('peername')
        self._remote = f'{peer[0]}:{peer[1]}' if peer else ''
        self._registry.add(self)
        self._become_idle()
        self._task = self.loop.create_task(self._serve())

    def data_received(self, data: bytes) -> None:
        """Starts the head's timeout with its first byte."""
        if self.phase is Phase.CLOSING:
            return
        if self.phase is Phase.IDLE:
            self._begin_head()
        super().data_received(data)

    def eof_received(self) -> bool | None:
        """Takes the end of the stream for a caller that has gone."""
        super().eof_received()
        self._on_gone()
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the handler and leaves the registry."""
        super().connection_lost(exc)
        self._stop_timer()
        self._on_gone()
        self._registry.discard(self)

    def pause_writing(self) -> None:
        """Gives a caller that reads too slowly limited time."""
        super().pause_writing()
        self._start_timer(self._limits.write_timeout, self.abort)

    def resume_writing(self) -> None:
        """Stops the timeout of a slow caller."""
        self._stop_timer()
        super().resume_writing()

    def abort(self) -> None:
        """Cuts the connection at once."""
        self.transport.abort()

    def close_if_idle(self) -> None:
        """Closes a connection on which no request is under way."""
        if self.phase is Phase.IDLE:
            self.phase = Phase.CLOSING
            self.transport.close()

    async def receive_chunk(self) -> bytes | None:
        """Returns the body's next chunk, or None at its end.

        Raises:
            BodyCut: If the caller breaks the protocol or disconnects.
        """
        if self._is_body_read:
            return None
        if self.parser.they_are_waiting_for_100_continue:
            await self.write(
                self.parser.send(
                    h11.InformationalResponse(
                        status_code=100,
                        headers=[],
                        reason=b'Continue',
                    ),
                )
                or b'',
            )
        try:
            event = await self.receive()
        except h11.RemoteProtocolError as error:
            raise BodyCut(Interrupted('protocol', str(error))) from error
        except OSError as error:
            raise BodyCut(Interrupted('reset', str(error))) from error
        return bytes(event.data) if isinstance(event, h11.Data) else None

    async def _serve(self) -> None:
        try:
            while await self._serve_one():
                self._advance()
        except OSError:
            self.abort()
        except BaseException:
            self.abort()
            raise
        else:
            self._linger()

    async def _serve_one(self) -> bool:
        try:
            event = await self.receive()
        except h11.RemoteProtocolError as error:
            return await self._refuse(_bad_head(error))
        except TimeoutError:
            detail = f'head took over {self._limits.head_timeout} s'
            return await self._refuse(BadRequest('head-timeout', detail))
        if not isinstance(event, h11.Request):
            return False
        fault = _head_fault(event, self._limits.max_head_bytes)
        if fault is not None:
            return await self._refuse(fault)
        return await self._handle(event)

    async def _handle(self, head: h11.Request) -> bool:
        self._stop_timer()
        self.phase = Phase.REQUEST
        if _has_no_body(head):
            # Taking the body's end now lets the connection be kept alive.
            self.receive_now()
        self._request = IncomingRequest(
            head.method.decode(),
            head.target.decode(),
            Headers.from_wire(head.headers),
            RequestBody(self),
            now(),
            self._remote,
        )
        try:
            response = await self._handler(self._request)
        except BodyCut as cut:
            detail = cut.cause.detail
            fault = BadRequest('malformed-request', detail, is_in_body=True)
            return await self._refuse(fault)
        except Exception as error:
            self._report(error)
            response = Response(_STATUS_FAILED)
            self.is_last_request = True
        self.served += 1
        return await self._respond(response, head.method == b'HEAD')

    async def _refuse(self, fault: BadRequest) -> bool:
        self._stop_timer()
        self.phase = Phase.REQUEST
        self.is_last_request = True
        return await self._respond(self._on_bad_request(fault), is_head=False)

    async def _respond(self, response: Response, is_head: bool) -> bool:
        body = response.body
        if isinstance(body, bytes):
            self._skip_body()
            start = self._head_of(response, is_head, len(body))
            has_body = body and not _is_bodiless(response, is_head)
            payload = self._encode(h11.Data(data=body)) if has_body else b''
            end = self._encode(h11.EndOfMessage())
            await self.write(start + payload + end)
        else:
            await self._stream(response, is_head)
        await self.flush()
        return self._may_go_on()

    async def _stream(self, response: Response, is_head: bool) -> None:
        body = response.body
        assert not isinstance(body, bytes), 'streams iterated bodies only'
        await self.write(self._head_of(response, is_head, None))
        try:
            if not _is_bodiless(response, is_head):
                async for chunk in body:
                    await self.write(self._encode(h11.Data(data=chunk)))
        except BodyCut:
            # The answer's framing stays unfinished: its caller sees that.
            raise ConnectionAbortedError('answer cut') from None
        finally:
            await _close_iterator(body)
        await self.write(self._encode(h11.EndOfMessage()))

    def _head_of(
        self,
        response: Response,
        is_head: bool,
        length: int | None,
    ) -> bytes:
        fields = response.headers.to_wire()
        if length is not None and not _is_bodiless(response, is_head):
            fields = [pair for pair in fields if pair[0] != b'content-length']
            fields.append((b'content-length', b'%d' % length))
        if self.is_last_request or not self._is_body_read:
            fields = [pair for pair in fields if pair[0] != b'connection']
            fields.append(_CLOSE)
        return self._encode(
            h11.Response(status_code=response.status, headers=fields),
        )

    def _encode(self, event: h11.Event) -> bytes:
        return self.parser.send(event) or b''

    @property
    def _is_body_read(self) -> bool:
        return self.parser.their_state in {h11.DONE, h11.MUST_CLOSE}

    def _skip_body(self) -> None:
        # A short body that the handler did not want is often already here.
        try:
            while self.parser.their_state is h11.SEND_BODY:
                if self.receive_now() is h11.NEED_DATA:
                    return
        except h11.RemoteProtocolError:
            self.is_last_request = True

    def _may_go_on(self) -> bool:
        return (
            self.parser.our_state is h11.DONE
            and self.parser.their_state is h11.DONE
            and not self.is_last_request
        )

    def _advance(self) -> None:
        self._request = None
        self.parser.start_next_cycle()
        if self.has_unread_bytes:
            self._begin_head()
        else:
            self._become_idle()

    def _begin_head(self) -> None:
        self.phase = Phase.HEAD
        self._start_timer(self._limits.head_timeout, self._on_head_timeout)

    def _become_idle(self) -> None:
        self.phase = Phase.IDLE
        self._start_timer(self._limits.keep_alive_timeout, self.close_if_idle)

    def _on_head_timeout(self) -> None:
        self.fail(TimeoutError())

    def _on_gone(self) -> None:
        if self._request is not None:
            self._request.caller_gone.set()
        if self._task is not None and self.phase is not Phase.CLOSING:
            self._task.cancel()

    def _linger(self) -> None:
        self.phase = Phase.CLOSING
        self._inbox.clear()
        transport = self.transport
        if transport.is_closing():
            return
        transport.write_eof()
        transport.resume_reading()
        self._start_timer(LINGER_SECONDS, self.abort)

    def _start_timer(
        self,
        seconds: float,
        callback: Callable[[], None],
    ) -> None:
        self._stop_timer()
        self._timer = self.loop.call_later(seconds, callback)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _report(self, error: Exception) -> None:
        self.loop.call_exception_handler(
            {'message': 'handler failed', 'exception': error},
        )


def _is_bodiless(response: Response, is_head: bool) -> bool:
    return is_head or response.status in _BODILESS_STATUSES


def _has_no_body(head: h11.Request) -> bool:
    return not any(
        name in {b'content-length', b'transfer-encoding'}
        for name, _ in head.headers
    )


def _bad_head(error: h11.RemoteProtocolError) -> BadRequest:
    detail = str(error)
    if error.error_status_hint == _STATUS_HEAD_TOO_LARGE:
        return BadRequest('head-too-large', detail)
    if 'conflicting Content-Length' in detail:
        return BadRequest('conflicting-length', detail)
    return BadRequest('malformed-request', detail)


def _head_fault(head: h11.Request, max_head_bytes: int) -> BadRequest | None:
    """Finds what h11 lets pass but a proxy must not."""
    size = len(head.target)
    names = set()
    for name, text in head.headers:
        size += len(name) + len(text)
        names.add(name)
    if size > max_head_bytes:
        return BadRequest('head-too-large', f'over {max_head_bytes} bytes')
    if b'transfer-encoding' not in names:
        return None
    if b'content-length' in names:
        detail = 'both Content-Length and Transfer-Encoding'
        return BadRequest('conflicting-length', detail)
    if head.http_version != b'1.1':
        detail = 'Transfer-Encoding before HTTP/1.1'
        return BadRequest('malformed-request', detail)
    return None


async def _close_iterator(body: object) -> None:
    aclose = getattr(body, 'aclose', None)
    if aclose is not None:
        await aclose()
