"""Refusals: the closed list of reasons and their problem+json form.

The outcome of a refusal is about the operation that the caller requested.
`not-run` guarantees that it has not run and that this request never runs it.
`unknown` means that the VM cannot guarantee this; a retry with the same
Idempotency-Key is safe.
"""

import enum
import json
from dataclasses import dataclass

from jacinthcroft_http import Headers, Response


class Outcome(enum.Enum):
    """Whether the requested operation may have run."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Reason(enum.Enum):
    """Why a request is refused."""

    MALFORMED_REQUEST = 'malformed-request'
    CONFLICTING_LENGTH = 'conflicting-length'
    HEAD_TOO_LARGE = 'head-too-large'
    HEAD_TIMEOUT = 'head-timeout'
    BODY_TOO_LARGE = 'body-too-large'
    UNKNOWN_ROUTE = 'unknown-route'
    METHOD_NOT_ALLOWED = 'method-not-allowed'
    KEY_MISSING = 'key-missing'
    KEY_UNKNOWN = 'key-unknown'
    TEAM_NOT_ALLOWED = 'team-not-allowed'
    IDEMPOTENCY_KEY_MISSING = 'idempotency-key-missing'
    IDEMPOTENCY_KEY_INVALID = 'idempotency-key-invalid'
    IDEMPOTENCY_KEY_EXPIRED = 'idempotency-key-expired'
    IDEMPOTENCY_KEY_REUSED = 'idempotency-key-reused'
    ALREADY_RUNNING = 'already-running'
    OUTCOME_UNKNOWN = 'outcome-unknown'
    RATE_EXCEEDED = 'rate-exceeded'
    NO_CAPACITY = 'no-capacity'
    OVERLOADED = 'overloaded'
    DEADLINE_EXCEEDED = 'deadline-exceeded'
    TARGET_FAILED = 'target-failed'
    QUARANTINED = 'quarantined'
    SUSPENDED = 'suspended'
    NOT_FRESH = 'not-fresh'
    NO_WITNESSES = 'no-witnesses'
    LEAVING = 'leaving'
    STOPPING = 'stopping'
    STOPPED = 'stopped'


_STATUS_BY_REASON = {
    Reason.MALFORMED_REQUEST: 400,
    Reason.CONFLICTING_LENGTH: 400,
    Reason.HEAD_TOO_LARGE: 431,
    Reason.HEAD_TIMEOUT: 408,
    Reason.BODY_TOO_LARGE: 413,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.METHOD_NOT_ALLOWED: 405,
    Reason.KEY_MISSING: 401,
    Reason.KEY_UNKNOWN: 401,
    Reason.TEAM_NOT_ALLOWED: 403,
    Reason.IDEMPOTENCY_KEY_MISSING: 400,
    Reason.IDEMPOTENCY_KEY_INVALID: 400,
    Reason.IDEMPOTENCY_KEY_EXPIRED: 409,
    Reason.IDEMPOTENCY_KEY_REUSED: 422,
    Reason.ALREADY_RUNNING: 409,
    Reason.OUTCOME_UNKNOWN: 409,
    Reason.RATE_EXCEEDED: 429,
    Reason.NO_CAPACITY: 503,
    Reason.OVERLOADED: 503,
    Reason.DEADLINE_EXCEEDED: 504,
    Reason.TARGET_FAILED: 502,
    Reason.QUARANTINED: 422,
    Reason.SUSPENDED: 503,
    Reason.NOT_FRESH: 503,
    Reason.NO_WITNESSES: 503,
    Reason.LEAVING: 503,
    Reason.STOPPING: 503,
    Reason.STOPPED: 504,
}


@dataclass(frozen=True)
class Refusal:
    """Why a request is refused, and whether it may have run.

    `retry_after` is in seconds, and 0 if a later retry does not help.
    """

    reason: Reason
    outcome: Outcome
    detail: str
    retry_after: float = 0.0

    @property
    def status(self) -> int:
        """The HTTP status of this reason."""
        return _STATUS_BY_REASON[self.reason]


def make_refusal_response(
    refusal: Refusal,
    request_id: str,
    *,
    allow_fractions: bool = False,
) -> Response:
    """Returns the problem+json response for a refusal.

    `allow_fractions` writes fractions of a second in Retry-After, for callers
    that are known to accept them.
    """
    document = {
        'type': 'about:blank',
        'title': refusal.reason.value.replace('-', ' '),
        'status': refusal.status,
        'detail': refusal.detail,
        'outcome': refusal.outcome.value,
        'reason': refusal.reason.value,
        'request_id': request_id,
    }
    pairs = [
        ('content-type', 'application/problem+json'),
        ('x-request-id', request_id),
    ]
    if refusal.retry_after > 0 and allow_fractions:
        pairs.append(('retry-after', f'{refusal.retry_after:.2f}'))
    elif refusal.retry_after > 0:
        # Retry-After takes whole seconds. A rounded-down value would make the
        # caller retry too early.
        pairs.append(('retry-after', str(int(refusal.retry_after) + 1)))
    return Response(
        status=refusal.status,
        headers=Headers(tuple(pairs)),
        body=json.dumps(document).encode(),
    )
