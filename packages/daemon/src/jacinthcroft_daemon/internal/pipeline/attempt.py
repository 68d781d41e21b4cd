"""Sends a request once, to the target that its permit names."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Final

from attrs import field, frozen
from jacinthcroft_config import Address
from jacinthcroft_daemon.internal.pipeline.admission import (
    Admission,
    AdmittedRequest,
)
from jacinthcroft_daemon.internal.pipeline.bodies import RequestBody
from jacinthcroft_daemon.internal.pipeline.deferred_report import DeferredReport
from jacinthcroft_daemon.internal.pipeline.refusals import Refusal
from jacinthcroft_daemon.internal.pipeline.reported_body import ReportedBody
from jacinthcroft_daemon.internal.sharing.permits import PermitService
from jacinthcroft_decisions.traffic import HeldPermit, RunOutcome, SpentToken
from jacinthcroft_http import (
    Answer,
    ConnectionPool,
    Headers,
    IncomingRequest,
    Interrupted,
    NothingSent,
    OutgoingRequest,
    now,
    strip_hop_by_hop,
)

_UNAVAILABLE: Final = 503
# A connection that times out after less than this shows that the request's
# deadline was near, not that the target is unhealthy.
_MIN_CONNECT_SECONDS: Final = 0.25
_TARGET_ONLY_HEADERS: Final = (
    'x-boot-id',
    'x-draining',
    'x-shed',
    'x-request-id',
)
_CALLER_ONLY_HEADERS: Final = (
    'authorization',
    'host',
    'x-team',
    'x-request-id',
    'deadline-ms',
    'expect',
)


@dataclass(frozen=True)
class AttemptAnswered:
    """The target's answer to the request.

    `body` is bytes if all of it arrived with the head, else a stream.
    """

    status: int
    headers: Headers
    body: bytes | AsyncIterator[bytes]


@dataclass(frozen=True)
class AttemptNotRun:
    """The request provably did not run: it was not sent, or it was shed."""

    detail: str
    is_shed: bool = False
    withdrawal: Refusal | None = None


@dataclass(frozen=True)
class AnswerLost:
    """The request may have run; its answer is lost."""

    target: str
    outcome: RunOutcome
    detail: str


AttemptOutcome = AttemptAnswered | AttemptNotRun | AnswerLost


@frozen
class Reservation:
    """The permit and, for a request of a team, the token of one attempt."""

    cell: str
    permit: HeldPermit
    token: SpentToken | None


@frozen
class _Run:
    """One attempt under way; `started_at` is in seconds of the boot clock."""

    reservation: Reservation
    started_at: float
    deferred_report: DeferredReport = field(factory=DeferredReport)


class AttemptSender:
    """Sends requests to targets and finishes their permits."""

    def __init__(
        self,
        admission: Admission,
        permits: PermitService,
        pool: ConnectionPool,
    ) -> None:
        """Rechecks requests with `admission` before their first byte."""
        self._admission = admission
        self._permits = permits
        self._pool = pool

    async def send(
        self,
        admitted: AdmittedRequest,
        request: IncomingRequest,
        body: RequestBody,
        reservation: Reservation,
        timeout: float,
    ) -> AttemptOutcome:
        """Sends the request once and returns the outcome."""
        run = _Run(reservation, now())
        outgoing = self._build_request(admitted, request, body, reservation)
        try:
            outcome = await self._pool.send(
                outgoing,
                timeout,
                lambda: self._may_send(admitted, run),
                run.deferred_report.mark_run_over,
            )
        except BaseException:
            # The caller has disconnected. The pool has closed the connection,
            # which tells the target to cancel the run.
            self._finish_after_run(run, RunOutcome.CANCELLED)
            raise
        if isinstance(outcome, NothingSent):
            return self._report_not_sent(admitted, outcome, run, timeout)
        if isinstance(outcome, Interrupted):
            return self._report_lost_answer(outcome, run)
        return await self._interpret_answer(admitted, outcome, run)

    def _may_send(self, admitted: AdmittedRequest, run: _Run) -> bool:
        moment = now()
        token = run.reservation.token
        may_send = (
            moment < admitted.deadline
            and run.reservation.permit.is_startable(moment)
            and (token is None or token.is_valid(moment))
            and self._admission.find_withdrawal(admitted) is None
        )
        if may_send:
            run.deferred_report.mark_run_started()
        return may_send

    def _report_not_sent(
        self,
        admitted: AdmittedRequest,
        outcome: NothingSent,
        run: _Run,
        timeout: float,
    ) -> AttemptNotRun:
        run_outcome = RunOutcome.UNUSED
        is_too_short = timeout < _MIN_CONNECT_SECONDS
        is_connect_failure = outcome.reason == 'connect-failed'
        is_connect_timeout = (
            outcome.reason == 'connect-timeout' and not is_too_short
        )
        if is_connect_failure or is_connect_timeout:
            run_outcome = RunOutcome.CONNECT_FAILED
        self._finish(run, run_outcome)
        return AttemptNotRun(
            f'{outcome.reason}: {outcome.detail}',
            withdrawal=self._admission.find_withdrawal(admitted),
        )

    def _report_lost_answer(
        self, outcome: Interrupted, run: _Run
    ) -> AnswerLost:
        run_outcome = RunOutcome.RESET
        if outcome.reason == 'timeout':
            run_outcome = RunOutcome.STALLED
        self._finish(run, run_outcome)
        return AnswerLost(
            run.reservation.permit.target,
            run_outcome,
            f'{outcome.reason}: {outcome.detail}',
        )

    async def _interpret_answer(
        self,
        admitted: AdmittedRequest,
        answer: Answer,
        run: _Run,
    ) -> AttemptOutcome:
        headers = answer.headers
        is_shed = answer.status == _UNAVAILABLE and headers.get('x-shed') == '1'
        answered_id = headers.get('x-request-id')
        is_anonymous = answered_id is None and not is_shed
        if answered_id != admitted.request_id and not is_anonymous:
            answer.close()
            self._finish_after_run(run, RunOutcome.CROSSED)
            return AnswerLost(
                run.reservation.permit.target,
                RunOutcome.CROSSED,
                "the answer's x-request-id is not that of the request",
            )
        if is_shed:
            answer.close()
            self._finish(run, RunOutcome.SHED, answer)
            return AttemptNotRun('the target shed the request', is_shed=True)
        if not answer.is_framed:
            # Such an answer ends with its connection, so that the crash of a
            # target in mid-answer would look like a complete answer.
            answer.close()
            self._finish_after_run(run, RunOutcome.RESET, answer)
            return AnswerLost(
                run.reservation.permit.target,
                RunOutcome.RESET,
                'the answer has neither a Content-Length nor chunked framing',
            )
        body = ReportedBody(
            answer,
            lambda run_outcome: self._finish_after_run(
                run, run_outcome, answer
            ),
        )
        return AttemptAnswered(
            answer.status,
            strip_hop_by_hop(headers).without(*_TARGET_ONLY_HEADERS),
            await body.read_if_complete(),
        )

    def _finish_after_run(
        self,
        run: _Run,
        outcome: RunOutcome,
        answer: Answer | None = None,
    ) -> None:
        """Finishes the permit as soon as the run at the target is over."""
        ended_at = now()
        run.deferred_report.report_after_run(
            lambda: self._report(run, outcome, answer, ended_at),
        )

    def _finish(
        self,
        run: _Run,
        outcome: RunOutcome,
        answer: Answer | None = None,
    ) -> None:
        self._report(run, outcome, answer, now())

    def _report(
        self,
        run: _Run,
        outcome: RunOutcome,
        answer: Answer | None,
        ended_at: float,
    ) -> None:
        headers = Headers(()) if answer is None else answer.headers
        self._permits.finish_run(
            run.reservation.cell,
            run.reservation.permit,
            outcome,
            ended_at - run.started_at,
            headers.get('x-boot-id'),
            is_draining=headers.get('x-draining') == '1',
        )

    def _build_request(
        self,
        admitted: AdmittedRequest,
        request: IncomingRequest,
        body: RequestBody,
        reservation: Reservation,
    ) -> OutgoingRequest:
        permit = reservation.permit
        address = Address(permit.address_host, permit.address_port)
        forwarded = strip_hop_by_hop(request.headers).without(
            *_CALLER_ONLY_HEADERS
        )
        return OutgoingRequest(
            host=address.host,
            port=address.port,
            method=request.method,
            target=request.target,
            headers=forwarded.with_added(
                ('host', str(address)),
                ('x-request-id', admitted.request_id),
                ('x-team', admitted.team_name),
            ),
            body=body.to_outgoing_body(),
            # The target stops at this attempt's deadline even if it does not
            # notice that the connection was closed.
            time_left_header='deadline-ms',
        )
