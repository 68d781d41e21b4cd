"""The one place that knows the platform's protocol.

Adapters register under the scheme that settings name; a new protocol is a
new adapter and nothing else. An adapter only reads.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from attrs import frozen
from jacinthcroft_config import Address


@frozen
class PlatformValue:
    """A published value with the platform's revision of it."""

    name: str
    revision: int
    text: str


@dataclass(frozen=True)
class NoNewerValue:
    """The platform answered; there is nothing newer than asked for."""


@dataclass(frozen=True)
class PlatformUnavailable:
    """The platform did not answer, or not sensibly."""

    detail: str


ReadOutcome = PlatformValue | NoNewerValue | PlatformUnavailable


class Platform(Protocol):
    """Reads published values."""

    async def read(
        self,
        name: str,
        after: int,
        wait_seconds: float,
    ) -> ReadOutcome:
        """Returns a value newer than `after`, waiting for one if told to."""


AdapterFactory = Callable[[Address, str], Platform]
_ADAPTERS: dict[str, AdapterFactory] = {}


def platform_adapter(
    scheme: str,
) -> Callable[[AdapterFactory], AdapterFactory]:
    """Registers an adapter under the scheme that settings name."""

    def decorator(factory: AdapterFactory) -> AdapterFactory:
        _ADAPTERS[scheme] = factory
        return factory

    return decorator


def connect_platform(scheme: str, address: Address, reader: str) -> Platform:
    """Returns the adapter for a scheme; an unknown scheme is a KeyError."""
    return _ADAPTERS[scheme](address, reader)
