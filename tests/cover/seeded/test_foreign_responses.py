"""A response counts for a request only if it carries the request's id.

A faulty target may write an earlier response once more on a kept connection,
after the next request was sent. An earlier refusal must not say of the next
request that it did not run.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest
from jacinthcroft_daemon.internal.seeded.sender import SendResult
from jacinthcroft_decisions.dispatch import Outcome
from jacinthcroft_http import ConnectionPool, PoolLimits

from tests.cover.http.http_support import HOST
from tests.cover.seeded.sender_support import make_sender, send_once

EARLIER_ID, REQUEST_ID = 'r1', 'r2'
# Half of the time that a request has.
CUT_OFF_SECONDS = 0.5
NOT_RUN = 'X-Not-Executed: 1\r\n'
SIGNED = 'X-Upstream-Signature: s\r\n'


def _format_response(
    request_id: str | None, status: int, extra: str = ''
) -> bytes:
    echo = '' if request_id is None else f'X-Attempt-Id: {request_id}\r\n'
    head = f'HTTP/1.1 {status} X\r\n{echo}{extra}Content-Length: 2\r\n\r\n'
    return f'{head}ok'.encode()


class RawTarget:
    """A target that writes given bytes for each request it receives."""

    def __init__(self, *responses: bytes) -> None:
        """Closes a connection when there are no more responses."""
        self._responses = list(responses)
        self.heads: list[bytes] = []
        self.connections = 0

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[int]:
        """Listens; yields the port."""
        listener = await asyncio.start_server(self._serve, HOST, 0)
        try:
            yield listener.sockets[0].getsockname()[1]
        finally:
            listener.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, OSError):
                while self._responses:
                    self.heads.append(await reader.readuntil(b'\r\n\r\n'))
                    writer.write(self._responses.pop(0))
                await reader.read()
        finally:
            writer.close()


def _exchange_twice(target: RawTarget, method: str = 'GET') -> list[SendResult]:
    async def run() -> list[SendResult]:
        pool = ConnectionPool.from_limits(PoolLimits())
        sender = make_sender(pool)
        async with target.running() as port:
            results = [
                await send_once(sender, port, request_id, method)
                for request_id in (EARLIER_ID, REQUEST_ID)
            ]
            await pool.close()
        return results

    return asyncio.run(run())


REFUSALS = {
    '503': _format_response(EARLIER_ID, 503, NOT_RUN),
    '429': _format_response(EARLIER_ID, 429, NOT_RUN),
    '421': _format_response(EARLIER_ID, 421),
}


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('status', list(REFUSALS))
def test_a_refusal_that_is_written_again_is_not_of_the_next_request(
    status: str, method: str
) -> None:
    refusal = REFUSALS[status]
    served = _format_response(REQUEST_ID, 200, SIGNED)
    target = RawTarget(refusal, refusal + served)
    earlier, result = _exchange_twice(target, method)
    assert not earlier.may_have_run
    assert target.connections == 1
    assert (result.outcome, result.may_have_run) == (Outcome.SERVED, True)


@pytest.mark.parametrize('status', list(REFUSALS))
def test_a_request_may_have_run_if_only_another_ones_refusal_arrives(
    status: str,
) -> None:
    refusal = REFUSALS[status]
    _, result = _exchange_twice(RawTarget(refusal, refusal))
    assert result.may_have_run
    assert result.outcome is Outcome.SILENT


@pytest.mark.parametrize('status', [421, 429, 503])
def test_a_refusal_without_an_id_proves_nothing(status: int) -> None:
    anonymous = _format_response(None, status, NOT_RUN)
    earlier, _ = _exchange_twice(RawTarget(anonymous))
    assert (earlier.outcome, earlier.may_have_run) == (Outcome.BROKEN, True)


def test_a_connection_with_a_foreign_response_is_not_used_again() -> None:
    served = _format_response(EARLIER_ID, 200, SIGNED)
    foreign = _format_response('r0', 200, SIGNED)
    target = RawTarget(
        foreign + served, _format_response(REQUEST_ID, 200, SIGNED)
    )
    results = _exchange_twice(target)
    assert {result.outcome for result in results} == {Outcome.SERVED}
    assert target.connections == 2


def test_responses_to_others_without_end_are_cut_off() -> None:
    foreign = _format_response('r0', 200, SIGNED)
    results = _exchange_twice(RawTarget(foreign * 50))
    assert results[0].outcome is Outcome.BROKEN
    assert results[0].seconds < CUT_OFF_SECONDS
