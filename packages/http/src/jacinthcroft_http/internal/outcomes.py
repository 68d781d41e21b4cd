"""Outcomes of reading, serving and sending, as values.

Only a body that breaks off is an exception: it surfaces in the middle of an
iteration, and whoever relays the body must not mistake it for the end.
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
    """A body that exceeds what its reader accepts, in bytes."""

    limit: int


@dataclass(frozen=True)
class BadRequest:
    """Bytes from a caller that are not a request this server accepts.

    `is_in_body` tells that the fault came after the head, when the handler
    already ran.
    """

    reason: BadRequestReason
    detail: str
    is_in_body: bool = False


@dataclass(frozen=True)
class NothingSent:
    """An attempt of which no byte left this process."""

    reason: NothingSentReason
    detail: str


@dataclass(frozen=True)
class Interrupted:
    """An attempt that failed after its first byte may have left.

    `idle_seconds` is how long its connection had been idle before, or
    None if it was new or an answer had begun.
    """

    reason: InterruptedReason
    detail: str
    idle_seconds: float | None = None


class BodyCut(Exception):
    """A body that broke off before its end."""

    def __init__(self, cause: Interrupted) -> None:
        """Remembers how the connection failed."""
        super().__init__(cause.reason, cause.detail)
        self.cause = cause
