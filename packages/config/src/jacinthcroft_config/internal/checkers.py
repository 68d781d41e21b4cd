"""Checks of single values, shared by all kinds of files.

A checker converts a raw value of TOML or JSON into the value that the program
uses, or returns a `Problem`; `expected` describes the values that it accepts.
Checkers never raise, whatever the raw value is.
"""

import enum
import ipaddress
import re
import reprlib
from abc import ABC, abstractmethod
from dataclasses import dataclass

from attrs import field, frozen

from jacinthcroft_config.internal.key_hashes import hash_key
from jacinthcroft_config.internal.models import Address

MAX_PORT = 65_535

_NAME = re.compile('[a-z0-9](?:[a-z0-9._-]{0,62})')
_KEY_HASH = re.compile('sha256:([0-9a-fA-F]{64})')
_PATH = re.compile(r'/|(?:/(?:\{[a-z0-9_]+\}|[A-Za-z0-9_~-][A-Za-z0-9._~-]*))+')
_PORT = re.compile('[0-9]{1,5}')


@dataclass(frozen=True)
class Problem:
    """Why a value is not accepted."""

    text: str


def format_value(raw: object) -> str:
    """Returns a raw value as shortened text for the message of a fault."""
    if isinstance(raw, bool):
        return str(raw).lower()
    try:
        return reprlib.repr(raw)
    except ValueError:
        # Python raises on the conversion of an int with thousands of digits.
        return 'a number this long'


def _reject(raw: object) -> Problem:
    return Problem(f'{format_value(raw)} is not accepted')


class Checker(ABC):
    """Checks one raw value."""

    @property
    @abstractmethod
    def expected(self) -> str:
        """Describes the accepted values, to follow `write` in a remedy."""

    @abstractmethod
    def check(self, raw: object) -> object:
        """Returns the value to use, or a `Problem`."""


@frozen
class Text(Checker):
    """Any text that is not empty."""

    @property
    def expected(self) -> str:
        """Describes the accepted values."""
        return 'text in quotes'

    def check(self, raw: object) -> object:
        """Returns the text, or a `Problem`."""
        return raw if isinstance(raw, str) and raw else _reject(raw)


@frozen
class Name(Checker):
    """A short name that is safe in addresses, metrics and file names."""

    @property
    def expected(self) -> str:
        """Describes the accepted values."""
        return 'a name of lower-case letters, digits and . _ - (at most 63)'

    def check(self, raw: object) -> object:
        """Returns the name, or a `Problem`."""
        if isinstance(raw, str) and _NAME.fullmatch(raw):
            return raw
        return _reject(raw)


@frozen
class Integer(Checker):
    """A whole number between two bounds, both included."""

    bounds: tuple[int, int]

    @property
    def expected(self) -> str:
        """Describes the accepted values."""
        return 'a whole number from {} to {}'.format(*self.bounds)

    def check(self, raw: object) -> object:
        """Returns the number, or a `Problem`."""
        # bool is a subclass of int, but `true` is not a number in a file.
        if isinstance(raw, bool) or not isinstance(raw, int):
            return _reject(raw)
        minimum, maximum = self.bounds
        return raw if minimum <= raw <= maximum else _reject(raw)


@frozen
class Number(Checker):
    """A finite number between two bounds, both included."""

    bounds: tuple[float, float]

    @property
    def expected(self) -> str:
        """Describes the accepted values."""
        return 'a number from {:.15g} to {:.15g}'.format(*self.bounds)

    def check(self, raw: object) -> object:
        """Returns the number as a float, or a `Problem`."""
        if isinstance(raw, bool) or not isinstance(raw, int | float):
            return _reject(raw)
        # The comparison also rejects NaN and an int too large for a float.
        minimum, maximum = self.bounds
        if minimum <= raw <= maximum:
            return float(raw)
        return _reject(raw)


@frozen
class Boolean(Checker):
    """True or false."""

    @property
    def expected(self) -> str:
        """Describes the accepted values."""
        return 'true or false'

    def check(self, raw: object) -> object:
        """Returns the bool, or a `Problem`."""
        return raw if isinstance(raw, bool) else _reject(raw)


@frozen
class Choice(Checker):
    """One of the values of an enumeration."""

    choices: type[enum.Enum]

    @property
    def expected(self) -> str:
        """Describes the accepted values."""
        names = (f'"{choice.value}"' for choice in self.choices)
        return ' or '.join(names)

    def check(self, raw: object) -> object:
        """Returns the member of the enumeration, or a `Problem`."""
        if not isinstance(raw, str):
            return _reject(raw)
        for choice in self.choices:
            if choice.value == raw:
                return choice
        return _reject(raw)


@frozen
class AddressText(Checker):
    """An IP number and a port."""

    @property
    def expected(self) -> str:
        """Describes the accepted values."""
        return 'an IP number and a port such as "127.0.0.1:9001"'

    def check(self, raw: object) -> object:
        """Returns an `Address`, or a `Problem`."""
        return parse_address(raw) if isinstance(raw, str) else _reject(raw)


@frozen
class KeyHash(Checker):
    """The hash of a caller's key, as service files publish it."""

    @property
    def expected(self) -> str:
        """Describes the accepted values."""
        return (
            '"sha256:" and 64 hexadecimal digits '
            '(`jacinthcroft key hash` prints them)'
        )

    def check(self, raw: object) -> object:
        """Returns the lower-case digits, or a `Problem`."""
        matched = _KEY_HASH.fullmatch(raw) if isinstance(raw, str) else None
        # The raw text is not shown: it may be a secret key, put there by
        # mistake.
        if matched is None:
            return Problem('this is not the hash of a key')
        digits = matched.group(1).lower()
        # The hash of an empty key would admit every caller without a key.
        if digits == hash_key(''):
            return Problem('this is the hash of an empty key')
        return digits


@frozen
class PathPattern(Checker):
    """A path of literal segments and segments in braces."""

    @property
    def expected(self) -> str:
        """Describes the accepted values."""
        return (
            'a path such as "/pots/{pot}/history", without a slash at its end'
        )

    def check(self, raw: object) -> object:
        """Returns the path, or a `Problem`."""
        if isinstance(raw, str) and _PATH.fullmatch(raw):
            return raw
        return _reject(raw)


@frozen
class ListOf(Checker):
    """A list whose every element passes one checker."""

    element: Checker
    min_length: int = field(default=0)

    @property
    def expected(self) -> str:
        """Describes the accepted values."""
        return f'a list, each element {self.element.expected}'

    def check(self, raw: object) -> object:
        """Returns a tuple, or the `Problem` of the first invalid element."""
        # The raw value is not shown: it may be a secret key, put there by
        # mistake.
        if not isinstance(raw, list):
            return Problem('this is not a list')
        if len(raw) < self.min_length:
            return Problem('the list is too short')
        checked = tuple(self.element.check(element) for element in raw)
        for element in checked:
            if isinstance(element, Problem):
                return element
        if len(set(checked)) < len(checked):
            return Problem('the list says something twice')
        return checked


def parse_address(text: str) -> Address | Problem:
    """Parses an address such as `127.0.0.1:9001` or `[::1]:9001`."""
    host, _, port = text.rpartition(':')
    if not _PORT.fullmatch(port) or not 1 <= int(port) <= MAX_PORT:
        return Problem(f'{format_value(text)} has no port from 1 to {MAX_PORT}')
    is_bracketed = host.startswith('[') and host.endswith(']')
    try:
        ip_address = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        return Problem(f'{format_value(text)} has no IP number')
    is_ipv6 = isinstance(ip_address, ipaddress.IPv6Address)
    if is_bracketed is not is_ipv6:
        return Problem(f'{format_value(text)} has no IP number')
    return Address(str(ip_address), int(port))
