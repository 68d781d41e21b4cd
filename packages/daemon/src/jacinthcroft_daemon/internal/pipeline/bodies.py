"""Buffers small request bodies, so that their requests can be retried."""

import hashlib
from collections.abc import AsyncIterator
from typing import Final

from attrs import frozen
from jacinthcroft_http import BodyCut, IncomingRequest, Interrupted

# Longer bodies are streamed, and their requests are not retried.
MAX_BUFFERED_BODY_BYTES: Final = 65_536


@frozen
class RequestBody:
    """A request body: `held` is its buffered start, `rest` the remainder.

    `rest` is None if all of the body is buffered.
    """

    held: bytes
    rest: AsyncIterator[bytes] | None

    @property
    def is_repeatable(self) -> bool:
        """Whether the body can be sent to a second target."""
        return self.rest is None

    @property
    def digest(self) -> str:
        """The SHA-256 digest of the buffered bytes, for the fingerprint."""
        return hashlib.sha256(self.held).hexdigest()

    def to_outgoing_body(self) -> bytes | AsyncIterator[bytes] | None:
        """Returns the body in the form that an outgoing request takes."""
        if self.rest is None:
            return self.held or None
        return chain_body(self.held, self.rest)


async def buffer_body(request: IncomingRequest, max_bytes: int) -> RequestBody:
    """Reads the body up to the size that is buffered.

    Raises:
        BodyCut: If the body is cut off or exceeds `max_bytes`.
    """
    buffered = bytearray()
    chunks = aiter(_limit_body(request.body, max_bytes))
    async for chunk in chunks:
        buffered.extend(chunk)
        if len(buffered) > MAX_BUFFERED_BODY_BYTES:
            return RequestBody(bytes(buffered), chunks)
    return RequestBody(bytes(buffered), None)


async def _limit_body(
    body: AsyncIterator[bytes],
    max_bytes: int,
) -> AsyncIterator[bytes]:
    size = 0
    async for chunk in body:
        size += len(chunk)
        if size > max_bytes:
            raise BodyCut(
                Interrupted('protocol', f'the body exceeds {max_bytes} bytes')
            )
        yield chunk


async def chain_body(
    held: bytes,
    rest: AsyncIterator[bytes],
) -> AsyncIterator[bytes]:
    """Yields the buffered start of a body, then the rest of it."""
    yield held
    async for chunk in rest:
        yield chunk
