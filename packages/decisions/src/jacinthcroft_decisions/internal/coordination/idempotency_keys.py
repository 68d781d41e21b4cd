"""Checks the form and the age of callers' idempotency keys.

A key is a UUIDv7, which contains the Unix time of its creation, called the
key time. Witnesses rely on it: the record of a key older than the retention
may be gone, and a key created after a witness started can't have been claimed
there before the start.
"""

import uuid
from dataclasses import dataclass
from typing import TypeAlias

from jacinthcroft_decisions.internal.coordination.config import (
    CoordinationConfig,
)

_UUID_VERSION = 7
_BITS_AFTER_TIME = 80
_MS_PER_SECOND = 1000


@dataclass(frozen=True)
class KeyAccepted:
    """The key may be claimed; `canonical` is its lower-case form."""

    canonical: str
    time_ms: int


@dataclass(frozen=True)
class KeyTooOld:
    """The key is older than the key retention."""

    age_seconds: float


@dataclass(frozen=True)
class KeyInFuture:
    """The key time is further in the future than clocks may differ."""

    ahead_seconds: float


@dataclass(frozen=True)
class KeyInvalid:
    """The text is not a UUIDv7 in its usual form with hyphens."""


KeyCheckResult: TypeAlias = KeyAccepted | KeyTooOld | KeyInFuture | KeyInvalid


def check_idempotency_key(
    key: str, wall_time: float, config: CoordinationConfig
) -> KeyCheckResult:
    """Checks a key at the wall-clock time `wall_time`, in Unix seconds."""
    parsed = parse_key(key)
    if parsed is None:
        return KeyInvalid()
    time_ms = parsed.int >> _BITS_AFTER_TIME
    age = wall_time - time_ms / _MS_PER_SECOND
    if age > config.key_retention:
        return KeyTooOld(age)
    if -age > config.clock_skew:
        return KeyInFuture(-age)
    return KeyAccepted(str(parsed), time_ms)


def parse_key(key: str) -> uuid.UUID | None:
    """Parses a UUIDv7; returns None if the text is not one."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    is_usual_form = (
        str(parsed) == key.lower() and parsed.variant == uuid.RFC_4122
    )
    if is_usual_form and parsed.version == _UUID_VERSION:
        return parsed
    return None


def extract_key_time(resource: str) -> float | None:
    """Returns the key time of the resource `key:<...>/<uuid>`.

    The time is in Unix seconds; None if the name does not end in a key.
    """
    parsed = parse_key(resource.rpartition('/')[2])
    if parsed is None:
        return None
    return (parsed.int >> _BITS_AFTER_TIME) / _MS_PER_SECOND
