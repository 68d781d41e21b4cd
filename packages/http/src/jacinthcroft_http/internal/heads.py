"""Which request heads are refused, and by which reason."""

import h11

from jacinthcroft_http.internal.outcomes import BadRequest

_STATUS_TOO_LARGE = 431
_LENGTH_NAME = b'content-length'
_ENCODING_NAME = b'transfer-encoding'


def has_no_body(head: h11.Request) -> bool:
    """Whether a request's head announces no body."""
    return not any(
        name in {_LENGTH_NAME, _ENCODING_NAME} for name, _ in head.headers
    )


def explain_parse_error(error: h11.RemoteProtocolError) -> BadRequest:
    """Finds the reason for what h11 could not read."""
    detail = str(error)
    if error.error_status_hint == _STATUS_TOO_LARGE:
        return BadRequest('head-too-large', detail)
    if 'conflicting Content-Length' in detail:
        return BadRequest('conflicting-length', detail)
    return BadRequest('malformed-request', detail)


def find_fault(head: h11.Request, max_head_bytes: int) -> BadRequest | None:
    """Finds what h11 lets pass but a proxy must not."""
    size = len(head.target)
    names = set()
    for name, text in head.headers:
        # The colon, the space and the line's end count too.
        size += len(name) + len(text) + len(b': \r\n')
        names.add(name)
    if size > max_head_bytes:
        return BadRequest('head-too-large', f'over {max_head_bytes} bytes')
    if _ENCODING_NAME in names:
        return _find_encoding_fault(head, names)
    return None


def _find_encoding_fault(
    head: h11.Request,
    names: set[bytes],
) -> BadRequest | None:
    if _LENGTH_NAME in names:
        detail = 'both Content-Length and Transfer-Encoding'
        return BadRequest('conflicting-length', detail)
    if head.http_version != b'1.1':
        detail = 'Transfer-Encoding before HTTP/1.1'
        return BadRequest('malformed-request', detail)
    return None
