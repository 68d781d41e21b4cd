"""One caller: sends requests, resends by policy, and records everything."""

import asyncio
import json
import random
import time

from attrs import define, field, frozen
from jacinthcroft_http import (
    Answer,
    ConnectionPool,
    Interrupted,
    NothingSent,
    OutgoingRequest,
    now,
)

from jacinthcroft_testkit.internal.answers import AnswerBody
from jacinthcroft_testkit.internal.history import Outcome, OutcomeKind, Sent
from jacinthcroft_testkit.internal.identifiers import make_uuid7
from jacinthcroft_testkit.internal.requests import (
    Balancer,
    Entrance,
    RequestKind,
)

_ANSWER_LIMIT_BYTES = 16_000_000
_PROBLEM_TYPE = 'application/problem+json'
_UNKNOWN = 'unknown'
_BROKEN = (OutcomeKind.CONNECTION_LOST, OutcomeKind.TIMED_OUT)


@frozen
class ResendPolicy:
    """When a caller sends a request again, through another VM.

    A broken sending is sent again at most `sendings - 1` times; a refusal
    that says `unknown` only if `resends_unknown`. A non-idempotent request
    keeps its key.
    """

    sendings: int = 4
    pause_seconds: float = 0.2
    resends_unknown: bool = True

    def sends_again(self, outcome: Outcome, sendings: int) -> bool:
        """Whether to send again after so many sendings."""
        if sendings >= self.sendings:
            return False
        if outcome.kind in _BROKEN:
            return True
        return self.resends_unknown and outcome.outcome == _UNKNOWN


@define(eq=False)
class Recorder:
    """What all callers of one run sent and received.

    `prefix` tells the requests of several recorders apart. `final` holds
    the last outcome of each request.
    """

    prefix: str = ''
    sent: list[Sent] = field(factory=list, init=False)
    outcomes: list[Outcome] = field(factory=list, init=False)
    final: list[Outcome] = field(factory=list, init=False)
    _settled: asyncio.Event = field(factory=asyncio.Event, init=False)
    _requests: int = field(default=0, init=False)

    def next_request(self) -> str:
        """Returns the number of a new request."""
        self._requests += 1
        return f'{self.prefix}{self._requests}'

    def settle(self, outcome: Outcome) -> None:
        """Notes a request's last outcome."""
        self.final.append(outcome)
        self._settled.set()
        self._settled = asyncio.Event()

    async def wait_for_settled(self, requests: int) -> None:
        """Waits until so many requests have their last outcome."""
        while len(self.final) < requests:
            await self._settled.wait()


@define(eq=False)
class Caller:
    """Sends one request after the other."""

    _balancer: Balancer
    _recorder: Recorder
    _pool: ConnectionPool
    _randomness: random.Random
    _policy: ResendPolicy = field(factory=ResendPolicy)

    async def call(self, kind: RequestKind) -> Outcome:
        """Sends a request until its outcome is settled; returns the last."""
        path = kind.path_of(self._recorder.next_request())
        key = ''
        if not kind.is_idempotent:
            key = make_uuid7(time.time(), self._randomness)
        entrance = self._balancer.pick(now())
        outcome = await self.send(kind, path, key, entrance)
        sendings = 1
        while self._policy.sends_again(outcome, sendings):
            await asyncio.sleep(self._policy.pause_seconds)
            entrance = self._balancer.pick(now(), other_than=entrance.vm)
            outcome = await self.send(kind, path, key, entrance)
            sendings += 1
        self._recorder.settle(outcome)
        return outcome

    async def send(
        self,
        kind: RequestKind,
        path: str,
        key: str,
        entrance: Entrance,
    ) -> Outcome:
        """Sends once through one VM and records both sides of it."""
        number = len(self._recorder.sent)
        sent = Sent(
            number,
            now(),
            entrance.vm,
            kind.service,
            kind.team,
            kind.method,
            path,
            key,
            kind.is_idempotent,
        )
        self._recorder.sent.append(sent)
        address = entrance.address
        request = OutgoingRequest(
            address.host,
            address.port,
            kind.method,
            path,
            _headers(kind, key),
            kind.body,
        )
        outcome = await self._exchange(sent, request, kind.timeout)
        if outcome.kind in _BROKEN:
            self._balancer.shun(entrance.vm, now())
        self._recorder.outcomes.append(outcome)
        return outcome

    async def _exchange(
        self,
        sent: Sent,
        request: OutgoingRequest,
        timeout: float,
    ) -> Outcome:
        answer = await self._pool.send(request, timeout)
        if not isinstance(answer, Answer):
            return _broken(sent, answer)
        body = await answer.read(_ANSWER_LIMIT_BYTES)
        if isinstance(body, Interrupted):
            return _broken(sent, body)
        assert isinstance(body, bytes), 'an answer beyond all bounds'
        return _interpret(sent, answer, body)


def _headers(kind: RequestKind, key: str) -> list[tuple[str, str]]:
    headers = []
    if kind.api_key:
        headers.append(('authorization', f'Bearer {kind.api_key}'))
    if key:
        headers.append(('idempotency-key', key))
    return headers


def _broken(sent: Sent, cause: NothingSent | Interrupted) -> Outcome:
    kind = OutcomeKind.CONNECTION_LOST
    if cause.reason == 'timeout':
        kind = OutcomeKind.TIMED_OUT
    return Outcome(sent.number, now(), kind, reason=cause.reason)


def _interpret(sent: Sent, answer: Answer, body: bytes) -> Outcome:
    request_id = answer.headers.get('x-request-id') or ''
    if answer.headers.get('content-type') == _PROBLEM_TYPE:
        problem = json.loads(body)
        return Outcome(
            sent.number,
            now(),
            OutcomeKind.REFUSED,
            answer.status,
            request_id,
            problem['outcome'],
            problem['reason'],
        )
    stated = AnswerBody.from_bytes(body)
    return Outcome(
        sent.number,
        now(),
        OutcomeKind.ANSWERED,
        answer.status,
        request_id,
        is_own=stated is not None and stated.path == sent.path,
        is_whole=stated is not None and stated.is_whole,
        is_replayed=answer.headers.get('idempotency-replayed') is not None,
    )
