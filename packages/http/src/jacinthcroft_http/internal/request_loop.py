"""Reads, handles and answers the requests of one connection in order."""

import asyncio
from collections.abc import Awaitable, Callable

import h11
from attrs import frozen

from jacinthcroft_http.internal.clock import now
from jacinthcroft_http.internal.messages import IncomingRequest, Response
from jacinthcroft_http.internal.outcomes import BadRequest, BodyCut
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

_INTERNAL_ERROR_STATUS = 500


@frozen(eq=False)
class ServerContext:
    """What all request loops of a server share.

    `is_keep_alive_stopped` returns whether connections close after the next
    response.
    """

    limits: ServerLimits
    handler: Handler
    on_bad_request: BadRequestAnswer
    is_keep_alive_stopped: Callable[[], bool]


class RequestLoop:
    """Serves one connection until either side closes it."""

    def __init__(
        self, context: ServerContext, connection: ServerConnection
    ) -> None:
        """Creates the loop that serves a connection."""
        self._context = context
        self._connection = connection
        self._body = RequestBody(connection, context.limits.body_timeout)

    async def run(self) -> None:
        """Serves requests; an error closes the connection only."""
        try:
            while await self._serve_one():
                self._connection.parser.start_next_cycle()
                self._connection.start_waiting_for_head()
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
        response = await self._handle(head)
        if isinstance(response, BadRequest):
            return await self._write_rejection(response)
        return await self._write_response(head, response)

    async def _receive_head(self) -> RequestHead | BadRequest | None:
        limits = self._context.limits
        try:
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

    async def _handle(self, head: RequestHead) -> Response | BadRequest:
        request = IncomingRequest(
            head.method,
            head.target,
            head.headers,
            self._body,
            now(),
            self._connection.remote,
        )
        self._connection.on_disconnect = request.caller_disconnected.set
        try:
            return await self._context.handler(request)
        except BodyCut as error:
            detail = error.cause.detail
            return BadRequest('malformed-request', detail, is_in_body=True)
        except Exception as error:
            _report_error(error)
            return Response(_INTERNAL_ERROR_STATUS)

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
        return self._context.is_keep_alive_stopped() or not self._body.is_ended


def _report_error(error: Exception) -> None:
    asyncio.get_running_loop().call_exception_handler(
        {'message': 'serving a request failed', 'exception': error},
    )
