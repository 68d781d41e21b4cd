"""Judges a caller's idempotency key by its form and its own time.

A UUIDv7 carries the unix time of its making. Witnesses rely on it: a key
older than the retention may have lost its record, and a key made after a
witness started can't have been claimed there before.
"""

import uuid
from dataclasses import dataclass
from typing import TypeAlias

from jacinthcroft_decisions.internal.coordination.parameters import (
    CoordinationParameters,
)

_UUID_VERSION = 7
_RANDOM_BITS = 80
_MS_PER_SECOND = 1000


@dataclass(frozen=True)
class KeyAccepted:
    """The key may be claimed; `canonical` is its lower-case spelling."""

    canonical: str
    time_ms: int


@dataclass(frozen=True)
class KeyTooOld:
    """The key is past the retention of records."""

    age_seconds: float


@dataclass(frozen=True)
class KeyInFuture:
    """The key's time is further ahead than clocks may differ."""

    ahead_seconds: float


@dataclass(frozen=True)
class KeyInvalid:
    """The text is no UUIDv7 in its usual spelling."""


KeyCheckResult: TypeAlias = KeyAccepted | KeyTooOld | KeyInFuture | KeyInvalid


def check_idempotency_key(
    key: str, wall_time: float, parameters: CoordinationParameters
) -> KeyCheckResult:
    """Judges a key at the wall-clock time `wall_time`, in Unix seconds."""
    parsed = parse_key(key)
    if parsed is None:
        return KeyInvalid()
    time_ms = parsed.int >> _RANDOM_BITS
    age = wall_time - time_ms / _MS_PER_SECOND
    if age > parameters.key_retention:
        return KeyTooOld(age)
    if -age > parameters.clock_skew:
        return KeyInFuture(-age)
    return KeyAccepted(str(parsed), time_ms)


def parse_key(key: str) -> uuid.UUID | None:
    """Returns the UUIDv7 that the text spells, or None."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    is_usual = str(parsed) == key.lower() and parsed.variant == uuid.RFC_4122
    if is_usual and parsed.version == _UUID_VERSION:
        return parsed
    return None


def extract_key_time(thing: str) -> float | None:
    """Returns the unix seconds in a thing's name `key:<...>/<uuid>`."""
    parsed = parse_key(thing.rpartition('/')[2])
    if parsed is None:
        return None
    return (parsed.int >> _RANDOM_BITS) / _MS_PER_SECOND
