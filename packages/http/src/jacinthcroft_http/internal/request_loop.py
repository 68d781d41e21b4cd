"""Reads, handles and answers the requests of one connection in order."""

import asyncio
from collections.abc import Awaitable, Callable

import h11
from attrs import frozen

from jacinthcroft_http.internal.clock import now
from jacinthcroft_http.internal.messages import IncomingRequest, Response
from jacinthcroft_http.internal.outcomes import BadRequest, BodyCut
from jacinthcroft_http.internal.read_ahead import ReadAhead, ResponseTask
from jacinthcroft_http.internal.request_body import RequestBody
from jacinthcroft_http.internal.request_head import (
    RequestHead,
    explain_parse_error,
    find_fault,
)
from jacinthcroft_http.internal.response_writer import ResponseWriter
from jacinthcroft_http.internal.server_connection import (
    ServerConnection,
    ServerLimits,
)

Handler = Callable[[IncomingRequest], Awaitable[Response]]
BadRequestAnswer = Callable[[BadRequest], Response]
EarlyStart = Callable[[IncomingRequest], bool]

_INTERNAL_ERROR_STATUS = 500


@frozen(eq=False)
class ServerContext:
    """What all request loops of a server share.

    `is_keep_alive_stopped` returns whether connections close after the next
    response. `may_start_early` returns whether a pipelined request without a
    body may run before the response to the one before it is written.
    """

    limits: ServerLimits
    handler: Handler
    on_bad_request: BadRequestAnswer
    is_keep_alive_stopped: Callable[[], bool]
    may_start_early: EarlyStart


class RequestLoop:
    """Serves one connection until either side closes it."""

    def __init__(
        self, context: ServerContext, connection: ServerConnection
    ) -> None:
        """Creates the loop that serves a connection."""
        self._context = context
        self._connection = connection
        self._body = RequestBody(connection, context.limits.body_timeout)
        self._running: set[IncomingRequest] = set()
        self._read_ahead = ReadAhead(
            connection, context.limits.max_head_bytes, self._start_early
        )
        connection.on_disconnect = self._announce_disconnect
        connection.on_early_bytes = self._read_ahead.receive

    async def run(self) -> None:
        """Serves requests; an error closes the connection only."""
        try:
            await self._serve_all()
        except OSError:
            self._connection.abort()
        except Exception as error:
            _report_error(error)
            self._connection.abort()
        except asyncio.CancelledError:
            self._connection.abort()
            raise
        else:
            self._connection.start_lingering_close()
        finally:
            self._read_ahead.cancel()

    async def _serve_all(self) -> None:
        is_open = await self._serve_one()
        while is_open:
            early = self._read_ahead.advance()
            if early is None:
                self._connection.start_waiting_for_head()
                is_open = await self._serve_one()
            else:
                is_open = await self._respond(early.head, await early.task)

    async def _serve_one(self) -> bool:
        head = await self._receive_head()
        self._connection.begin_request()
        if isinstance(head, BadRequest):
            return await self._write_rejection(head)
        if head is None:
            return False
        if head.has_no_body:
            # The end of the empty body must be read for keep-alive to work.
            self._connection.reader.receive_now()
            self._read_ahead.receive()
        return await self._respond(head, await self._handle(head))

    async def _respond(
        self, head: RequestHead, response: Response | BadRequest
    ) -> bool:
        """Writes a response; returns whether the connection stays open."""
        if isinstance(response, BadRequest):
            return await self._write_rejection(response)
        return await self._write_response(head, response)

    def _start_early(self, head: RequestHead) -> ResponseTask | None:
        if self._context.is_keep_alive_stopped():
            return None
        request = self._make_request(head)
        if not self._context.may_start_early(request):
            return None
        loop = asyncio.get_running_loop()
        return loop.create_task(self._handle_request(request))

    def _announce_disconnect(self) -> None:
        for request in self._running:
            request.caller_disconnected.set()

    async def _receive_head(self) -> RequestHead | BadRequest | None:
        limits = self._context.limits
        try:
            event = self._read_ahead.pop_event()
            if event is None:
                event = await self._connection.reader.receive()
        except h11.RemoteProtocolError as error:
            return explain_parse_error(error)
        except TimeoutError:
            detail = f'head incomplete after {limits.head_timeout} s'
            return BadRequest('head-timeout', detail)
        if not isinstance(event, h11.Request):
            return None
        head = RequestHead.from_event(event)
        return find_fault(head, limits.max_head_bytes) or head

    def _make_request(self, head: RequestHead) -> IncomingRequest:
        return IncomingRequest(
            head.method,
            head.target,
            head.headers,
            self._body,
            now(),
            self._connection.remote,
        )

    async def _handle(self, head: RequestHead) -> Response | BadRequest:
        return await self._handle_request(self._make_request(head))

    async def _handle_request(
        self, request: IncomingRequest
    ) -> Response | BadRequest:
        self._running.add(request)
        try:
            return await self._context.handler(request)
        except BodyCut as error:
            detail = error.cause.detail
            return BadRequest('malformed-request', detail, is_in_body=True)
        except Exception as error:
            _report_error(error)
            return Response(_INTERNAL_ERROR_STATUS)
        finally:
            self._running.discard(request)

    async def _write_rejection(self, fault: BadRequest) -> bool:
        writer = ResponseWriter(self._connection, is_head=False, is_last=True)
        await writer.write(self._context.on_bad_request(fault))
        return False

    async def _write_response(
        self, head: RequestHead, response: Response
    ) -> bool:
        writer = ResponseWriter(
            self._connection,
            is_head=head.method == 'HEAD',
            is_last=self._is_last(response),
        )
        self._connection.response_count += 1
        await writer.write(response)
        parser = self._connection.parser
        return parser.our_state is h11.DONE and parser.their_state is h11.DONE

    def _is_last(self, response: Response) -> bool:
        if isinstance(response.body, bytes):
            try:
                # A short body that the handler ignored has often arrived.
                self._body.discard_received()
            except (h11.RemoteProtocolError, OSError):
                return True
        if self._read_ahead.has_early_requests:
            return False
        return self._context.is_keep_alive_stopped() or not self._body.is_ended


def _report_error(error: Exception) -> None:
    asyncio.get_running_loop().call_exception_handler(
        {'message': 'serving a request failed', 'exception': error},
    )
