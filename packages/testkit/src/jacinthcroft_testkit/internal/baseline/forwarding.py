"""Sends a caller's request to a target, and once more to another one."""

import secrets
from dataclasses import dataclass

from attrs import frozen
from jacinthcroft_config import Target
from jacinthcroft_http import (
    Answer,
    ConnectionPool,
    Headers,
    IncomingRequest,
    NothingSent,
    OutgoingRequest,
    Response,
    now,
    strip_hop_by_hop,
)

from jacinthcroft_testkit.internal.baseline.rotation import Rotation

_BODY_LIMIT_BYTES = 16_000_000
_REQUEST_ID_BYTES = 8
_ATTEMPTS = 2
_MILLISECONDS_PER_SECOND = 1000
_FIRST_SERVER_ERROR = 500


@dataclass(frozen=True)
class Failure:
    """No usable answer; `may_have_run` tells whether a target had it."""

    may_have_run: bool


@frozen
class Forwarder:
    """Forwards one request within its deadline."""

    pool: ConnectionPool
    rotation: Rotation
    team: str
    is_idempotent: bool
    expiry: float

    async def forward(self, request: IncomingRequest) -> Response | Failure:
        """Returns the answer of the first target that gives one."""
        body = await request.read_body(_BODY_LIMIT_BYTES)
        assert isinstance(body, bytes), 'the bench sends no such body'
        failure = Failure(may_have_run=False)
        for _ in range(_ATTEMPTS):
            target = self.rotation.pick(now())
            if target is None or now() >= self.expiry:
                break
            outcome = await self._attempt(request, body, target)
            if isinstance(outcome, Response):
                return outcome
            failure = outcome
            if failure.may_have_run and not self.is_idempotent:
                break
        return failure

    async def _attempt(
        self,
        request: IncomingRequest,
        body: bytes,
        target: Target,
    ) -> Response | Failure:
        request_id = secrets.token_hex(_REQUEST_ID_BYTES)
        timeout = self.expiry - now()
        outgoing = OutgoingRequest(
            target.address.host,
            target.address.port,
            request.method,
            request.target,
            self._headers(request.headers, request_id, timeout),
            body,
        )
        answer = await self.pool.send(outgoing, timeout)
        received = await _read(answer, request_id)
        is_shed = _is_shed(answer)
        is_error = not is_shed and _is_error(received)
        self.rotation.note(target, now(), is_error=is_error)
        return Failure(may_have_run=False) if is_shed else received

    def _headers(
        self,
        headers: Headers,
        request_id: str,
        timeout: float,
    ) -> Headers:
        kept = strip_hop_by_hop(headers).without('authorization', 'host')
        return kept.with_added(
            ('x-request-id', request_id),
            ('x-team', self.team),
            ('deadline-ms', str(int(timeout * _MILLISECONDS_PER_SECOND))),
        )


async def _read(answer: object, request_id: str) -> Response | Failure:
    if not isinstance(answer, Answer):
        return Failure(may_have_run=not isinstance(answer, NothingSent))
    body = await answer.read(_BODY_LIMIT_BYTES)
    echoed = answer.headers.get('x-request-id')
    if not isinstance(body, bytes) or echoed != request_id:
        return Failure(may_have_run=True)
    headers = strip_hop_by_hop(answer.headers).without('content-length')
    return Response(answer.status, headers, body)


def _is_shed(answer: object) -> bool:
    return isinstance(answer, Answer) and bool(answer.headers.get('x-shed'))


def _is_error(received: Response | Failure) -> bool:
    if isinstance(received, Failure):
        return True
    return received.status >= _FIRST_SERVER_ERROR
