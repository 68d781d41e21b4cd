"""Runs an admitted request: reserves a token and a permit, sends, retries.

A request is retried only if the previous attempt provably ran nothing or the
route is idempotent, and only within the deadline. A retry that adds load to
the targets also needs room in the retry budget.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Final

from attrs import define, field
from jacinthcroft_daemon.internal.pipeline.admission import AdmittedRequest
from jacinthcroft_daemon.internal.pipeline.attempt import (
    AnswerLost,
    AttemptAnswered,
    AttemptNotRun,
    AttemptOutcome,
    AttemptSender,
    Reservation,
)
from jacinthcroft_daemon.internal.pipeline.bodies import RequestBody
from jacinthcroft_daemon.internal.pipeline.refusals import (
    Outcome,
    Reason,
    Refusal,
)
from jacinthcroft_daemon.internal.pipeline.reporting import RequestReporter
from jacinthcroft_daemon.internal.sharing.permits import NoPermit, PermitService
from jacinthcroft_daemon.internal.sharing.quarantine import QuarantineService
from jacinthcroft_daemon.internal.sharing.tokens import NoToken, TokenService
from jacinthcroft_decisions.traffic import (
    AttemptTimeout,
    HeldPermit,
    RetryBudget,
    RunOutcome,
    SpentToken,
)
from jacinthcroft_http import IncomingRequest, now

MAX_ATTEMPTS: Final = 3
# A further attempt would be refused for the same reason.
_FINAL_REASONS: Final = frozenset(
    (
        Reason.QUARANTINED,
        Reason.KEY_UNKNOWN,
        Reason.NOT_FRESH,
    )
)
# A request waits this long for a token before its team's rate counts as
# exceeded. Tokens are granted at intervals, so one may arrive shortly.
TOKEN_WAIT_SECONDS: Final = 0.25


@define
class _ServiceState:
    """The retry budget and the attempt timeout of one service."""

    budget: RetryBudget = field(factory=RetryBudget)
    timeout: AttemptTimeout = field(factory=AttemptTimeout)


@dataclass(frozen=True)
class TargetAnswer:
    """A target's answer to an admitted request."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | AsyncIterator[bytes]


class RequestRunner:
    """Runs admitted requests, each in up to `MAX_ATTEMPTS` attempts."""

    def __init__(
        self,
        tokens: TokenService,
        permits: PermitService,
        attempt_sender: AttemptSender,
        quarantine: QuarantineService,
        reporter: RequestReporter,
    ) -> None:
        """Creates a runner whose requests share a retry budget by service."""
        self._tokens = tokens
        self._permits = permits
        self._attempt_sender = attempt_sender
        self._quarantine = quarantine
        self._reporter = reporter
        self._states: dict[str, _ServiceState] = {}

    async def run(
        self,
        admitted: AdmittedRequest,
        request: IncomingRequest,
        body: RequestBody,
        fingerprint: str,
    ) -> TargetAnswer | Refusal:
        """Returns the target's answer, or why there is none.

        The outcome of a refusal is unknown once any attempt may have run.
        """
        state = self._get_state(admitted.service.name)
        state.budget.record_request(now())
        may_have_run = False
        refusal = _refuse(
            admitted, Reason.DEADLINE_EXCEEDED, 'the deadline has passed'
        )
        for attempt in range(MAX_ATTEMPTS):
            remaining = max(admitted.deadline - now(), 0)
            latest_dispatch = (
                admitted.deadline
                - state.timeout.compute_answer_reserve(remaining)
            )
            reservation = await self._reserve(admitted, latest_dispatch)
            if isinstance(reservation, Refusal):
                return _with_outcome(reservation, may_have_run)
            timeout = _compute_timeout(admitted, body, attempt, state)
            outcome = await self._send_attempt(
                admitted, request, body, reservation, timeout
            )
            if isinstance(outcome, AttemptNotRun) and not outcome.is_shed:
                self._return_token(admitted, reservation.token)
            if isinstance(outcome, AttemptAnswered):
                return TargetAnswer(
                    outcome.status,
                    outcome.headers.pairs,
                    outcome.body,
                )
            may_have_run = may_have_run or isinstance(outcome, AnswerLost)
            refusal = await self._make_refusal(admitted, outcome, fingerprint)
            if not self._try_spend_retry(
                admitted, body, outcome, refusal, state.budget
            ):
                break
        return _with_outcome(refusal, may_have_run)

    async def _send_attempt(
        self,
        admitted: AdmittedRequest,
        request: IncomingRequest,
        body: RequestBody,
        reservation: Reservation,
        timeout: float,
    ) -> AttemptOutcome:
        self._reporter.record_step(
            admitted.request_id,
            'dispatched',
            reservation.permit.target,
        )
        started_at = now()
        outcome = await self._attempt_sender.send(
            admitted,
            request,
            body,
            reservation,
            timeout,
        )
        self._record_duration(admitted, outcome, now() - started_at)
        if not isinstance(outcome, AttemptAnswered):
            self._reporter.record_step(
                admitted.request_id, 'failed', outcome.detail
            )
        return outcome

    def _record_duration(
        self,
        admitted: AdmittedRequest,
        outcome: AttemptOutcome,
        seconds: float,
    ) -> None:
        timeout = self._get_state(admitted.service.name).timeout
        if isinstance(outcome, AttemptAnswered):
            timeout.record_answer(seconds)
        elif isinstance(outcome, AnswerLost):
            timeout.record_abandoned(seconds)

    async def _reserve(
        self, admitted: AdmittedRequest, latest_dispatch: float
    ) -> Reservation | Refusal:
        while True:
            token = await self._acquire_token(admitted)
            if isinstance(token, Refusal):
                return token
            permit = await self._acquire_permit(admitted, latest_dispatch)
            if isinstance(permit, Refusal):
                self._return_token(admitted, token)
                return permit
            if admitted.team is None or token is None:
                return Reservation(admitted.service.name, permit, None)
            # The token may have expired during the wait for the permit.
            token = self._tokens.replace_expired_token(
                admitted.service, admitted.team, token
            )
            if token is not None:
                return Reservation(admitted.service.name, permit, token)
            # The target's slot would stay idle during the wait for a token.
            self._return_permit(admitted, permit)

    async def _acquire_token(
        self, admitted: AdmittedRequest
    ) -> SpentToken | Refusal | None:
        if admitted.team is None:
            return None
        wait_until = min(admitted.deadline, now() + TOKEN_WAIT_SECONDS)
        token = await self._tokens.acquire(
            admitted.service,
            admitted.team,
            wait_until,
            admitted.deadline,
        )
        if not isinstance(token, NoToken):
            return token
        if token.has_holder:
            return Refusal(
                Reason.RATE_EXCEEDED,
                Outcome.NOT_RUN,
                f'team {admitted.team_name} has used up its rate and burst',
                token.retry_after,
            )
        return Refusal(
            Reason.NO_CAPACITY,
            Outcome.NOT_RUN,
            f'no VM currently grants tokens to team {admitted.team_name}',
            1,
        )

    async def _acquire_permit(
        self,
        admitted: AdmittedRequest,
        latest_dispatch: float,
    ) -> HeldPermit | Refusal:
        permit = await self._permits.acquire(
            admitted.service,
            admitted.team_name,
            admitted.route.request_class,
            latest_dispatch,
        )
        if not isinstance(permit, NoPermit):
            timeout = self._get_state(admitted.service.name).timeout
            if now() < timeout.compute_latest_dispatch(
                latest_dispatch, admitted.deadline
            ):
                return permit
            self._return_permit(admitted, permit)
        return Refusal(
            Reason.NO_CAPACITY,
            Outcome.NOT_RUN,
            f'no target of {admitted.service.name} had a free slot in time',
            1,
        )

    def _return_permit(
        self, admitted: AdmittedRequest, permit: HeldPermit
    ) -> None:
        self._permits.finish_run(
            admitted.service.name, permit, RunOutcome.UNUSED, 0
        )

    def _return_token(
        self, admitted: AdmittedRequest, token: SpentToken | None
    ) -> None:
        if token is not None and admitted.team is not None:
            self._tokens.return_token(admitted.service, admitted.team, token)

    async def _make_refusal(
        self,
        admitted: AdmittedRequest,
        outcome: AttemptNotRun | AnswerLost,
        fingerprint: str,
    ) -> Refusal:
        if isinstance(outcome, AnswerLost):
            return await self._refuse_lost_answer(
                admitted, outcome, fingerprint
            )
        if outcome.withdrawal is not None:
            return outcome.withdrawal
        return _refuse(admitted, Reason.TARGET_FAILED, outcome.detail)

    async def _refuse_lost_answer(
        self,
        admitted: AdmittedRequest,
        lost: AnswerLost,
        fingerprint: str,
    ) -> Refusal:
        if lost.outcome is RunOutcome.STALLED:
            return _refuse(admitted, Reason.DEADLINE_EXCEEDED, lost.detail)
        is_crash = lost.outcome is RunOutcome.RESET
        if is_crash and await self._quarantine.report_crash(
            fingerprint, lost.target
        ):
            return _refuse(
                admitted,
                Reason.QUARANTINED,
                'this request crashed several targets',
            )
        return _refuse(admitted, Reason.TARGET_FAILED, lost.detail)

    def _try_spend_retry(
        self,
        admitted: AdmittedRequest,
        body: RequestBody,
        outcome: AttemptNotRun | AnswerLost,
        refusal: Refusal,
        budget: RetryBudget,
    ) -> bool:
        if isinstance(outcome, AnswerLost) and not admitted.route.is_idempotent:
            return False
        if not body.is_repeatable or now() >= admitted.deadline:
            return False
        if refusal.reason in _FINAL_REASONS:
            return False
        if isinstance(outcome, AttemptNotRun) and not outcome.is_shed:
            # No target received the request, so a retry adds no load.
            return True
        if not budget.may_retry(now()):
            return False
        budget.record_retry(now())
        return True

    def _get_state(self, service: str) -> _ServiceState:
        state = self._states.get(service)
        if state is None:
            state = _ServiceState()
            self._states[service] = state
        return state


def _compute_timeout(
    admitted: AdmittedRequest,
    body: RequestBody,
    attempt: int,
    state: _ServiceState,
) -> float:
    remaining = max(admitted.deadline - now(), 0)
    may_repeat = admitted.route.is_idempotent and body.is_repeatable
    # A shorter timeout helps only if a second attempt can follow.
    if attempt == 0 and may_repeat and state.budget.may_retry(now()):
        return state.timeout.compute_first_timeout(remaining)
    return remaining


def _refuse(admitted: AdmittedRequest, reason: Reason, detail: str) -> Refusal:
    return Refusal(
        reason, Outcome.NOT_RUN, f'{admitted.service.name}: {detail}'
    )


def _with_outcome(refusal: Refusal, may_have_run: bool) -> Refusal:
    if not may_have_run:
        return refusal
    return Refusal(
        refusal.reason,
        Outcome.UNKNOWN,
        refusal.detail,
        refusal.retry_after,
    )
