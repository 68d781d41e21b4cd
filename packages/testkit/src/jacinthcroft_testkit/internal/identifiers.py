"""Idempotency keys: UUIDv7 of RFC 9562, which `uuid` lacks on Python 3.11."""

import random
import uuid

_MILLISECONDS_PER_SECOND = 1000
_TIME_SHIFT = 80
_VERSION = 0x7
_VERSION_SHIFT = 76
_RANDOM_A_BITS = 12
_RANDOM_A_SHIFT = 64
_VARIANT = 0b10
_VARIANT_SHIFT = 62


def make_uuid7(wall: float, randomness: random.Random) -> str:
    """Returns a UUIDv7.

    Args:
        wall: The key's own time in Unix seconds.
        randomness: Source of the 74 random bits.
    """
    milliseconds = int(wall * _MILLISECONDS_PER_SECOND)
    number = milliseconds << _TIME_SHIFT
    number |= _VERSION << _VERSION_SHIFT
    number |= randomness.getrandbits(_RANDOM_A_BITS) << _RANDOM_A_SHIFT
    number |= _VARIANT << _VARIANT_SHIFT
    number |= randomness.getrandbits(_VARIANT_SHIFT)
    return str(uuid.UUID(int=number))
