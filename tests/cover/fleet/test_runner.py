"""Which tokens and permits a request holds, spends and returns."""

import asyncio
from collections.abc import AsyncIterator
from unittest import mock

from jacinthcroft_daemon.internal.pipeline.admission import AdmittedRequest
from jacinthcroft_daemon.internal.pipeline.attempt import (
    AttemptAnswered,
    AttemptNotRun,
    AttemptSender,
)
from jacinthcroft_daemon.internal.pipeline.bodies import RequestBody
from jacinthcroft_daemon.internal.pipeline.refusals import Refusal
from jacinthcroft_daemon.internal.pipeline.reporting import RequestReporter
from jacinthcroft_daemon.internal.pipeline.runner import (
    RequestRunner,
    TargetAnswer,
)
from jacinthcroft_daemon.internal.sharing.permits import PermitService
from jacinthcroft_daemon.internal.sharing.quarantine import QuarantineService
from jacinthcroft_daemon.internal.sharing.tokens import TokenService
from jacinthcroft_decisions.traffic import HeldPermit, RunOutcome, SpentToken
from jacinthcroft_http import Headers, IncomingRequest, now

from tests.cover.traffic.builders import make_service

DEADLINE_SECONDS = 60.0
FIRST_TOKEN = SpentToken(0, 'first')
SECOND_TOKEN = SpentToken(0, 'second')
PERMIT = HeldPermit('permit', 't0', '127.0.0.1', 9000, 0)
ANSWER = AttemptAnswered(200, Headers(()), b'')


class RunnerBench:
    """A runner on mocks that record every call in order."""

    def __init__(self) -> None:
        """Prepares two tokens, a permit and one answer."""
        self.calls = mock.Mock()
        self.tokens = mock.create_autospec(TokenService, instance=True)
        self.permits = mock.create_autospec(PermitService, instance=True)
        self.attempts = mock.create_autospec(AttemptSender, instance=True)
        self.calls.attach_mock(self.tokens, 'tokens')
        self.calls.attach_mock(self.permits, 'permits')
        self.calls.attach_mock(self.attempts, 'attempts')
        self.tokens.acquire.side_effect = [FIRST_TOKEN, SECOND_TOKEN]
        self.tokens.replace_expired_token.side_effect = [SECOND_TOKEN]
        self.permits.acquire.return_value = PERMIT
        self.attempts.send.side_effect = [ANSWER]

    def run(
        self, admitted: AdmittedRequest | None = None
    ) -> TargetAnswer | Refusal:
        runner = RequestRunner(
            self.tokens,
            self.permits,
            self.attempts,
            mock.create_autospec(QuarantineService, instance=True),
            mock.create_autospec(RequestReporter, instance=True),
        )
        body = RequestBody(b'', None)
        run = runner.run(admitted or make_admitted(), make_request(), body, '')
        return asyncio.run(run)

    def call_names(self) -> list[str]:
        return [call[0] for call in self.calls.mock_calls]


def make_admitted(deadline: float | None = None) -> AdmittedRequest:
    service = make_service()
    return AdmittedRequest(
        request_id='id',
        service=service,
        route=service.routes[0],
        team=service.teams[0],
        key_hash='',
        deadline=deadline or now() + DEADLINE_SECONDS,
        idempotency_key=None,
    )


async def empty_body() -> AsyncIterator[bytes]:
    yield b''


def make_request() -> IncomingRequest:
    return IncomingRequest('GET', '/pots', Headers(()), empty_body(), now(), '')


def test_permit_is_returned_while_its_request_waits_for_a_token() -> None:
    bench = RunnerBench()
    bench.tokens.replace_expired_token.side_effect = [None, SECOND_TOKEN]
    assert isinstance(bench.run(), TargetAnswer)
    assert bench.call_names() == [
        'tokens.acquire',
        'permits.acquire',
        'tokens.replace_expired_token',
        'permits.finish_run',
        'tokens.acquire',
        'permits.acquire',
        'tokens.replace_expired_token',
        'attempts.send',
    ]
    unused = ('history', PERMIT, RunOutcome.UNUSED, 0)
    assert bench.permits.finish_run.call_args.args == unused


def test_permit_that_comes_too_late_is_returned_unused() -> None:
    bench = RunnerBench()
    # The deadline has almost passed when the permit is acquired.
    outcome = bench.run(make_admitted(deadline=now()))
    assert isinstance(outcome, Refusal)
    assert not bench.attempts.send.mock_calls
    assert bench.permits.finish_run.call_args.args[2] is RunOutcome.UNUSED
    assert bench.tokens.return_token.call_args.args[2] == FIRST_TOKEN


def test_token_that_is_valid_at_dispatch_is_spent() -> None:
    bench = RunnerBench()
    assert isinstance(bench.run(), TargetAnswer)
    reservation = bench.attempts.send.call_args.args[3]
    assert reservation.token == SECOND_TOKEN


def test_attempt_that_sent_nothing_returns_its_token() -> None:
    bench = RunnerBench()
    bench.tokens.replace_expired_token.side_effect = [FIRST_TOKEN, SECOND_TOKEN]
    bench.attempts.send.side_effect = [AttemptNotRun('permit-expired'), ANSWER]
    assert isinstance(bench.run(), TargetAnswer)
    assert [call.args[2] for call in bench.tokens.return_token.mock_calls] == [
        FIRST_TOKEN
    ]


def test_shed_attempt_spends_its_token() -> None:
    bench = RunnerBench()
    bench.attempts.send.side_effect = [AttemptNotRun('shed', is_shed=True)]
    # A single request leaves no room in the retry budget.
    assert isinstance(bench.run(), Refusal)
    assert not bench.tokens.return_token.mock_calls
