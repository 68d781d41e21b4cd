"""How much of a request's body a VM buffers and accepts."""

import asyncio
from collections.abc import AsyncIterator

import pytest
from jacinthcroft_daemon.internal.pipeline.bodies import buffer_body
from jacinthcroft_http import BodyCut, Headers, IncomingRequest

LIMIT_BYTES = 100


async def _iterate_chunks(*chunks: bytes) -> AsyncIterator[bytes]:
    for chunk in chunks:
        yield chunk


def make_request(*chunks: bytes) -> IncomingRequest:
    return IncomingRequest(
        'POST', '/', Headers(), _iterate_chunks(*chunks), 0, ''
    )


def test_short_body_is_buffered_and_repeatable() -> None:
    body = asyncio.run(buffer_body(make_request(b'one', b'two'), LIMIT_BYTES))
    assert body.held == b'onetwo'
    assert body.is_repeatable


def test_undeclared_body_over_the_limit_is_rejected() -> None:
    request = make_request(b'x' * LIMIT_BYTES, b'y')
    with pytest.raises(BodyCut):
        asyncio.run(buffer_body(request, LIMIT_BYTES))
