"""Handles the requests of callers, from admission to the response."""

import asyncio
import secrets
from typing import Final

from jacinthcroft_config import Settings
from jacinthcroft_daemon.internal.pipeline.admission import (
    Admission,
    AdmittedRequest,
)
from jacinthcroft_daemon.internal.pipeline.at_most_once import AtMostOnceRunner
from jacinthcroft_daemon.internal.pipeline.bodies import buffer_body
from jacinthcroft_daemon.internal.pipeline.planned_stop import (
    GivenUp,
    PlannedStop,
)
from jacinthcroft_daemon.internal.pipeline.refusals import (
    Outcome,
    Reason,
    Refusal,
    make_refusal_response,
)
from jacinthcroft_daemon.internal.pipeline.reporting import RequestReporter
from jacinthcroft_daemon.internal.pipeline.runner import (
    RequestRunner,
    TargetAnswer,
)
from jacinthcroft_daemon.internal.sharing.quarantine import QuarantineService
from jacinthcroft_decisions.traffic import fingerprint
from jacinthcroft_http import (
    BadRequest,
    Headers,
    IncomingRequest,
    Response,
    now,
)

_REQUEST_ID_BYTES: Final = 8
_RETRY_AFTER_SECONDS: Final = 1.0
_REFUSED_AT_STOP: Final = Refusal(
    Reason.STOPPED,
    Outcome.UNKNOWN,
    'this VM stopped before the request had ended',
)
_REASON_BY_NAME = {reason.value: reason for reason in Reason}


class CallerHandler:
    """Answers each request with the target's answer or a refusal."""

    def __init__(
        self,
        settings: Settings,
        admission: Admission,
        quarantine: QuarantineService,
        runner: RequestRunner,
        at_most_once: AtMostOnceRunner,
        reporter: RequestReporter,
        stop: PlannedStop,
    ) -> None:
        """Creates a handler from the stages of the request path."""
        self._vm = settings.vm.name
        self._max_running = settings.tunables.queue_limit
        self._max_body_bytes = settings.tunables.max_body_bytes
        self._admission = admission
        self._quarantine = quarantine
        self._runner = runner
        self._at_most_once = at_most_once
        self._reporter = reporter
        self._stop = stop
        self._running = 0

    async def handle(self, request: IncomingRequest) -> Response:
        """Returns the response to one request."""
        request_id = f'{self._vm}-{secrets.token_hex(_REQUEST_ID_BYTES)}'
        self._reporter.record_step(request_id, 'received', request.method)
        admitted = self._admission.admit(request, request_id)
        if isinstance(admitted, Refusal):
            return self._refuse(request_id, admitted, None)
        if self._running >= self._max_running:
            return self._refuse(
                request_id, _refuse_overload(admitted), admitted
            )
        self._running += 1
        try:
            async with self._stop.running():
                answer = await self._run_admitted(admitted, request)
        except GivenUp:
            answer = _REFUSED_AT_STOP
        finally:
            self._running -= 1
        if isinstance(answer, Refusal):
            return self._refuse(request_id, answer, admitted)
        self._reporter.record_answer(
            admitted, answer.status, request.received_at
        )
        return _make_response(answer, request_id)

    def refuse_bad_request(self, bad_request: BadRequest) -> Response:
        """Returns the refusal of a request that is not valid HTTP."""
        request_id = f'{self._vm}-{secrets.token_hex(_REQUEST_ID_BYTES)}'
        reason = _REASON_BY_NAME.get(
            bad_request.reason,
            Reason.MALFORMED_REQUEST,
        )
        outcome = Outcome.NOT_RUN
        if bad_request.is_in_body:
            # The request may have been running when its body was cut off.
            outcome = Outcome.UNKNOWN
        refusal = Refusal(reason, outcome, bad_request.detail)
        return self._refuse(request_id, refusal, None)

    async def _run_admitted(
        self,
        admitted: AdmittedRequest,
        request: IncomingRequest,
    ) -> TargetAnswer | Refusal:
        if _read_declared_bytes(request) > self._max_body_bytes:
            return _refuse_large_body(admitted)
        try:
            async with asyncio.timeout(max(admitted.deadline - now(), 0)):
                body = await buffer_body(request, self._max_body_bytes)
        except TimeoutError:
            return _refuse_slow_body(admitted)
        if not self._stop.may_take(admitted.deadline):
            return _refuse_stopping(admitted)
        request_fingerprint = fingerprint(
            request.method,
            request.target,
            admitted.team_name,
            body.digest,
        )
        if self._quarantine.is_quarantined(request_fingerprint):
            return _refuse_quarantined(_outcome_before_claim(admitted))
        if admitted.route.is_idempotent:
            return await self._runner.run(
                admitted, request, body, request_fingerprint
            )
        return await self._at_most_once.run(
            admitted, request, body, request_fingerprint
        )

    def _refuse(
        self,
        request_id: str,
        refusal: Refusal,
        admitted: AdmittedRequest | None,
    ) -> Response:
        self._reporter.record_refusal(request_id, refusal, admitted)
        return make_refusal_response(refusal, request_id)


def _make_response(answer: TargetAnswer, request_id: str) -> Response:
    pairs = (*answer.headers, ('x-request-id', request_id))
    return Response(
        status=answer.status,
        headers=Headers(pairs),
        body=answer.body,
    )


def _outcome_before_claim(admitted: AdmittedRequest) -> Outcome:
    # An earlier request with the same Idempotency-Key may have run.
    return Outcome.NOT_RUN if admitted.route.is_idempotent else Outcome.UNKNOWN


def _refuse_slow_body(admitted: AdmittedRequest) -> Refusal:
    return Refusal(
        Reason.DEADLINE_EXCEEDED,
        _outcome_before_claim(admitted),
        'the request body did not arrive before the deadline',
    )


def _read_declared_bytes(request: IncomingRequest) -> int:
    declared = request.headers.get('content-length') or ''
    return int(declared) if declared.isdecimal() else 0


def _refuse_large_body(admitted: AdmittedRequest) -> Refusal:
    return Refusal(
        Reason.BODY_TOO_LARGE,
        _outcome_before_claim(admitted),
        'the request body exceeds the size limit of the fleet',
    )


def _refuse_overload(admitted: AdmittedRequest) -> Refusal:
    return Refusal(
        Reason.OVERLOADED,
        _outcome_before_claim(admitted),
        'this VM has reached its limit of running requests',
        _RETRY_AFTER_SECONDS,
    )


def _refuse_stopping(admitted: AdmittedRequest) -> Refusal:
    return Refusal(
        Reason.STOPPING,
        _outcome_before_claim(admitted),
        'this VM stops',
        _RETRY_AFTER_SECONDS,
    )


def _refuse_quarantined(outcome: Outcome) -> Refusal:
    return Refusal(
        Reason.QUARANTINED,
        outcome,
        'this request crashed several targets',
    )
