"""Writes one response in the framing that its request allows."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Final

import h11

from jacinthcroft_http.internal.headers import Header
from jacinthcroft_http.internal.messages import BODILESS_STATUSES, Response
from jacinthcroft_http.internal.outcomes import BodyCut
from jacinthcroft_http.internal.wire import Wire

_CLOSE: Final[Header] = (b'connection', b'close')
_LENGTH_NAME: Final = b'content-length'


class ResponseWriter:
    """Answers the request that a wire has read."""

    def __init__(self, wire: Wire, *, is_head: bool, is_last: bool) -> None:
        """Answers a HEAD request without body, the last one with a close."""
        self._wire = wire
        self._is_head = is_head
        self._is_last = is_last
        self._held = b''

    async def write(self, response: Response) -> None:
        """Writes a whole response and waits until the wire has taken it.

        Raises:
            OSError: If the caller has gone or the body broke off.
        """
        if isinstance(response.body, bytes):
            await self._write_whole(response, response.body)
        else:
            await self._stream(response, response.body)

    async def _write_whole(self, response: Response, body: bytes) -> None:
        headers = response.headers.to_wire()
        has_body = self._allows_body(response)
        if has_body:
            headers = [pair for pair in headers if pair[0] != _LENGTH_NAME]
            headers.append((_LENGTH_NAME, b'%d' % len(body)))
        encoded = self._encode_head(response, headers)
        if has_body and body:
            encoded += self._wire.send(h11.Data(data=body))
        await self._wire.write(encoded + self._wire.send(h11.EndOfMessage()))

    async def _stream(
        self,
        response: Response,
        body: AsyncIterator[bytes],
    ) -> None:
        async with _closing(body):
            headers = response.headers.to_wire()
            self._hold(self._encode_head(response, headers))
            if self._allows_body(response):
                await self._write_chunks(body)
        await self._write_event(h11.EndOfMessage())

    async def _write_chunks(self, body: AsyncIterator[bytes]) -> None:
        try:
            async for chunk in body:
                await self._write_event(h11.Data(data=chunk))
        except BodyCut as cut:
            # The framing stays unfinished, so that the caller sees the cut.
            raise ConnectionAbortedError('answer cut') from cut

    async def _write_event(self, event: h11.Event) -> None:
        await self._wire.write(self._take_held() + self._wire.send(event))

    def _hold(self, head: bytes) -> None:
        # A first chunk that is here already leaves together with the head;
        # one that is waited for does not keep the head back.
        self._held = head
        asyncio.get_running_loop().call_soon(self._release)

    def _release(self) -> None:
        if self._held:
            self._wire.transport.write(self._take_held())

    def _take_held(self) -> bytes:
        held = self._held
        self._held = b''
        return held

    def _encode_head(
        self,
        response: Response,
        headers: list[Header],
    ) -> bytes:
        if self._is_last:
            headers = [pair for pair in headers if pair[0] != _CLOSE[0]]
            headers.append(_CLOSE)
        return self._wire.send(
            h11.Response(status_code=response.status, headers=headers),
        )

    def _allows_body(self, response: Response) -> bool:
        return not self._is_head and response.status not in BODILESS_STATUSES


@contextlib.asynccontextmanager
async def _closing(body: AsyncIterator[bytes]) -> AsyncIterator[None]:
    try:
        yield
    finally:
        # Generators and answers release what they hold; others need not.
        aclose = getattr(body, 'aclose', None)
        if aclose is not None:
            await aclose()
