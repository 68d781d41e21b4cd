"""The interface of platform adapters, and their registry.

An adapter implements one protocol of the platform and registers under its
scheme. No other code depends on the protocol. Adapters only read.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from attrs import frozen
from jacinthcroft_config import Address


@frozen
class PlatformValue:
    """A published value and its revision at the platform."""

    name: str
    revision: int
    text: str


@dataclass(frozen=True)
class NoNewerValue:
    """The platform has no newer value than the given revision."""


@dataclass(frozen=True)
class PlatformUnavailable:
    """The platform gave no valid answer."""

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
        """Returns a value newer than `after`; waits up to `wait_seconds`."""


AdapterFactory = Callable[[Address, str], Platform]
_ADAPTERS: dict[str, AdapterFactory] = {}


def platform_adapter(
    scheme: str,
) -> Callable[[AdapterFactory], AdapterFactory]:
    """Registers an adapter under a scheme."""

    def decorator(factory: AdapterFactory) -> AdapterFactory:
        _ADAPTERS[scheme] = factory
        return factory

    return decorator


def connect_platform(scheme: str, address: Address, reader: str) -> Platform:
    """Returns the adapter for a scheme; an unknown scheme is a KeyError."""
    return _ADAPTERS[scheme](address, reader)
