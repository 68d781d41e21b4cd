"""One send of a request to one target, and what its answer is worth."""

from collections.abc import AsyncIterator
from typing import Final

from attrs import define, evolve, frozen
from jacinthcroft_decisions.dispatch import (
    IDLE_CONNECTION_SECONDS,
    Grant,
    Outcome,
)
from jacinthcroft_http import (
    Answer,
    BodyCut,
    ConnectionPool,
    Headers,
    IncomingRequest,
    Interrupted,
    NothingSent,
    OutgoingRequest,
    Response,
    now,
    strip_hop_by_hop,
)

from jacinthcroft_daemon.internal.seeded.admission import Admission, Admitted
from jacinthcroft_daemon.internal.seeded.deployment import HeaderNames

# Answers up to this size are read whole before the caller gets any of it, so
# that one that breaks off can be had from another target.
HELD_ANSWER_BYTES: Final = 4 * 1024 * 1024
# A target that has forgotten a connection resets it at once, in seconds: some
# trips between zones on a busy VM.
STALE_SECONDS: Final = 0.06
_MISDIRECTED: Final = 421
_FIRST_FAILURE: Final = 500


@frozen
class SendResult:
    """How a send ended, after how many seconds.

    `may_have_run` is False only where the target says so or nothing left
    this VM. `response` is what the caller may get of it.
    """

    outcome: Outcome
    seconds: float
    may_have_run: bool
    detail: str
    response: Response | None = None
    was_rested: bool = False


@define(eq=False)
class Sender:
    """Sends admitted requests to granted targets."""

    _pool: ConnectionPool
    _header_names: HeaderNames
    _admission: Admission

    async def send(
        self,
        admitted: Admitted,
        request: IncomingRequest,
        body: bytes | AsyncIterator[bytes] | None,
        grant: Grant,
    ) -> SendResult:
        """Sends once and reads the whole answer."""
        begun = now()
        outgoing = OutgoingRequest(
            grant.host,
            grant.port,
            request.method,
            request.target,
            self._headers(admitted, request, grant),
            body,
            self._header_names.time_left,
            grant.max_rest,
        )
        outcome = await self._pool.send(
            outgoing,
            max(0, admitted.expires - begun),
            lambda: self._admission.may_still_send(admitted),
        )
        if isinstance(outcome, NothingSent):
            return self._judge_unsent(outcome, now() - begun)
        if isinstance(outcome, Interrupted):
            return _interrupted(outcome, now() - begun)
        result = await self._read(admitted, outcome, begun)
        return evolve(result, was_rested=_has_rested(outcome.idle_seconds))

    def _headers(
        self,
        admitted: Admitted,
        request: IncomingRequest,
        grant: Grant,
    ) -> Headers:
        header_names = self._header_names
        headers = strip_hop_by_hop(request.headers).without(
            'authorization',
            header_names.time_left,
            header_names.team,
            header_names.expected_target,
        )
        added = [(header_names.expected_target, grant.target_id)]
        if admitted.team is not None:
            added.append((header_names.team, admitted.team.name))
        return headers.with_added(*added)

    def _judge_unsent(self, outcome: NothingSent, took: float) -> SendResult:
        reported = Outcome.ABANDONED
        if outcome.reason in {'connect-failed', 'connect-timeout', 'closed'}:
            reported = Outcome.UNREACHABLE
        detail = f'{outcome.reason}: {outcome.detail}'
        return SendResult(reported, took, may_have_run=False, detail=detail)

    async def _read(
        self,
        admitted: Admitted,
        answer: Answer,
        begun: float,
    ) -> SendResult:
        try:
            body = await answer.read(HELD_ANSWER_BYTES)
        except BodyCut as cut:
            return _interrupted(cut.cause, now() - begun)
        took = now() - begun
        if isinstance(body, Interrupted):
            return _interrupted(body, took)
        if not isinstance(body, bytes):
            return SendResult(
                Outcome.BROKEN,
                took,
                may_have_run=True,
                detail=f'answer over {HELD_ANSWER_BYTES} bytes',
            )
        return self._judge(admitted, answer, body, took)

    def _judge(
        self,
        admitted: Admitted,
        answer: Answer,
        body: bytes,
        took: float,
    ) -> SendResult:
        headers = answer.headers
        if answer.status == _MISDIRECTED:
            return SendResult(
                Outcome.MISPLACED,
                took,
                may_have_run=False,
                detail='another target has the address',
            )
        if headers.get(self._header_names.not_run) is not None:
            return SendResult(
                Outcome.SHED,
                took,
                may_have_run=False,
                detail=f'target did not run it ({answer.status})',
            )
        fault = self._find_fault(admitted, answer)
        if fault is not None:
            return SendResult(
                Outcome.BROKEN,
                took,
                may_have_run=True,
                detail=fault,
            )
        is_failure = answer.status >= _FIRST_FAILURE
        return SendResult(
            Outcome.ERROR if is_failure else Outcome.SERVED,
            took,
            may_have_run=True,
            detail=f'status {answer.status}',
            response=Response(
                answer.status,
                strip_hop_by_hop(headers),
                body,
            ),
        )

    def _find_fault(self, admitted: Admitted, answer: Answer) -> str | None:
        headers = answer.headers
        echoed = headers.get(self._header_names.request_id)
        if echoed != admitted.request_id:
            return f'answer to another request ({echoed})'
        if headers.get(self._header_names.signature) is None:
            return 'answer without signature'
        if headers.get('content-encoding') is not None:
            return 'answer in an encoding that nobody asked for'
        return None


def _interrupted(outcome: Interrupted, took: float) -> SendResult:
    was_rested = _has_rested(outcome.idle_seconds)
    reported = Outcome.BROKEN
    if outcome.reason == 'timeout':
        reported = Outcome.SILENT
    elif outcome.reason == 'reset' and was_rested and took < STALE_SECONDS:
        reported = Outcome.STALE
    return SendResult(
        reported,
        took,
        may_have_run=True,
        detail=f'{outcome.reason}: {outcome.detail}',
        was_rested=was_rested,
    )


def _has_rested(seconds: float | None) -> bool:
    return seconds is not None and seconds >= IDLE_CONNECTION_SECONDS
