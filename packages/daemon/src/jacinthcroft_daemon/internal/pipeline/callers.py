"""The callers' port: one request in, its whole answer or a refusal out."""

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
from jacinthcroft_daemon.internal.pipeline.refusals import (
    Outcome,
    Reason,
    Refusal,
    refusal_response,
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
_RETRY_SOON_SECONDS: Final = 1.0
_REASON_BY_NAME = {reason.value: reason for reason in Reason}


class CallerHandler:
    """Handles callers' requests."""

    def __init__(
        self,
        settings: Settings,
        admission: Admission,
        quarantine: QuarantineService,
        runner: RequestRunner,
        once: AtMostOnceRunner,
        reporter: RequestReporter,
    ) -> None:
        """Puts the stages of the request path together."""
        self._vm = settings.vm.name
        self._limit = settings.tunables.queue_limit
        self._max_body_bytes = settings.tunables.max_body_bytes
        self._admission = admission
        self._quarantine = quarantine
        self._runner = runner
        self._once = once
        self._reporter = reporter
        self._running = 0

    async def handle(self, request: IncomingRequest) -> Response:
        """Returns the answer to one request."""
        request_id = f'{self._vm}-{secrets.token_hex(_REQUEST_ID_BYTES)}'
        self._reporter.record_step(request_id, 'received', request.method)
        admitted = self._admission.admit(request, request_id)
        if isinstance(admitted, Refusal):
            return self._refuse(request_id, admitted, None)
        if self._running >= self._limit:
            return self._refuse(request_id, _overloaded(admitted), admitted)
        self._running += 1
        try:
            answer = await self._run(admitted, request)
        finally:
            self._running -= 1
        if isinstance(answer, Refusal):
            return self._refuse(request_id, answer, admitted)
        self._reporter.record_answer(
            admitted, answer.status, request.received_at
        )
        return _response(answer, request_id)

    def refuse_unreadable(self, bad_request: BadRequest) -> Response:
        """Returns the refusal of what is no HTTP request."""
        request_id = f'{self._vm}-{secrets.token_hex(_REQUEST_ID_BYTES)}'
        reason = _REASON_BY_NAME.get(
            bad_request.reason,
            Reason.MALFORMED_REQUEST,
        )
        outcome = Outcome.NOT_RUN
        if bad_request.is_in_body:
            # The work was under way when its body broke off.
            outcome = Outcome.UNKNOWN
        refusal = Refusal(reason, outcome, bad_request.detail)
        return self._refuse(request_id, refusal, None)

    async def _run(
        self,
        admitted: AdmittedRequest,
        request: IncomingRequest,
    ) -> TargetAnswer | Refusal:
        if _declared_bytes(request) > self._max_body_bytes:
            return _body_too_large(admitted)
        try:
            async with asyncio.timeout(max(admitted.deadline - now(), 0)):
                body = await buffer_body(request, self._max_body_bytes)
        except TimeoutError:
            return _body_too_slow(admitted)
        mark = fingerprint(
            request.method,
            request.target,
            admitted.team_name,
            body.digest,
        )
        if self._quarantine.is_quarantined(mark):
            return _quarantined(_before_claim(admitted))
        if admitted.route.is_idempotent:
            return await self._runner.run(admitted, request, body, mark)
        return await self._once.run(admitted, request, body, mark)

    def _refuse(
        self,
        request_id: str,
        refusal: Refusal,
        admitted: AdmittedRequest | None,
    ) -> Response:
        self._reporter.record_refusal(request_id, refusal, admitted)
        return refusal_response(refusal, request_id)


def _response(answer: TargetAnswer, request_id: str) -> Response:
    pairs = (*answer.headers, ('x-request-id', request_id))
    return Response(
        status=answer.status,
        headers=Headers(pairs),
        body=answer.body,
    )


def _before_claim(admitted: AdmittedRequest) -> Outcome:
    # An earlier sending of the same key may have run.
    return Outcome.NOT_RUN if admitted.route.is_idempotent else Outcome.UNKNOWN


def _body_too_slow(admitted: AdmittedRequest) -> Refusal:
    return Refusal(
        Reason.DEADLINE_EXCEEDED,
        _before_claim(admitted),
        'the body did not come within the deadline',
    )


def _declared_bytes(request: IncomingRequest) -> int:
    declared = request.headers.get('content-length') or ''
    return int(declared) if declared.isdecimal() else 0


def _body_too_large(admitted: AdmittedRequest) -> Refusal:
    return Refusal(
        Reason.BODY_TOO_LARGE,
        _before_claim(admitted),
        'the body is larger than this fleet takes',
    )


def _overloaded(admitted: AdmittedRequest) -> Refusal:
    return Refusal(
        Reason.OVERLOADED,
        _before_claim(admitted),
        'this VM runs as many requests as it bears',
        _RETRY_SOON_SECONDS,
    )


def _quarantined(outcome: Outcome) -> Refusal:
    return Refusal(
        Reason.QUARANTINED,
        outcome,
        'this request crashed several targets; retry it later',
    )
