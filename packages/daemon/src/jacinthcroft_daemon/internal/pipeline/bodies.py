"""Request bodies: small ones are held, so that they can be sent again."""

import hashlib
from collections.abc import AsyncIterator
from typing import Final

from attrs import frozen
from jacinthcroft_http import BodyCut, IncomingRequest, Interrupted

# Larger bodies are streamed and their requests are not sent a second time.
HELD_BODY_BYTES: Final = 65_536


@frozen
class RequestBody:
    """The held beginning of a body, and the rest where there is more."""

    held: bytes
    rest: AsyncIterator[bytes] | None

    @property
    def is_repeatable(self) -> bool:
        """Whether the body can be sent to a second target."""
        return self.rest is None

    @property
    def digest(self) -> str:
        """The SHA-256 digest of the held bytes, for the fingerprint."""
        return hashlib.sha256(self.held).hexdigest()

    def stream(self) -> bytes | AsyncIterator[bytes] | None:
        """Returns what to send."""
        if self.rest is None:
            return self.held or None
        return chain_body(self.held, self.rest)


async def buffer_body(request: IncomingRequest, limit: int) -> RequestBody:
    """Reads the body's beginning, up to what is held.

    Raises:
        BodyCut: When the body breaks off or exceeds `limit` bytes.
    """
    held = bytearray()
    chunks = aiter(_bounded(request.body, limit))
    async for chunk in chunks:
        held.extend(chunk)
        if len(held) > HELD_BODY_BYTES:
            return RequestBody(bytes(held), chunks)
    return RequestBody(bytes(held), None)


async def _bounded(
    body: AsyncIterator[bytes],
    limit: int,
) -> AsyncIterator[bytes]:
    size = 0
    async for chunk in body:
        size += len(chunk)
        if size > limit:
            raise BodyCut(Interrupted('protocol', f'over {limit} bytes'))
        yield chunk


async def chain_body(
    held: bytes,
    rest: AsyncIterator[bytes],
) -> AsyncIterator[bytes]:
    """Yields the held beginning of a body, then the rest of it."""
    yield held
    async for chunk in rest:
        yield chunk
