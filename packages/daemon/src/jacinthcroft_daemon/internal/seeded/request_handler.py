"""Handles a caller's request from admission to its response.

A request that may run only once is sent again only if it is known not to have
run. A repeatable request is sent to a second target if the first is slow or
fails; the first complete response is returned.
"""

import asyncio
import functools
from typing import Final

from attrs import define, evolve, field
from jacinthcroft_decisions.dispatch import (
    IDLE_CONNECTION_SECONDS,
    Ask,
    Grant,
    Outcome,
    RefusalReason,
    RouteSizes,
)
from jacinthcroft_decisions.dispatch import Refusal as DecisionRefusal
from jacinthcroft_decisions.internal.traffic.quarantine import fingerprint
from jacinthcroft_http import BodyCut, IncomingRequest, Response, now

from jacinthcroft_daemon.internal.pipeline.bodies import (
    RequestBody,
    buffer_body,
)
from jacinthcroft_daemon.internal.pipeline.planned_stop import (
    GivenUp,
    PlannedStop,
)
from jacinthcroft_daemon.internal.pipeline.refusals import (
    Outcome as RefusalOutcome,
)
from jacinthcroft_daemon.internal.pipeline.refusals import (
    Reason,
    Refusal,
    make_refusal_response,
)
from jacinthcroft_daemon.internal.seeded.admission import (
    Admission,
    AdmittedRequest,
)
from jacinthcroft_daemon.internal.seeded.decision_client import DecisionClient
from jacinthcroft_daemon.internal.seeded.held_target_tracker import (
    HeldTargetTracker,
)
from jacinthcroft_daemon.internal.seeded.sender import Sender, SendResult
from jacinthcroft_daemon.internal.seeded.vm_metrics import VmMetrics
from jacinthcroft_daemon.internal.telemetry.counts import Count
from jacinthcroft_daemon.internal.telemetry.events import log_event

# A request is refused after this many attempts that did not run it.
MAX_NOT_RUN_ATTEMPTS: Final = 4
# A request is refused if it was granted more held targets than this.
MAX_RETURNED_GRANTS: Final = 4
# Retry-After for a request that the deciding VM has not refused.
DEFAULT_RETRY_AFTER_SECONDS: Final = 0.3
# Interval of the asks for a second target while the first attempt runs.
SECOND_ASK_INTERVAL_SECONDS: Final = 0.25
FINGERPRINT_DIGITS: Final = 12

_REFUSAL_REASONS: Final = {
    RefusalReason.RATE: Reason.RATE_EXCEEDED,
    RefusalReason.FULL: Reason.NO_CAPACITY,
    RefusalReason.NO_TARGET: Reason.NO_CAPACITY,
    RefusalReason.RETRY_BUDGET: Reason.NO_CAPACITY,
    RefusalReason.CRASHING: Reason.SUSPENDED,
}

# Another VM can serve the request at once.
STOPPING_RETRY_AFTER_SECONDS: Final = 0.05
_STOPPING: Final = Refusal(
    Reason.STOPPING,
    RefusalOutcome.NOT_RUN,
    'this VM stops',
    STOPPING_RETRY_AFTER_SECONDS,
)
_STOPPED: Final = Refusal(
    Reason.STOPPED,
    RefusalOutcome.UNKNOWN,
    'this VM stopped while a target ran the request',
)

# Until the body has been read.
_NO_BODY: Final = RequestBody(b'', None)


@define(eq=False)
class _Progress:
    """The attempts of a request so far.

    `runs` counts the attempts that may have run the request. `shed_attempts`
    counts those that a target did not run, `unsent_attempts` those that were
    not sent to a target, and `returned_grants` the grants of targets that no
    longer wanted a request. `failed` is the result of the failed attempt that
    says most about whether the request ran. `refusal` is the deciding VM's last
    one.
    """

    admitted: AdmittedRequest
    request: IncomingRequest
    body: RequestBody = _NO_BODY
    fingerprint: str = ''
    tried_targets: list[str] = field(factory=list)
    runs: int = 0
    shed_attempts: int = 0
    unsent_attempts: int = 0
    returned_grants: int = 0
    failed: SendResult | None = None
    refusal: DecisionRefusal | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run a second time."""
        return self.admitted.route.is_repeatable and self.body.is_repeatable

    @property
    def had_stale_connection(self) -> bool:
        """Whether an idle connection was reset under the request.

        Other idle connections may then be reset as well.
        """
        return self.failed is not None and self.failed.outcome is Outcome.STALE

    def record_failure(self, result: SendResult) -> None:
        """Keeps the result that says most about whether the request ran."""
        if result.may_have_run or self.failed is None:
            self.failed = result

    @property
    def may_start_attempt(self) -> bool:
        """Whether limits and body allow another attempt."""
        not_run_attempts = self.shed_attempts + self.unsent_attempts
        if not_run_attempts >= MAX_NOT_RUN_ATTEMPTS:
            return False
        if not_run_attempts and not self.body.is_repeatable:
            return False
        return self.runs < max(1, self.admitted.route.max_attempts)


@define(eq=False)
class RequestHandler:
    """Admits requests and has targets run them."""

    _admission: Admission
    _client: DecisionClient
    _sender: Sender
    _host: str
    _metrics: VmMetrics
    _stop: PlannedStop
    _held_targets: HeldTargetTracker
    _sizes: RouteSizes = field(factory=RouteSizes)

    def may_start_early(self, request: IncomingRequest) -> bool:
        """Whether a pipelined request may run before its turn.

        One behind a response that closes the connection is sent again, so only
        a repeatable request may.
        """
        return self._admission.is_repeatable(request)

    async def serve(self, request: IncomingRequest) -> Response:
        """Returns the response for the caller."""
        admitted = self._admission.admit(request)
        if isinstance(admitted, Refusal):
            return self._refuse(request, admitted)
        progress = _Progress(admitted, request)
        try:
            async with self._stop.running():
                return await self._serve_admitted(progress)
        except GivenUp:
            return self._respond_at_stop(progress)

    async def _serve_admitted(self, progress: _Progress) -> Response:
        refusal = await self._read_body(progress)
        if refusal is not None:
            return self._refuse(progress.request, refusal)
        if progress.is_repeatable:
            return await self._run_repeatable(progress)
        return await self._run_unrepeatable(progress)

    async def _read_body(self, progress: _Progress) -> Refusal | None:
        """Reads the body; returns why the request is refused, if it is."""
        request = progress.request
        admitted = progress.admitted
        if not self._stop.may_take(admitted.expires):
            return _STOPPING
        try:
            progress.body = await buffer_body(
                request, self._admission.limits.body_bytes
            )
        except BodyCut as cut:
            if cut.cause.reason != 'protocol':
                raise
            return Refusal(
                Reason.BODY_TOO_LARGE,
                RefusalOutcome.NOT_RUN,
                cut.cause.detail,
            )
        progress.fingerprint = fingerprint(
            request.method,
            request.target,
            admitted.team_name,
            progress.body.digest,
        )[:FINGERPRINT_DIGITS]
        # The stop may have begun while the body arrived.
        return None if self._stop.may_take(admitted.expires) else _STOPPING

    async def _run_unrepeatable(self, progress: _Progress) -> Response:
        while progress.may_start_attempt:
            grant = await self._request_grant(progress)
            if grant is None:
                break
            result = await self._run_attempt(progress, grant)
            if result.response is not None:
                return self._respond_with_result(progress, result)
            if result.may_have_run:
                progress.failed = result
                break
        return self._respond_with_failure(progress)

    async def _run_repeatable(self, progress: _Progress) -> Response:
        running: set[asyncio.Task[SendResult]] = set()
        wait_seconds: float | None = 0
        try:
            while True:
                if wait_seconds is not None and progress.may_start_attempt:
                    wait_seconds = await self._start_attempt(progress, running)
                else:
                    wait_seconds = None
                if not running:
                    return self._respond_with_failure(progress)
                done, _ = await asyncio.wait(
                    running,
                    timeout=wait_seconds,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                running -= done
                best = _find_best_result(done)
                if best is not None and best.outcome is Outcome.SERVED:
                    return self._respond_with_result(progress, best)
                if best is not None:
                    progress.record_failure(best)
                    wait_seconds = 0
        finally:
            for task in running:
                task.cancel()

    async def _start_attempt(
        self,
        progress: _Progress,
        running: 'set[asyncio.Task[SendResult]]',
    ) -> float | None:
        """Starts an attempt unless a running one ends first.

        Returns:
            Seconds to wait before the next attempt, or None to wait until a
            running attempt ends.
        """
        grant_task = asyncio.create_task(self._request_grant(progress))
        try:
            await asyncio.wait(
                {grant_task, *running},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not grant_task.done():
                return 0
            grant = grant_task.result()
        finally:
            grant_task.cancel()
        if grant is None:
            # The deciding VM refuses second attempts beyond its retry budget,
            # which refills over time.
            return SECOND_ASK_INTERVAL_SECONDS if running else None
        running.add(asyncio.create_task(self._run_attempt(progress, grant)))
        return grant.patience

    async def _request_grant(self, progress: _Progress) -> Grant | None:
        """Returns the grant of a target that may get the request.

        A grant may cross what its target has just asked this VM for, or come
        from a VM that does not know yet that the target has left. Then the
        request goes back to the deciding VM, which places it elsewhere.
        """
        grant = await self._request_placement(progress)
        while grant is not None and not self._held_targets.may_send(
            grant.target_id
        ):
            self._held_targets.report()
            self._client.report_outcome(grant.key[1], Outcome.ABANDONED, 0)
            progress.returned_grants += 1
            if progress.returned_grants > MAX_RETURNED_GRANTS:
                return None
            grant = await self._request_placement(progress)
        return grant

    async def _request_placement(self, progress: _Progress) -> Grant | None:
        admitted = progress.admitted
        asked_at = now()
        if asked_at >= admitted.expires:
            return None
        ask = Ask(
            self._host,
            self._client.next_number(),
            admitted.service,
            admitted.team_name,
            progress.is_repeatable,
            1 + progress.runs + progress.shed_attempts,
            admitted.rank,
            admitted.expires - asked_at,
            admitted.objective_at - asked_at,
            progress.fingerprint,
            len(progress.body.held) + self._sizes.estimate(admitted.route),
            tuple(progress.tried_targets),
            admitted.route.name,
        )
        decision = await self._client.request_decision(ask)
        if isinstance(decision, Grant):
            progress.tried_targets.append(decision.target_id)
            return decision
        progress.refusal = decision
        log_event(
            'info',
            'not-granted',
            request=admitted.request_id,
            number=ask.number,
            service=ask.service,
            reason=decision.reason.name if decision else 'NO_DECISION',
            attempt=ask.attempt,
            waited=round(now() - asked_at, 3),
            decider=self._client.decider_host,
            configuration=admitted.version,
        )
        return None

    async def _run_attempt(
        self, progress: _Progress, grant: Grant
    ) -> SendResult:
        started_at = now()
        incarnation = self._held_targets.find_incarnation(grant.target_id)
        progress.runs += 1
        if progress.had_stale_connection:
            grant = evolve(grant, max_rest=IDLE_CONNECTION_SECONDS)
        try:
            result = await self._sender.send(
                progress.admitted,
                progress.request,
                progress.body.to_outgoing_body(),
                grant,
                functools.partial(self._held_targets.may_send, grant.target_id),
            )
        except BaseException:
            seconds = now() - started_at
            is_silent = seconds > grant.patience
            outcome = Outcome.SILENT if is_silent else Outcome.ABANDONED
            self._client.report_outcome(grant.key[1], outcome, seconds)
            raise
        # Before the report, which frees the slot for a queued request.
        self._held_targets.record(incarnation, result.signal)
        self._client.report_outcome(
            grant.key[1],
            result.outcome,
            result.seconds,
            used_idle_connection=result.used_idle_connection,
        )
        self._metrics.count(Count.SENDS, result.outcome.name.lower())
        if result.outcome in {Outcome.SHED, Outcome.MISPLACED}:
            progress.runs -= 1
            progress.shed_attempts += 1
        elif not result.may_have_run:
            progress.runs -= 1
            progress.unsent_attempts += 1
        log_event(
            'info',
            'sent',
            request=progress.admitted.request_id,
            number=grant.key[1],
            route=progress.admitted.route.name,
            service=progress.admitted.service,
            target=grant.target_id,
            attempt=len(progress.tried_targets),
            since=round(started_at - progress.request.received_at, 3),
            decider=self._client.decider_host,
            configuration=progress.admitted.version,
            outcome=result.outcome.name,
            seconds=round(result.seconds, 3),
            detail=result.detail,
        )
        return result

    def _respond_with_result(
        self, progress: _Progress, result: SendResult
    ) -> Response:
        assert result.response is not None
        admitted = progress.admitted
        if isinstance(result.response.body, bytes):
            self._sizes.record(admitted.route, len(result.response.body))
        self._metrics.record_request(
            admitted.team_name or 'open',
            'repeatable' if admitted.route.is_repeatable else 'once',
            now() - admitted.arrived,
        )
        return result.response

    def _respond_with_failure(self, progress: _Progress) -> Response:
        failed = progress.failed
        if failed is not None and failed.response is not None:
            return failed.response
        if failed is not None and failed.may_have_run:
            reason = Reason.TARGET_FAILED
            if failed.outcome is Outcome.SILENT:
                reason = Reason.DEADLINE_EXCEEDED
            refusal = Refusal(reason, RefusalOutcome.UNKNOWN, failed.detail)
            return self._refuse(progress.request, refusal)
        reason = Reason.NO_CAPACITY
        retry_after = DEFAULT_RETRY_AFTER_SECONDS
        detail = 'no target had capacity in time'
        if progress.refusal is not None:
            reason = _REFUSAL_REASONS[progress.refusal.reason]
            retry_after = progress.refusal.retry_after or 0
            detail = progress.refusal.reason.name.lower()
        refusal = Refusal(reason, RefusalOutcome.NOT_RUN, detail, retry_after)
        return self._refuse(progress.request, refusal)

    def _respond_at_stop(self, progress: _Progress) -> Response:
        failed = progress.failed
        if failed is not None and failed.response is not None:
            return failed.response
        refusal = _STOPPED if progress.runs else _STOPPING
        return self._refuse(progress.request, refusal)

    def _refuse(
        self,
        request: IncomingRequest,
        refusal: Refusal,
    ) -> Response:
        request_id = self._admission.find_request_id(request)
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


def _find_best_result(
    done: 'set[asyncio.Task[SendResult]]',
) -> SendResult | None:
    results = [task.result() for task in done]
    results.sort(key=lambda result: result.outcome)
    return results[0] if results else None
