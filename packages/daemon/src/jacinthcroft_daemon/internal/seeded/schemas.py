"""Checks the fields of messages that came over the network.

Decoding raises `InvalidMessage` and nothing else, before anything is done with
the message. Each field has a check, so that a value of another type does not
fail later, where it would end the process.
"""

import math
import reprlib
from collections.abc import Callable, Iterable
from typing import Any, Final, Self

from attrs import frozen

Check = Callable[[Any], bool]

_MAX_PORT: Final = 65535
_MAX_COUNT: Final = 1_000_000
# Fits into 64 bits.
_MAX_DIGITS: Final = 18


class InvalidMessage(ValueError):
    """A field of a message is missing, too many, or of another type."""


@frozen
class Schema:
    """The fields of an array, in order, with the check of each."""

    name: str
    _checks: tuple[tuple[str, Check], ...]

    @classmethod
    def from_checks(cls, schema_name: str, **checks: Check) -> Self:
        """Makes the schema of a message or of a part of one."""
        return cls(schema_name, tuple(checks.items()))

    def check(self, fields: Any) -> list[Any]:
        """Returns the fields.

        Raises:
            InvalidMessage: If these are not the fields of the schema; names
                the field and shows what was found.
        """
        if not isinstance(fields, list) or len(fields) != len(self._checks):
            expected = f'an array of {len(self._checks)} fields'
            raise InvalidMessage(
                f'{self.name}: expected {expected}, got {reprlib.repr(fields)}'
            )
        for (name, is_valid), found in zip(self._checks, fields, strict=True):
            if not is_valid(found):
                raise InvalidMessage(
                    f'{self.name}.{name}: unexpected {reprlib.repr(found)}'
                )
        return fields

    def accepts(self, fields: Any) -> bool:
        """Whether these are the fields of the schema."""
        return (
            isinstance(fields, list)
            and len(fields) == len(self._checks)
            and all(
                is_valid(found)
                for (_, is_valid), found in zip(
                    self._checks, fields, strict=True
                )
            )
        )


def parse_whole_number(text: str) -> int | None:
    """Returns the number that ASCII digits write, None for other text."""
    digits = text.strip()
    # `int` fails on some Unicode digits, and on thousands of digits.
    if not digits.isascii() or not digits.isdecimal():
        return None
    return int(digits) if len(digits) <= _MAX_DIGITS else None


def is_text(found: Any) -> bool:
    """Accepts text."""
    return isinstance(found, str)


def is_flag(found: Any) -> bool:
    """Accepts true and false."""
    return isinstance(found, bool)


def is_whole(found: Any) -> bool:
    """Accepts a whole number."""
    return isinstance(found, int) and not isinstance(found, bool)


def is_count(found: Any) -> bool:
    """Accepts a whole number of things, or its negative."""
    return is_whole(found) and abs(found) <= _MAX_COUNT


def is_finite(found: Any) -> bool:
    """Accepts a number, but no infinity and no NaN."""
    return is_whole(found) or (
        isinstance(found, float) and math.isfinite(found)
    )


def is_port(found: Any) -> bool:
    """Accepts the number of a port."""
    return is_whole(found) and 0 < found <= _MAX_PORT


def make_optional(check: Check) -> Check:
    """Returns a check that accepts a null too."""
    return lambda found: found is None or check(found)


def make_list(check: Check) -> Check:
    """Returns a check that accepts an array of valid elements."""
    return lambda found: isinstance(found, list) and all(map(check, found))


def make_choice(choices: Iterable[int]) -> Check:
    """Returns a check that accepts the numbers of an enumeration."""
    numbers = frozenset(int(choice) for choice in choices)
    return lambda found: is_whole(found) and found in numbers
