"""Which request heads are refused, and by which reason."""

from typing import Self

import h11
from attrs import frozen

from jacinthcroft_http.internal.headers import Headers
from jacinthcroft_http.internal.outcomes import BadRequest

_STATUS_TOO_LARGE = 431
# The colon, the space and the line's end.
_FIELD_MARKS_BYTES = 4
_LENGTH_NAME = 'content-length'
_ENCODING_NAME = 'transfer-encoding'


@frozen
class Head:
    """A request's head as it came over the wire."""

    method: str
    target: str
    headers: Headers
    version: bytes

    @classmethod
    def from_event(cls, event: h11.Request) -> Self:
        """Decodes h11's event."""
        return cls(
            event.method.decode(),
            event.target.decode(),
            Headers.from_wire(event.headers.raw_items()),
            event.http_version,
        )

    @property
    def has_no_body(self) -> bool:
        """Whether the head announces no body."""
        return not any(
            name in {_LENGTH_NAME, _ENCODING_NAME}
            for name, _ in self.headers.pairs
        )


def explain_parse_error(error: h11.RemoteProtocolError) -> BadRequest:
    """Finds the reason for what h11 could not read."""
    detail = str(error)
    if error.error_status_hint == _STATUS_TOO_LARGE:
        return BadRequest('head-too-large', detail)
    if 'conflicting Content-Length' in detail:
        return BadRequest('conflicting-length', detail)
    return BadRequest('malformed-request', detail)


def find_fault(head: Head, max_head_bytes: int) -> BadRequest | None:
    """Finds what h11 lets pass but a proxy must not."""
    size = len(head.target) + sum(
        len(name) + len(text) + _FIELD_MARKS_BYTES
        for name, text in head.headers.pairs
    )
    if size > max_head_bytes:
        return BadRequest('head-too-large', f'over {max_head_bytes} bytes')
    if head.headers.get(_ENCODING_NAME) is None:
        return None
    if head.headers.get(_LENGTH_NAME) is not None:
        detail = 'both Content-Length and Transfer-Encoding'
        return BadRequest('conflicting-length', detail)
    if head.version != b'1.1':
        detail = 'Transfer-Encoding before HTTP/1.1'
        return BadRequest('malformed-request', detail)
    return None
