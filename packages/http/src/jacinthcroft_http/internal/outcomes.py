"""Outcomes of reading, serving and sending, as values.

Only a body that ends prematurely raises an exception: it occurs during an
iteration, and code that relays the body must not mistake it for the end.
"""

from dataclasses import dataclass
from typing import Literal

BadRequestReason = Literal[
    'malformed-request',
    'conflicting-length',
    'head-too-large',
    'head-timeout',
]
NothingSentReason = Literal[
    'connect-failed',
    'connect-timeout',
    'timeout',
    'withheld',
    'malformed',
    'closed',
]
InterruptedReason = Literal['timeout', 'reset', 'protocol']


@dataclass(frozen=True)
class BodyTooLarge:
    """A body that exceeds its reader's limit in bytes."""

    limit: int


@dataclass(frozen=True)
class NoBufferRoom:
    """A body that was not read, because others used up the buffer budget."""


@dataclass(frozen=True)
class BadRequest:
    """A request that the server rejects as malformed, too large or late.

    `is_in_body` is true if the fault was found in the body, after the
    handler had started.
    """

    reason: BadRequestReason
    detail: str
    is_in_body: bool = False


@dataclass(frozen=True)
class NothingSent:
    """A failed attempt; no byte of the request was sent."""

    reason: NothingSentReason
    detail: str


@dataclass(frozen=True)
class Interrupted:
    """A failed attempt; part or all of the request may have been sent.

    `idle_seconds` is how long its connection had been idle before, or None
    if the connection was new or the response head had already arrived.
    """

    reason: InterruptedReason
    detail: str
    idle_seconds: float | None = None


class BodyCut(Exception):
    """Raised when a body ends prematurely."""

    def __init__(self, cause: Interrupted) -> None:
        """Stores how the connection failed as `cause`."""
        super().__init__(cause.reason, cause.detail)
        self.cause = cause
