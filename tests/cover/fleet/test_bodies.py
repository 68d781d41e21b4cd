"""How much of a request's body a VM holds and takes."""

import asyncio
from collections.abc import AsyncIterator

import pytest
from jacinthcroft_daemon.internal.pipeline.bodies import buffer_body
from jacinthcroft_http import BodyCut, Headers, IncomingRequest

LIMIT_BYTES = 100


async def _chunks(*chunks: bytes) -> AsyncIterator[bytes]:
    for chunk in chunks:
        yield chunk


def a_request(*chunks: bytes) -> IncomingRequest:
    return IncomingRequest('POST', '/', Headers(), _chunks(*chunks), 0, '')


def test_a_short_body_is_held_and_can_be_sent_again() -> None:
    body = asyncio.run(buffer_body(a_request(b'one', b'two'), LIMIT_BYTES))
    assert body.held == b'onetwo'
    assert body.is_repeatable


def test_an_undeclared_body_over_the_limit_is_cut() -> None:
    request = a_request(b'x' * LIMIT_BYTES, b'y')
    with pytest.raises(BodyCut):
        asyncio.run(buffer_body(request, LIMIT_BYTES))
