"""One attempt: a request to the target that a permit names."""

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
# A connection that had less time than this speaks against the request's
# deadline, not against the target.
_MIN_CONNECT_SECONDS: Final = 0.25
_OWN_ANSWER_HEADERS: Final = (
    'x-boot-id',
    'x-draining',
    'x-shed',
    'x-request-id',
)
_OWN_REQUEST_HEADERS: Final = (
    'authorization',
    'host',
    'x-team',
    'x-request-id',
    'deadline-ms',
    'expect',
)


@dataclass(frozen=True)
class AttemptAnswered:
    """The target's answer to this very request.

    The body is in hand where it came with the head, else still to be read.
    """

    status: int
    headers: Headers
    body: bytes | AsyncIterator[bytes]


@dataclass(frozen=True)
class AttemptNotRun:
    """Provably nothing left this VM, or the target proved it ran nothing."""

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
    """What an attempt spends: a permit and, on keyed routes, a token."""

    cell: str
    permit: HeldPermit
    token: SpentToken | None


@frozen
class _Run:
    """What one attempt began with; `started_at` is on the boot clock."""

    reservation: Reservation
    started_at: float
    end: DeferredReport = field(factory=DeferredReport)


class AttemptSender:
    """Sends attempts and reports how each ended."""

    def __init__(
        self,
        admission: Admission,
        permits: PermitService,
        pool: ConnectionPool,
    ) -> None:
        """Checks with `admission` once more before the first byte."""
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
        """Sends the request once and returns how it went."""
        run = _Run(reservation, now())
        outgoing = self._outgoing(admitted, request, body, reservation)
        try:
            outcome = await self._pool.send(
                outgoing,
                timeout,
                lambda: self._may_send(admitted, run),
                run.end.note_over,
            )
        except BaseException:
            # Cancelled: the caller has gone, and the pool has closed the
            # connection, which passes the cancellation on.
            self._finish_when_over(run, RunOutcome.CANCELLED)
            raise
        if isinstance(outcome, NothingSent):
            return self._not_sent(admitted, outcome, run, timeout)
        if isinstance(outcome, Interrupted):
            return self._lost(outcome, run)
        return await self._interpret(admitted, outcome, run)

    def _may_send(self, admitted: AdmittedRequest, run: _Run) -> bool:
        moment = now()
        token = run.reservation.token
        may_send = (
            moment < admitted.deadline
            and run.reservation.permit.is_startable(moment)
            and (token is None or token.is_valid(moment))
            and self._admission.withdrawal(admitted) is None
        )
        if may_send:
            run.end.note_begun()
        return may_send

    def _not_sent(
        self,
        admitted: AdmittedRequest,
        outcome: NothingSent,
        run: _Run,
        timeout: float,
    ) -> AttemptNotRun:
        run_outcome = RunOutcome.UNUSED
        is_hurried = timeout < _MIN_CONNECT_SECONDS
        is_refused = outcome.reason == 'connect-failed'
        is_silent = outcome.reason == 'connect-timeout' and not is_hurried
        if is_refused or is_silent:
            run_outcome = RunOutcome.CONNECT_FAILED
        self._finish(run, run_outcome)
        return AttemptNotRun(
            f'{outcome.reason}: {outcome.detail}',
            withdrawal=self._admission.withdrawal(admitted),
        )

    def _lost(self, outcome: Interrupted, run: _Run) -> AnswerLost:
        run_outcome = RunOutcome.RESET
        if outcome.reason == 'timeout':
            run_outcome = RunOutcome.STALLED
        self._finish(run, run_outcome)
        return AnswerLost(
            run.reservation.permit.target,
            run_outcome,
            f'{outcome.reason}: {outcome.detail}',
        )

    async def _interpret(
        self,
        admitted: AdmittedRequest,
        answer: Answer,
        run: _Run,
    ) -> AttemptOutcome:
        headers = answer.headers
        answered_id = headers.get('x-request-id')
        if answered_id is not None and answered_id != admitted.request_id:
            answer.close()
            self._finish_when_over(run, RunOutcome.CROSSED)
            return AnswerLost(
                run.reservation.permit.target,
                RunOutcome.CROSSED,
                'the target answered another request',
            )
        if answer.status == _UNAVAILABLE and headers.get('x-shed') == '1':
            answer.close()
            self._finish(run, RunOutcome.SHED, answer)
            return AttemptNotRun('the target shed the request', is_shed=True)
        if not answer.is_framed:
            # Its end is the connection's end, and a target that dies in the
            # middle would pass for one that has finished.
            answer.close()
            self._finish_when_over(run, RunOutcome.RESET, answer)
            return AnswerLost(
                run.reservation.permit.target,
                RunOutcome.RESET,
                'the answer does not tell where it ends',
            )
        body = ReportedBody(
            answer,
            lambda end: self._finish_when_over(run, end, answer),
        )
        return AttemptAnswered(
            answer.status,
            strip_hop_by_hop(headers).without(*_OWN_ANSWER_HEADERS),
            await body.at_once(),
        )

    def _finish_when_over(
        self,
        run: _Run,
        outcome: RunOutcome,
        answer: Answer | None = None,
    ) -> None:
        """Finishes once the run is over; where it is already, at once."""
        ended_at = now()
        run.end.report_when_over(
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

    def _outgoing(
        self,
        admitted: AdmittedRequest,
        request: IncomingRequest,
        body: RequestBody,
        reservation: Reservation,
    ) -> OutgoingRequest:
        permit = reservation.permit
        address = Address(permit.address_host, permit.address_port)
        kept = strip_hop_by_hop(request.headers).without(*_OWN_REQUEST_HEADERS)
        return OutgoingRequest(
            host=address.host,
            port=address.port,
            method=request.method,
            target=request.target,
            headers=kept.with_added(
                ('host', str(address)),
                ('x-request-id', admitted.request_id),
                ('x-team', admitted.team_name),
            ),
            body=body.stream(),
            # The target stops when this attempt does, whether it hears of
            # the end or not.
            time_left_header='deadline-ms',
        )
