"""Runs non-idempotent requests at most once per idempotency key.

The key is claimed at its witnesses before the request is dispatched, and the
answer is recorded there for resends of the same key.
"""

import asyncio
import base64
from collections.abc import AsyncIterator
from typing import Final

from jacinthcroft_daemon.internal.pipeline.admission import AdmittedRequest
from jacinthcroft_daemon.internal.pipeline.bodies import RequestBody, chain_body
from jacinthcroft_daemon.internal.pipeline.refusals import (
    Outcome,
    Reason,
    Refusal,
)
from jacinthcroft_daemon.internal.pipeline.reporting import RequestReporter
from jacinthcroft_daemon.internal.pipeline.runner import (
    RequestRunner,
    TargetAnswer,
)
from jacinthcroft_daemon.internal.sharing.claims import ClaimService
from jacinthcroft_decisions.coordination import (
    Claim,
    ClaimAnswered,
    ClaimGranted,
    ClaimRunning,
    ClaimUnavailable,
    ClaimVerdict,
    Header,
    RecordedAnswer,
)
from jacinthcroft_http import BodyCut, IncomingRequest

# Answers with longer bodies are not recorded, so a resend does not get them.
MAX_RECORDED_BODY_BYTES: Final = 65_536
_RETRY_AFTER_SECONDS: Final = 1.0
# Recorded with the answer, so that another request with the same key is
# refused instead of getting this answer. Never sent to callers.
_FINGERPRINT_HEADER: Final = 'x-recorded-fingerprint'


class AtMostOnceRunner:
    """Runs requests on routes that are not idempotent."""

    def __init__(
        self,
        claims: ClaimService,
        runner: RequestRunner,
        reporter: RequestReporter,
    ) -> None:
        """Claims keys with `claims` and runs requests with `runner`."""
        self._reporter = reporter
        self._claims = claims
        self._runner = runner
        self._running: set[asyncio.Task[TargetAnswer | Refusal]] = set()

    async def run(
        self,
        admitted: AdmittedRequest,
        request: IncomingRequest,
        body: RequestBody,
        fingerprint: str,
    ) -> TargetAnswer | Refusal:
        """Returns the target's answer, its recorded answer or a refusal.

        The request continues when the caller disconnects, so that its
        answer is recorded for a resend.
        """
        running = asyncio.create_task(
            self._run_claimed(admitted, request, body, fingerprint),
        )
        self._running.add(running)
        running.add_done_callback(self._running.discard)
        return await asyncio.shield(running)

    async def wait_until_idle(self) -> None:
        """Waits for all running requests and the settling of their claims."""
        while self._running:
            await asyncio.wait(self._running)
        await self._claims.finish_settling()

    async def _run_claimed(
        self,
        admitted: AdmittedRequest,
        request: IncomingRequest,
        body: RequestBody,
        fingerprint: str,
    ) -> TargetAnswer | Refusal:
        claim, verdict = await self._claims.claim_key(
            admitted.claim_name,
            admitted.deadline,
        )
        self._reporter.record_step(
            admitted.request_id,
            'claimed',
            type(verdict).__name__,
        )
        if not isinstance(verdict, ClaimGranted):
            return _respond_without_claim(verdict, fingerprint)
        answer = await self._runner.run(admitted, request, body, fingerprint)
        if isinstance(answer, Refusal):
            if answer.outcome is Outcome.NOT_RUN:
                self._claims.settle_released(claim)
            return answer
        try:
            return await self._record_answer(claim, answer, fingerprint)
        except BodyCut as cut:
            # The server reads a BodyCut as a fault of the caller's body,
            # which would prove that nothing ran.
            return Refusal(
                Reason.TARGET_FAILED,
                Outcome.UNKNOWN,
                f"the target's answer was cut off: {cut.cause.detail}",
            )

    async def _record_answer(
        self,
        claim: Claim,
        answer: TargetAnswer,
        fingerprint: str,
    ) -> TargetAnswer:
        body = await _read_short_body(answer.body)
        if isinstance(body, bytes) and len(body) <= MAX_RECORDED_BODY_BYTES:
            pairs = (*answer.headers, (_FINGERPRINT_HEADER, fingerprint))
            headers = tuple(Header(*pair) for pair in pairs)
            encoded = base64.b64encode(body).decode()
            recorded = RecordedAnswer(answer.status, headers, encoded)
            self._claims.settle_answered(claim, recorded)
        return TargetAnswer(answer.status, answer.headers, body)


def _respond_without_claim(
    verdict: ClaimVerdict,
    fingerprint: str,
) -> TargetAnswer | Refusal:
    if isinstance(verdict, ClaimAnswered):
        return _replay_answer(verdict.answer, fingerprint)
    if isinstance(verdict, ClaimRunning):
        return Refusal(
            Reason.ALREADY_RUNNING,
            Outcome.UNKNOWN,
            'an earlier request with this Idempotency-Key is still running',
            _RETRY_AFTER_SECONDS,
        )
    if isinstance(verdict, ClaimUnavailable):
        is_certain = verdict.is_not_run_certain
        return Refusal(
            Reason.NO_WITNESSES,
            Outcome.NOT_RUN if is_certain else Outcome.UNKNOWN,
            'too few witnesses of the Idempotency-Key answered; '
            'retry with the same key',
            _RETRY_AFTER_SECONDS,
        )
    return Refusal(
        Reason.OUTCOME_UNKNOWN,
        Outcome.UNKNOWN,
        'an earlier request with this Idempotency-Key may have run; '
        'its answer is lost',
    )


def _replay_answer(
    answer: RecordedAnswer, fingerprint: str
) -> TargetAnswer | Refusal:
    recorded = {header.name: header.value for header in answer.headers}
    if recorded.get(_FINGERPRINT_HEADER) != fingerprint:
        return Refusal(
            Reason.IDEMPOTENCY_KEY_REUSED,
            Outcome.UNKNOWN,
            'this Idempotency-Key belongs to a different request; '
            'use a new key for each request',
        )
    headers = tuple(
        (header.name, header.value)
        for header in answer.headers
        if header.name != _FINGERPRINT_HEADER
    )
    return TargetAnswer(
        answer.status,
        (*headers, ('idempotency-replayed', 'true')),
        base64.b64decode(answer.body_base64),
    )


async def _read_short_body(
    body: bytes | AsyncIterator[bytes],
) -> bytes | AsyncIterator[bytes]:
    """Returns a body short enough to record as bytes, else as a stream."""
    if isinstance(body, bytes):
        return body
    buffered = bytearray()
    async for chunk in body:
        buffered.extend(chunk)
        if len(buffered) > MAX_RECORDED_BODY_BYTES:
            return chain_body(bytes(buffered), body)
    return bytes(buffered)
