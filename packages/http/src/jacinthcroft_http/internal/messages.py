"""Requests and responses that handlers and pool users work with."""

import asyncio
import json
from collections.abc import AsyncIterator, Iterable
from typing import Any, Final

from attrs import define, evolve, field, frozen

from jacinthcroft_http.internal.headers import Headers, as_headers
from jacinthcroft_http.internal.outcomes import BodyTooLarge

BODILESS_STATUSES: Final = frozenset((204, 304))
_MILLISECONDS_PER_SECOND: Final = 1000


async def read_up_to(
    chunks: AsyncIterator[bytes],
    limit: int,
) -> bytes | BodyTooLarge:
    """Reads all chunks of a body, up to a limit in bytes.

    Raises:
        BodyCut: If the body ends prematurely.
    """
    received: list[bytes] = []
    size = 0
    async for chunk in chunks:
        size += len(chunk)
        if size > limit:
            return BodyTooLarge(limit)
        received.append(chunk)
    return b''.join(received)


@define(eq=False)
class IncomingRequest:
    """A caller's request whose head has been read.

    `received_at` is the time since boot in seconds. `caller_disconnected` is
    set when the caller disconnects; the handler's task is cancelled then too.
    """

    method: str
    target: str
    headers: Headers
    body: AsyncIterator[bytes]
    received_at: float
    remote: str
    caller_disconnected: asyncio.Event = field(factory=asyncio.Event)

    @property
    def path(self) -> str:
        """The target's path, still percent-encoded."""
        return self._origin_form.partition('?')[0]

    @property
    def query(self) -> str:
        """The target's query without the question mark."""
        return self._origin_form.partition('?')[2]

    async def read_body(self, limit: int) -> bytes | BodyTooLarge:
        """Reads the whole body, up to a limit in bytes.

        Raises:
            BodyCut: If the body ends prematurely.
        """
        return await read_up_to(self.body, limit)

    @property
    def _origin_form(self) -> str:
        if self.target.startswith('/'):
            return self.target
        # A caller may send `http://host/path`, the form used with a proxy.
        rest = self.target.partition('://')[2].partition('/')[2]
        return f'/{rest}'


@frozen(eq=False)
class Response:
    """A response to a caller.

    A `bytes` body gets a Content-Length header. An iterated body is sent in
    chunks unless the headers contain a Content-Length.
    """

    status: int
    headers: Headers = field(default=Headers(), converter=as_headers)
    body: bytes | AsyncIterator[bytes] = b''

    @classmethod
    def json(
        cls,
        status: int,
        document: Any,
        headers: Headers | Iterable[tuple[str, str]] = (),
    ) -> 'Response':
        """Creates a response with a JSON document."""
        text = json.dumps(document, separators=(',', ':'))
        return cls._with_content_type(status, text, 'application/json', headers)

    @classmethod
    def text(
        cls,
        status: int,
        text: str,
        headers: Headers | Iterable[tuple[str, str]] = (),
    ) -> 'Response':
        """Creates a response with plain text."""
        return cls._with_content_type(
            status, text, 'text/plain; charset=utf-8', headers
        )

    @classmethod
    def _with_content_type(
        cls,
        status: int,
        text: str,
        content_type: str,
        headers: Headers | Iterable[tuple[str, str]],
    ) -> 'Response':
        fields = as_headers(headers)
        if fields.get('content-type') is None:
            fields = fields.with_added(('content-type', content_type))
        return cls(status, fields, text.encode())


@frozen(eq=False)
class OutgoingRequest:
    """A request to another process; `target` is the path and query.

    `host` is an IP address. Iterated bodies are sent in chunks unless the
    headers contain a Content-Length. `time_left_header` is the name of a
    header that gives the other side its remaining milliseconds. `max_rest`
    is the maximum idle time, in seconds, of a connection that is reused.
    `echoed_header` is the name and value of a header that the other side
    echoes: a response with another value belongs to another request.
    """

    host: str
    port: int
    method: str
    target: str
    headers: Headers = field(default=Headers(), converter=as_headers)
    body: bytes | AsyncIterator[bytes] | None = None
    time_left_header: str | None = None
    max_rest: float | None = None
    echoed_header: tuple[str, str] | None = None

    def owns_response(self, headers: Headers) -> bool:
        """Whether a response may belong to this request.

        A response without the echoed header may, since it names no other.
        """
        if self.echoed_header is None:
            return True
        name, expected = self.echoed_header
        return headers.get(name) in {None, expected}

    def with_time_left(self, seconds: float) -> 'OutgoingRequest':
        """Returns the request with its remaining time as a header.

        This is called after connecting: the other side counts from the
        request's arrival, so the connect time must be deducted beforehand.
        """
        if self.time_left_header is None:
            return self
        milliseconds = max(int(seconds * _MILLISECONDS_PER_SECOND), 1)
        added = (self.time_left_header, str(milliseconds))
        return evolve(self, headers=self.headers.with_added(added))
