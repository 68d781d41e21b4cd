"""Sends a request to one target and classifies the response."""

from collections.abc import AsyncIterator, Callable
from typing import Final

from attrs import define, evolve, frozen
from jacinthcroft_decisions.dispatch import (
    IDLE_CONNECTION_SECONDS,
    Grant,
    Outcome,
    TargetSignal,
    parse_wait,
)
from jacinthcroft_http import (
    Answer,
    BodyTooLarge,
    BufferBudget,
    ConnectionPool,
    Headers,
    IncomingRequest,
    Interrupted,
    NoBufferRoom,
    NothingSent,
    OutgoingRequest,
    Response,
    now,
    strip_hop_by_hop,
)

from jacinthcroft_daemon.internal.seeded.admission import (
    Admission,
    AdmittedRequest,
)
from jacinthcroft_daemon.internal.seeded.deployment import HeaderNames

# A response is read completely before the caller gets any of it, so that a
# broken one can be replaced by that of another target. Larger ones count as
# broken.
MAX_RESPONSE_BYTES: Final = 4 * 1024 * 1024
# A target that no longer knows a connection resets it at once. This allows for
# some trips between zones on a busy VM; a later reset counts as broken.
MAX_STALE_RESET_SECONDS: Final = 0.06
_HTTP_MISDIRECTED_REQUEST: Final = 421
_FIRST_SERVER_ERROR: Final = 500
_HTTP_UNAVAILABLE: Final = 503
# The value of a header that marks a response.
_MARK: Final = '1'
_NO_SIGNAL: Final = TargetSignal()


@frozen
class SendResult:
    """How an attempt ended, and after how many seconds.

    `may_have_run` is False only if the target says that it did not run the
    request or if nothing was sent. `response` is what may be returned to the
    caller. `used_idle_connection` says whether the connection had been idle for
    `IDLE_CONNECTION_SECONDS` or longer. `signal` is what the target asks for.
    """

    outcome: Outcome
    seconds: float
    may_have_run: bool
    detail: str
    response: Response | None = None
    used_idle_connection: bool = False
    signal: TargetSignal = _NO_SIGNAL


@define(eq=False)
class Sender:
    """Sends admitted requests to granted targets."""

    _pool: ConnectionPool
    _header_names: HeaderNames
    _admission: Admission
    _budget: BufferBudget

    async def send(
        self,
        admitted: AdmittedRequest,
        request: IncomingRequest,
        body: bytes | AsyncIterator[bytes] | None,
        grant: Grant,
        may_send: Callable[[], bool],
    ) -> SendResult:
        """Sends the request once and reads the complete response.

        Args:
            admitted: The request as it was admitted.
            request: The caller's request.
            body: The body to send.
            grant: The target to send it to.
            may_send: Asked right before the first byte is sent.
        """
        started_at = now()
        outgoing = OutgoingRequest(
            grant.host,
            grant.port,
            request.method,
            request.target,
            self._make_headers(admitted, request, grant),
            body,
            self._header_names.time_left,
            grant.max_rest,
            (self._header_names.request_id, admitted.request_id),
        )
        send_outcome = await self._pool.send(
            outgoing,
            max(0, admitted.expires - started_at),
            lambda: self._admission.may_send(admitted) and may_send(),
        )
        if isinstance(send_outcome, NothingSent):
            return self._classify_unsent(send_outcome, now() - started_at)
        if isinstance(send_outcome, Interrupted):
            return _classify_interrupted(send_outcome, now() - started_at)
        result = await self._read_response(admitted, send_outcome, started_at)
        return evolve(
            result,
            used_idle_connection=_was_idle(send_outcome.idle_seconds),
            signal=self._find_signal(admitted, send_outcome),
        )

    def _make_headers(
        self,
        admitted: AdmittedRequest,
        request: IncomingRequest,
        grant: Grant,
    ) -> Headers:
        header_names = self._header_names
        headers = strip_hop_by_hop(request.headers).without(
            'authorization',
            header_names.time_left,
            header_names.team,
            header_names.expected_target,
        )
        added = [(header_names.expected_target, grant.target_id)]
        if admitted.team is not None:
            added.append((header_names.team, admitted.team.name))
        return headers.with_added(*added)

    def _classify_unsent(
        self, send_outcome: NothingSent, seconds: float
    ) -> SendResult:
        target_outcome = Outcome.ABANDONED
        if send_outcome.reason in {
            'connect-failed',
            'connect-timeout',
            'closed',
        }:
            target_outcome = Outcome.UNREACHABLE
        detail = f'{send_outcome.reason}: {send_outcome.detail}'
        return SendResult(
            target_outcome, seconds, may_have_run=False, detail=detail
        )

    async def _read_response(
        self,
        admitted: AdmittedRequest,
        response: Answer,
        started_at: float,
    ) -> SendResult:
        reservation = self._budget.reserve(admitted.expires)
        try:
            body = await response.read_within(MAX_RESPONSE_BYTES, reservation)
            result = self._classify_body(
                admitted, response, body, now() - started_at
            )
            if result.response is not None:
                reservation.release_with(result.response)
        finally:
            reservation.release()
        return result

    def _classify_body(
        self,
        admitted: AdmittedRequest,
        response: Answer,
        body: bytes | BodyTooLarge | NoBufferRoom | Interrupted,
        seconds: float,
    ) -> SendResult:
        if isinstance(body, Interrupted):
            return _classify_interrupted(body, seconds)
        if isinstance(body, NoBufferRoom):
            # The target is not at fault.
            return SendResult(
                Outcome.ABANDONED,
                seconds,
                may_have_run=True,
                detail='no room to hold the response',
            )
        if isinstance(body, BodyTooLarge):
            return SendResult(
                Outcome.BROKEN,
                seconds,
                may_have_run=True,
                detail=f'response is larger than {body.limit} bytes',
            )
        return self._classify_response(admitted, response, body, seconds)

    def _classify_response(
        self,
        admitted: AdmittedRequest,
        response: Answer,
        body: bytes,
        seconds: float,
    ) -> SendResult:
        headers = response.headers
        echoed = headers.get(self._header_names.request_id)
        if echoed != admitted.request_id:
            # A refusal that the target wrote for another request says nothing
            # of this one, which may have run.
            return SendResult(
                Outcome.BROKEN,
                seconds,
                may_have_run=True,
                detail=f'response is for another request ({echoed})',
            )
        if response.status == _HTTP_MISDIRECTED_REQUEST:
            return SendResult(
                Outcome.MISPLACED,
                seconds,
                may_have_run=False,
                detail='another target responds at the address',
            )
        if headers.get(self._header_names.not_run) is not None:
            return SendResult(
                Outcome.SHED,
                seconds,
                may_have_run=False,
                detail=f'target did not run it (status {response.status})',
            )
        fault = self._find_fault(response)
        if fault is not None:
            return SendResult(
                Outcome.BROKEN,
                seconds,
                may_have_run=True,
                detail=fault,
            )
        is_failure = response.status >= _FIRST_SERVER_ERROR
        return SendResult(
            Outcome.ERROR if is_failure else Outcome.SERVED,
            seconds,
            may_have_run=True,
            detail=f'status {response.status}',
            response=Response(
                response.status,
                strip_hop_by_hop(headers),
                body,
            ),
        )

    def _find_signal(
        self, admitted: AdmittedRequest, response: Answer
    ) -> TargetSignal:
        """Returns what the target asked for in the head of its response."""
        headers = response.headers
        # Another target may respond at the address.
        is_other_target = response.status == _HTTP_MISDIRECTED_REQUEST
        is_other_request = (
            headers.get(self._header_names.request_id) != admitted.request_id
        )
        if is_other_target or is_other_request:
            return _NO_SIGNAL
        is_leaving = headers.get(self._header_names.leaving) == _MARK
        wait = 0.0
        if response.status == _HTTP_UNAVAILABLE:
            wait = parse_wait(headers.get('retry-after'))
        return TargetSignal(is_leaving, wait)

    def _find_fault(self, response: Answer) -> str | None:
        headers = response.headers
        if headers.get(self._header_names.signature) is None:
            return 'response has no signature'
        if headers.get('content-encoding') is not None:
            return 'response has a content encoding that was not requested'
        return None


def _classify_interrupted(
    send_outcome: Interrupted, seconds: float
) -> SendResult:
    used_idle_connection = _was_idle(send_outcome.idle_seconds)
    target_outcome = Outcome.BROKEN
    if send_outcome.reason == 'timeout':
        target_outcome = Outcome.SILENT
    elif (
        send_outcome.reason == 'reset'
        and used_idle_connection
        and seconds < MAX_STALE_RESET_SECONDS
    ):
        target_outcome = Outcome.STALE
    return SendResult(
        target_outcome,
        seconds,
        may_have_run=True,
        detail=f'{send_outcome.reason}: {send_outcome.detail}',
        used_idle_connection=used_idle_connection,
    )


def _was_idle(seconds: float | None) -> bool:
    return seconds is not None and seconds >= IDLE_CONNECTION_SECONDS
