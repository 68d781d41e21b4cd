"""The requests of one connection, read, handled and answered in order."""

import asyncio
from collections.abc import Awaitable, Callable

import h11
from attrs import frozen

from jacinthcroft_http.internal.clock import now
from jacinthcroft_http.internal.connection import (
    ServerConnection,
    ServerLimits,
)
from jacinthcroft_http.internal.heads import (
    Head,
    explain_parse_error,
    find_fault,
)
from jacinthcroft_http.internal.messages import IncomingRequest, Response
from jacinthcroft_http.internal.outcomes import BadRequest, BodyCut
from jacinthcroft_http.internal.request_body import RequestBody
from jacinthcroft_http.internal.response_writer import ResponseWriter

Handler = Callable[[IncomingRequest], Awaitable[Response]]
BadRequestAnswer = Callable[[BadRequest], Response]

_STATUS_FAILED = 500


@frozen(eq=False)
class Service:
    """What a server's conversations have in common.

    `is_leaving` tells whether each answer is its connection's last.
    """

    limits: ServerLimits
    handler: Handler
    on_bad_request: BadRequestAnswer
    is_leaving: Callable[[], bool]


class Conversation:
    """Serves one connection until either side ends it."""

    def __init__(self, service: Service, connection: ServerConnection) -> None:
        """Reads requests from a connection and answers there."""
        self._service = service
        self._connection = connection
        self._body = RequestBody(connection)

    async def run(self) -> None:
        """Serves requests; errors end the connection, not the process."""
        try:
            while await self._serve_one():
                self._connection.parser.start_next_cycle()
                self._connection.await_head()
        except OSError:
            self._connection.abort()
        except Exception as error:
            _report(error)
            self._connection.abort()
        except asyncio.CancelledError:
            self._connection.abort()
            raise
        else:
            self._connection.linger()

    async def _serve_one(self) -> bool:
        head = await self._receive_head()
        self._connection.begin_request()
        if isinstance(head, BadRequest):
            return await self._refuse(head)
        if head is None:
            return False
        if head.has_no_body:
            # Taking the body's end now lets the connection be kept alive.
            self._connection.reader.receive_now()
        response = await self._handle(head)
        if isinstance(response, BadRequest):
            return await self._refuse(response)
        return await self._answer(head, response)

    async def _receive_head(self) -> Head | BadRequest | None:
        limits = self._service.limits
        try:
            event = await self._connection.reader.receive()
        except h11.RemoteProtocolError as error:
            return explain_parse_error(error)
        except TimeoutError:
            detail = f'no whole head in {limits.head_timeout} s'
            return BadRequest('head-timeout', detail)
        if not isinstance(event, h11.Request):
            return None
        head = Head.from_event(event)
        return find_fault(head, limits.max_head_bytes) or head

    async def _handle(self, head: Head) -> Response | BadRequest:
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
            return await self._service.handler(request)
        except BodyCut as cut:
            detail = cut.cause.detail
            return BadRequest('malformed-request', detail, is_in_body=True)
        except Exception as error:
            _report(error)
            return Response(_STATUS_FAILED)

    async def _refuse(self, fault: BadRequest) -> bool:
        writer = ResponseWriter(self._connection, is_head=False, is_last=True)
        await writer.write(self._service.on_bad_request(fault))
        return False

    async def _answer(self, head: Head, response: Response) -> bool:
        writer = ResponseWriter(
            self._connection,
            is_head=head.method == 'HEAD',
            is_last=self._is_last(response),
        )
        self._connection.served += 1
        await writer.write(response)
        parser = self._connection.parser
        return parser.our_state is h11.DONE and parser.their_state is h11.DONE

    def _is_last(self, response: Response) -> bool:
        if isinstance(response.body, bytes):
            try:
                # A short body that nobody wanted is often here already.
                self._body.skip()
            except (h11.RemoteProtocolError, OSError):
                return True
        return self._service.is_leaving() or not self._body.is_ended


def _report(error: Exception) -> None:
    asyncio.get_running_loop().call_exception_handler(
        {'message': 'a request could not be served', 'exception': error},
    )
