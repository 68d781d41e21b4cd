"""Request heads and the reasons to reject them."""

from typing import Self

import h11
from attrs import frozen

from jacinthcroft_http.internal.headers import Headers
from jacinthcroft_http.internal.outcomes import BadRequest

_HEAD_TOO_LARGE_STATUS = 431
# The colon, the space, CR and LF.
_FIELD_SEPARATOR_BYTES = 4
_CONTENT_LENGTH = 'content-length'
_TRANSFER_ENCODING = 'transfer-encoding'


@frozen
class RequestHead:
    """The head of a request as received."""

    method: str
    target: str
    headers: Headers
    version: bytes

    @classmethod
    def from_event(cls, event: h11.Request) -> Self:
        """Decodes an h11 event."""
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
            name in {_CONTENT_LENGTH, _TRANSFER_ENCODING}
            for name, _ in self.headers.pairs
        )


def explain_parse_error(error: h11.RemoteProtocolError) -> BadRequest:
    """Returns the reason for a request that h11 could not parse."""
    detail = str(error)
    if error.error_status_hint == _HEAD_TOO_LARGE_STATUS:
        return BadRequest('head-too-large', detail)
    if 'conflicting Content-Length' in detail:
        return BadRequest('conflicting-length', detail)
    return BadRequest('malformed-request', detail)


def find_fault(head: RequestHead, max_head_bytes: int) -> BadRequest | None:
    """Finds a fault that h11 accepts but a proxy must reject."""
    size = len(head.target) + sum(
        len(name) + len(value) + _FIELD_SEPARATOR_BYTES
        for name, value in head.headers.pairs
    )
    if size > max_head_bytes:
        return BadRequest(
            'head-too-large', f'head exceeds {max_head_bytes} bytes'
        )
    if head.headers.get(_TRANSFER_ENCODING) is None:
        return None
    if head.headers.get(_CONTENT_LENGTH) is not None:
        detail = 'Content-Length and Transfer-Encoding in one head'
        return BadRequest('conflicting-length', detail)
    if head.version != b'1.1':
        detail = 'Transfer-Encoding requires HTTP/1.1'
        return BadRequest('malformed-request', detail)
    return None
