"""Runs admitted work: token, permit, attempt, and another try where allowed.

A second attempt is made only where the first provably ran nothing, or where
the route is idempotent, and only within the deadline and the retry budget.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Final

from attrs import define, field
from jacinthcroft_daemon.internal.pipeline.admission import Work
from jacinthcroft_daemon.internal.pipeline.attempt import (
    AttemptOutcome,
    Attempts,
    Delivered,
    Lost,
    NotSent,
    Ticket,
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
# No further attempt can change these.
_FINAL_REASONS: Final = frozenset(
    (
        Reason.QUARANTINED,
        Reason.KEY_UNKNOWN,
        Reason.NOT_FRESH,
    )
)
# A request waits this long for a token before its rate counts as exceeded;
# it evens out the moments between two grants.
TOKEN_PATIENCE_SECONDS: Final = 0.25


@define
class _ServiceState:
    """What this VM has seen of one service's attempts."""

    budget: RetryBudget = field(factory=RetryBudget)
    timeout: AttemptTimeout = field(factory=AttemptTimeout)


@dataclass(frozen=True)
class Finished:
    """The work's own answer, from its target."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | AsyncIterator[bytes]


class Runner:
    """Carries work through its attempts."""

    def __init__(
        self,
        tokens: TokenService,
        permits: PermitService,
        attempts: Attempts,
        quarantine: QuarantineService,
        reporter: RequestReporter,
    ) -> None:
        """Shares one retry budget per service among all requests."""
        self._tokens = tokens
        self._permits = permits
        self._attempts = attempts
        self._quarantine = quarantine
        self._reporter = reporter
        self._states: dict[str, _ServiceState] = {}

    async def run(
        self,
        work: Work,
        request: IncomingRequest,
        body: RequestBody,
        fingerprint: str,
    ) -> Finished | Refusal:
        """Returns the answer or an honest refusal."""
        state = self._state(work.service.name)
        state.budget.record_request(now())
        may_have_run = False
        refusal = _refused(work, Reason.DEADLINE_EXCEEDED, 'no time was left')
        for attempt in range(MAX_ATTEMPTS):
            remaining = max(work.deadline - now(), 0)
            latest = work.deadline - state.timeout.compute_answer_reserve(
                remaining
            )
            ticket = await self._acquire(work, latest)
            if isinstance(ticket, Refusal):
                return _with_truth(ticket, may_have_run)
            timeout = _attempt_timeout(work, body, attempt, state)
            outcome = await self._send(work, request, body, ticket, timeout)
            if isinstance(outcome, NotSent) and not outcome.is_shed:
                self._put_back(work, ticket.token)
            if isinstance(outcome, Delivered):
                return Finished(
                    outcome.status,
                    outcome.headers.pairs,
                    outcome.body,
                )
            may_have_run = may_have_run or isinstance(outcome, Lost)
            refusal = await self._refusal_after(work, outcome, fingerprint)
            if not self._may_retry(work, body, outcome, refusal, state.budget):
                break
        return _with_truth(refusal, may_have_run)

    async def _send(
        self,
        work: Work,
        request: IncomingRequest,
        body: RequestBody,
        ticket: Ticket,
        timeout: float,
    ) -> AttemptOutcome:
        self._reporter.step(
            work.request_id,
            'dispatched',
            ticket.permit.target,
        )
        started_at = now()
        outcome = await self._attempts.send(
            work,
            request,
            body,
            ticket,
            timeout,
        )
        self._note_time(work, outcome, now() - started_at)
        if not isinstance(outcome, Delivered):
            self._reporter.step(work.request_id, 'failed', outcome.detail)
        return outcome

    def _note_time(
        self,
        work: Work,
        outcome: AttemptOutcome,
        seconds: float,
    ) -> None:
        timeout = self._state(work.service.name).timeout
        if isinstance(outcome, Delivered):
            timeout.record_answer(seconds)
        elif isinstance(outcome, Lost):
            timeout.record_abandoned(seconds)

    async def _acquire(self, work: Work, latest: float) -> Ticket | Refusal:
        while True:
            token = await self._acquire_token(work)
            if isinstance(token, Refusal):
                return token
            permit = await self._acquire_permit(work, latest)
            if isinstance(permit, Refusal):
                self._put_back(work, token)
                return permit
            if work.team is None or token is None:
                return Ticket(work.service.name, permit, None)
            # The wait for the permit may have outlasted the token.
            token = self._tokens.replace_expired_token(
                work.service, work.team, token
            )
            if token is not None:
                return Ticket(work.service.name, permit, token)
            # No slot stays idle while its request waits for a token.
            self._give_up(work, permit)

    async def _acquire_token(self, work: Work) -> SpentToken | Refusal | None:
        if work.team is None:
            return None
        patience_until = min(work.deadline, now() + TOKEN_PATIENCE_SECONDS)
        token = await self._tokens.acquire(
            work.service,
            work.team,
            patience_until,
            work.deadline,
        )
        if not isinstance(token, NoToken):
            return token
        if token.has_holder:
            return Refusal(
                Reason.RATE_EXCEEDED,
                Outcome.NOT_RUN,
                f'team {work.team_name} has spent its rate and burst',
                token.retry_after,
            )
        return Refusal(
            Reason.NO_CAPACITY,
            Outcome.NOT_RUN,
            f'no VM holds the allowance of team {work.team_name} now',
            1,
        )

    async def _acquire_permit(
        self,
        work: Work,
        latest: float,
    ) -> HeldPermit | Refusal:
        permit = await self._permits.acquire(
            work.service,
            work.team_name,
            work.route.request_class,
            latest,
        )
        if not isinstance(permit, NoPermit):
            timeout = self._state(work.service.name).timeout
            if now() < timeout.compute_latest_dispatch(latest, work.deadline):
                return permit
            self._give_up(work, permit)
        return Refusal(
            Reason.NO_CAPACITY,
            Outcome.NOT_RUN,
            f'no target of {work.service.name} had room in time',
            1,
        )

    def _give_up(self, work: Work, permit: HeldPermit) -> None:
        self._permits.finish_run(
            work.service.name, permit, RunOutcome.UNUSED, 0
        )

    def _put_back(self, work: Work, token: SpentToken | None) -> None:
        if token is not None and work.team is not None:
            self._tokens.return_token(work.service, work.team, token)

    async def _refusal_after(
        self,
        work: Work,
        outcome: NotSent | Lost,
        fingerprint: str,
    ) -> Refusal:
        if isinstance(outcome, Lost):
            return await self._refusal_after_loss(work, outcome, fingerprint)
        if outcome.withdrawal is not None:
            return outcome.withdrawal
        return _refused(work, Reason.TARGET_FAILED, outcome.detail)

    async def _refusal_after_loss(
        self,
        work: Work,
        lost: Lost,
        fingerprint: str,
    ) -> Refusal:
        if lost.outcome is RunOutcome.STALLED:
            return _refused(work, Reason.DEADLINE_EXCEEDED, lost.detail)
        is_crash = lost.outcome is RunOutcome.RESET
        if is_crash and await self._quarantine.report_crash(
            fingerprint, lost.target
        ):
            return _refused(
                work,
                Reason.QUARANTINED,
                'this request has cost several targets',
            )
        return _refused(work, Reason.TARGET_FAILED, lost.detail)

    def _may_retry(
        self,
        work: Work,
        body: RequestBody,
        outcome: NotSent | Lost,
        refusal: Refusal,
        budget: RetryBudget,
    ) -> bool:
        if isinstance(outcome, Lost) and not work.route.is_idempotent:
            return False
        if not body.is_repeatable or now() >= work.deadline:
            return False
        if refusal.reason in _FINAL_REASONS:
            return False
        if isinstance(outcome, NotSent) and not outcome.is_shed:
            # No target was asked, so the retry adds no load to any.
            return True
        if not budget.may_retry(now()):
            return False
        budget.record_retry(now())
        return True

    def _state(self, service: str) -> _ServiceState:
        state = self._states.get(service)
        if state is None:
            state = _ServiceState()
            self._states[service] = state
        return state


def _attempt_timeout(
    work: Work,
    body: RequestBody,
    attempt: int,
    state: _ServiceState,
) -> float:
    remaining = max(work.deadline - now(), 0)
    may_repeat = work.route.is_idempotent and body.is_repeatable
    # Giving up early helps only where a second attempt can follow.
    if attempt == 0 and may_repeat and state.budget.may_retry(now()):
        return state.timeout.compute_first_timeout(remaining)
    return remaining


def _refused(work: Work, reason: Reason, detail: str) -> Refusal:
    return Refusal(reason, Outcome.NOT_RUN, f'{work.service.name}: {detail}')


def _with_truth(refusal: Refusal, may_have_run: bool) -> Refusal:
    if not may_have_run:
        return refusal
    return Refusal(
        refusal.reason,
        Outcome.UNKNOWN,
        refusal.detail,
        refusal.retry_after,
    )
