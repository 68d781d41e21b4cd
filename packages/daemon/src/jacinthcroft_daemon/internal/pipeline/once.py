"""Non-idempotent work: claimed first, dispatched at most once, recorded."""

import asyncio
import base64
from collections.abc import AsyncIterator
from typing import Final

from jacinthcroft_daemon.internal.pipeline.admission import Work
from jacinthcroft_daemon.internal.pipeline.bodies import RequestBody, chain_body
from jacinthcroft_daemon.internal.pipeline.refusals import (
    Outcome,
    Reason,
    Refusal,
)
from jacinthcroft_daemon.internal.pipeline.reporting import RequestReporter
from jacinthcroft_daemon.internal.pipeline.runner import Finished, Runner
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

# Answers up to this size are kept for resends.
RECORDED_ANSWER_BYTES: Final = 65_536
_RETRY_SOON_SECONDS: Final = 1.0
# Recorded along with an answer, so that the same key with another request
# does not get it; never sent to callers.
_FINGERPRINT_HEADER: Final = 'x-recorded-fingerprint'


class OnceRunner:
    """Runs work that must not repeat."""

    def __init__(
        self,
        claims: ClaimService,
        runner: Runner,
        reporter: RequestReporter,
    ) -> None:
        """Claims through `claims`, then runs through `runner`."""
        self._reporter = reporter
        self._claims = claims
        self._runner = runner
        self._running: set[asyncio.Task[Finished | Refusal]] = set()

    async def run(
        self,
        work: Work,
        request: IncomingRequest,
        body: RequestBody,
        fingerprint: str,
    ) -> Finished | Refusal:
        """Returns the answer, the recorded answer or a refusal.

        Once claimed, the work goes on when its caller leaves, so that the
        answer is recorded and a resend finds it.
        """
        running = asyncio.create_task(
            self._run_claimed(work, request, body, fingerprint),
        )
        self._running.add(running)
        running.add_done_callback(self._running.discard)
        return await asyncio.shield(running)

    async def finish(self) -> None:
        """Waits until no claimed work runs any more."""
        while self._running:
            await asyncio.wait(self._running)
        await self._claims.finish_settling()

    async def _run_claimed(
        self,
        work: Work,
        request: IncomingRequest,
        body: RequestBody,
        fingerprint: str,
    ) -> Finished | Refusal:
        claim, verdict = await self._claims.claim_key(
            work.claimed_thing,
            work.deadline,
        )
        self._reporter.step(
            work.request_id,
            'claimed',
            type(verdict).__name__,
        )
        if not isinstance(verdict, ClaimGranted):
            return _without_claim(verdict, fingerprint)
        finished = await self._runner.run(work, request, body, fingerprint)
        if isinstance(finished, Refusal):
            if finished.outcome is Outcome.NOT_RUN:
                self._claims.settle_released(claim)
            return finished
        try:
            return await self._recorded(claim, finished, fingerprint)
        except BodyCut as cut:
            # Past this point the server would take it for the caller's own
            # body, which proves that nothing ran.
            return Refusal(
                Reason.TARGET_FAILED,
                Outcome.UNKNOWN,
                f'the answer broke off: {cut.cause.detail}',
            )

    async def _recorded(
        self,
        claim: Claim,
        finished: Finished,
        fingerprint: str,
    ) -> Finished:
        body = await _gather(finished.body)
        if isinstance(body, bytes) and len(body) <= RECORDED_ANSWER_BYTES:
            pairs = (*finished.headers, (_FINGERPRINT_HEADER, fingerprint))
            headers = tuple(Header(*pair) for pair in pairs)
            encoded = base64.b64encode(body).decode()
            answer = RecordedAnswer(finished.status, headers, encoded)
            self._claims.settle_answered(claim, answer)
        return Finished(finished.status, finished.headers, body)


def _without_claim(
    verdict: ClaimVerdict,
    fingerprint: str,
) -> Finished | Refusal:
    if isinstance(verdict, ClaimAnswered):
        return _replayed(verdict.answer, fingerprint)
    if isinstance(verdict, ClaimRunning):
        return Refusal(
            Reason.ALREADY_RUNNING,
            Outcome.UNKNOWN,
            'an earlier sending of this key is running',
            _RETRY_SOON_SECONDS,
        )
    if isinstance(verdict, ClaimUnavailable):
        is_certain = verdict.is_not_run_certain
        return Refusal(
            Reason.NO_WITNESSES,
            Outcome.NOT_RUN if is_certain else Outcome.UNKNOWN,
            "too few of the key's witnesses answered; send the same key again",
            _RETRY_SOON_SECONDS,
        )
    return Refusal(
        Reason.OUTCOME_UNKNOWN,
        Outcome.UNKNOWN,
        'an earlier sending of this key may have run and its answer is lost',
    )


def _replayed(answer: RecordedAnswer, fingerprint: str) -> Finished | Refusal:
    recorded = {one.name: one.value for one in answer.headers}
    if recorded.get(_FINGERPRINT_HEADER) != fingerprint:
        return Refusal(
            Reason.IDEMPOTENCY_KEY_REUSED,
            Outcome.UNKNOWN,
            'the key belongs to another request: make one for each',
        )
    headers = tuple(
        (one.name, one.value)
        for one in answer.headers
        if one.name != _FINGERPRINT_HEADER
    )
    return Finished(
        answer.status,
        (*headers, ('idempotency-replayed', 'true')),
        base64.b64decode(answer.body_base64),
    )


async def _gather(
    body: bytes | AsyncIterator[bytes],
) -> bytes | AsyncIterator[bytes]:
    """Returns a short body whole; a longer one goes on as a stream."""
    if isinstance(body, bytes):
        return body
    held = bytearray()
    async for chunk in body:
        held.extend(chunk)
        if len(held) > RECORDED_ANSWER_BYTES:
            return chain_body(bytes(held), body)
    return bytes(held)
