"""A caller's request from its head to its answer.

A request that may run only once is sent again only after proof that it did
not run. One that may be repeated gets a second target when the first is slow
or fails; the first whole answer counts.
"""

import asyncio
from typing import Final

from attrs import define, evolve, field
from jacinthcroft_decisions.dispatch import (
    IDLE_CONNECTION_SECONDS,
    Ask,
    Grant,
    Outcome,
    RefusalReason,
)
from jacinthcroft_decisions.dispatch import Refusal as NotGranted
from jacinthcroft_decisions.internal.traffic.quarantine import fingerprint
from jacinthcroft_http import BodyCut, IncomingRequest, Response, now

from jacinthcroft_daemon.internal.pipeline.bodies import (
    RequestBody,
    buffer_body,
)
from jacinthcroft_daemon.internal.pipeline.refusals import (
    Outcome as Promise,
)
from jacinthcroft_daemon.internal.pipeline.refusals import (
    Reason,
    Refusal,
    make_refusal_response,
)
from jacinthcroft_daemon.internal.seeded.admission import Admission, Admitted
from jacinthcroft_daemon.internal.seeded.decision_client import DecisionClient
from jacinthcroft_daemon.internal.seeded.sender import Sender, SendResult
from jacinthcroft_daemon.internal.seeded.vm_metrics import VmMetrics
from jacinthcroft_daemon.internal.telemetry.counts import Count
from jacinthcroft_daemon.internal.telemetry.events import log_event

# Targets that may turn a request down, unrun, before its caller is told.
MAX_TURNED_DOWN: Final = 4
# What is told to callers where the deciding VM names no time, in seconds.
RETRY_SECONDS: Final = 0.3
# Between asks for a second target while the first send is under way, seconds.
ASK_AGAIN_SECONDS: Final = 0.25
FINGERPRINT_DIGITS: Final = 12

_REASONS: Final = {
    RefusalReason.RATE: Reason.RATE_EXCEEDED,
    RefusalReason.FULL: Reason.NO_CAPACITY,
    RefusalReason.NO_TARGET: Reason.NO_CAPACITY,
    RefusalReason.RETRY_BUDGET: Reason.NO_CAPACITY,
    RefusalReason.CRASHING: Reason.SUSPENDED,
}


@define(eq=False)
class _Progress:
    """What has become of a request so far."""

    admitted: Admitted
    request: IncomingRequest
    body: RequestBody
    fingerprint: str
    tried: list[str] = field(factory=list)
    runs: int = 0
    turned_down: int = 0
    unreached: int = 0
    failed: SendResult | None = None
    refusal: NotGranted | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether it may run a second time."""
        return self.admitted.route.is_repeatable and self.body.is_repeatable

    @property
    def has_met_stale_connection(self) -> bool:
        """Whether a kept connection has failed it: then others may too."""
        return self.failed is not None and self.failed.outcome is Outcome.STALE

    def note_failed(self, result: SendResult) -> None:
        """Keeps the result that says most of whether the request ran."""
        if result.may_have_run or self.failed is None:
            self.failed = result

    @property
    def may_send_more(self) -> bool:
        """Whether its route allows another target."""
        refused = self.turned_down + self.unreached
        if refused >= MAX_TURNED_DOWN:
            return False
        if refused and not self.body.is_repeatable:
            return False
        return self.runs < max(1, self.admitted.route.max_attempts)


@define(eq=False)
class RequestHandler:
    """Serves admitted requests."""

    _admission: Admission
    _client: DecisionClient
    _sender: Sender
    _host: str
    _metrics: VmMetrics

    async def serve(self, request: IncomingRequest) -> Response:
        """Returns the caller's answer."""
        admitted = self._admission.admit(request)
        if isinstance(admitted, Refusal):
            return self._refuse(request, admitted)
        limits = self._admission.limits
        try:
            body = await buffer_body(request, limits.body_bytes)
        except BodyCut as cut:
            if cut.cause.reason != 'protocol':
                raise
            refusal = Refusal(
                Reason.BODY_TOO_LARGE,
                Promise.NOT_RUN,
                cut.cause.detail,
            )
            return self._refuse(request, refusal)
        progress = _Progress(
            admitted,
            request,
            body,
            fingerprint(
                request.method,
                request.target,
                admitted.team_name,
                body.digest,
            )[:FINGERPRINT_DIGITS],
        )
        if progress.is_repeatable:
            return await self._run_repeatable(progress)
        return await self._run_once(progress)

    async def _run_once(self, progress: _Progress) -> Response:
        while progress.may_send_more:
            grant = await self._ask(progress)
            if grant is None:
                break
            result = await self._send(progress, grant)
            if result.response is not None:
                return self._answer(progress, result)
            if result.may_have_run:
                progress.failed = result
                break
        return self._give_up(progress)

    async def _run_repeatable(self, progress: _Progress) -> Response:
        running: set[asyncio.Task[SendResult]] = set()
        patience: float | None = 0
        try:
            while True:
                if patience is not None and progress.may_send_more:
                    patience = await self._start_another(progress, running)
                else:
                    patience = None
                if not running:
                    return self._give_up(progress)
                done, _ = await asyncio.wait(
                    running,
                    timeout=patience,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                running -= done
                best = _best_of(done)
                if best is not None and best.outcome is Outcome.SERVED:
                    return self._answer(progress, best)
                if best is not None:
                    progress.note_failed(best)
                    patience = 0
        finally:
            for task in running:
                task.cancel()

    async def _start_another(
        self,
        progress: _Progress,
        running: 'set[asyncio.Task[SendResult]]',
    ) -> float | None:
        """Starts a send; returns how long to wait before the next one."""
        asking = asyncio.create_task(self._ask(progress))
        try:
            await asyncio.wait(
                {asking, *running},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not asking.done():
                return 0
            grant = asking.result()
        finally:
            asking.cancel()
        if grant is None:
            # The budget for second sends fills up again with time.
            return ASK_AGAIN_SECONDS if running else None
        running.add(asyncio.create_task(self._send(progress, grant)))
        return grant.patience

    async def _ask(self, progress: _Progress) -> Grant | None:
        admitted = progress.admitted
        at = now()
        if at >= admitted.expires:
            return None
        ask = Ask(
            self._host,
            self._client.next_number(),
            admitted.service,
            admitted.team_name,
            progress.is_repeatable,
            1 + progress.runs + progress.turned_down,
            admitted.rank,
            admitted.expires - at,
            admitted.objective_at - at,
            progress.fingerprint,
            len(progress.body.held),
            tuple(progress.tried),
            admitted.route.name,
        )
        decision = await self._client.ask(ask)
        if isinstance(decision, Grant):
            progress.tried.append(decision.target_id)
            return decision
        progress.refusal = decision
        log_event(
            'info',
            'not-granted',
            request=admitted.request_id,
            number=ask.number,
            reason=decision.reason.name if decision else 'NO_DECISION',
            attempt=ask.attempt,
            waited=round(now() - at, 3),
            decider=self._client.decider_host,
            configuration=admitted.version,
        )
        return None

    async def _send(self, progress: _Progress, grant: Grant) -> SendResult:
        begun = now()
        progress.runs += 1
        if progress.has_met_stale_connection:
            grant = evolve(grant, max_rest=IDLE_CONNECTION_SECONDS)
        try:
            result = await self._sender.send(
                progress.admitted,
                progress.request,
                progress.body.to_outgoing_body(),
                grant,
            )
        except BaseException:
            took = now() - begun
            is_silent = took > grant.patience
            outcome = Outcome.SILENT if is_silent else Outcome.ABANDONED
            self._client.report(grant.key[1], outcome, took)
            raise
        self._client.report(
            grant.key[1],
            result.outcome,
            result.seconds,
            was_rested=result.was_rested,
        )
        self._metrics.count(Count.SENDS, result.outcome.name.lower())
        if result.outcome in {Outcome.SHED, Outcome.MISPLACED}:
            progress.runs -= 1
            progress.turned_down += 1
        elif not result.may_have_run:
            progress.runs -= 1
            progress.unreached += 1
        log_event(
            'info',
            'sent',
            request=progress.admitted.request_id,
            number=grant.key[1],
            target=grant.target_id,
            attempt=len(progress.tried),
            since=round(begun - progress.request.received_at, 3),
            decider=self._client.decider_host,
            configuration=progress.admitted.version,
            outcome=result.outcome.name,
            seconds=round(result.seconds, 3),
            detail=result.detail,
        )
        return result

    def _answer(self, progress: _Progress, result: SendResult) -> Response:
        assert result.response is not None
        admitted = progress.admitted
        self._metrics.record_request(
            admitted.team_name or 'open',
            'repeatable' if admitted.route.is_repeatable else 'once',
            now() - admitted.arrived,
        )
        return result.response

    def _give_up(self, progress: _Progress) -> Response:
        failed = progress.failed
        if failed is not None and failed.response is not None:
            return failed.response
        if failed is not None and failed.may_have_run:
            reason = Reason.TARGET_FAILED
            if failed.outcome is Outcome.SILENT:
                reason = Reason.DEADLINE_EXCEEDED
            refusal = Refusal(reason, Promise.UNKNOWN, failed.detail)
            return self._refuse(progress.request, refusal)
        reason = Reason.NO_CAPACITY
        retry_after = RETRY_SECONDS
        detail = 'no target could take it in time'
        if progress.refusal is not None:
            reason = _REASONS[progress.refusal.reason]
            retry_after = progress.refusal.retry_after or 0
            detail = progress.refusal.reason.name.lower()
        refusal = Refusal(reason, Promise.NOT_RUN, detail, retry_after)
        return self._refuse(progress.request, refusal)

    def _refuse(
        self,
        request: IncomingRequest,
        refusal: Refusal,
    ) -> Response:
        request_id = self._admission.request_id_of(request)
        self._metrics.count(Count.REFUSALS, refusal.reason.value)
        log_event(
            'info',
            'refused',
            request=request_id,
            reason=refusal.reason.value,
            outcome=refusal.outcome.value,
            detail=refusal.detail,
            after=round(now() - request.received_at, 3),
        )
        return make_refusal_response(refusal, request_id, allow_fractions=True)


def _best_of(done: 'set[asyncio.Task[SendResult]]') -> SendResult | None:
    results = [task.result() for task in done]
    results.sort(key=lambda result: result.outcome)
    return results[0] if results else None
