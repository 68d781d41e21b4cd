"""Hosts by which a VM finds others when it has lost them."""

from collections.abc import Iterable
from typing import Final

from attrs import define, field

# Hosts that are remembered.
MAX_KNOWN: Final = 64


@define
class HostBook:
    """Hosts that were heard of, asked in turn."""

    _known: dict[str, None] = field(factory=dict)
    _turn: int = 0

    def note(self, host: str) -> None:
        """Remembers a host, instead of the one not heard of for longest."""
        self._known.pop(host, None)
        self._known[host] = None
        while len(self._known) > MAX_KNOWN:
            self._known.pop(next(iter(self._known)))

    def start_over(self) -> None:
        """Begins with the first hosts again."""
        self._turn = 0

    def next_of(
        self,
        first: Iterable[str],
        without: frozenset[str],
        width: int,
    ) -> tuple[str, ...]:
        """Returns some hosts to ask, so that all have their turn."""
        hosts = [
            host
            for host in dict.fromkeys((*first, *self._known))
            if host not in without
        ]
        if not hosts:
            return ()
        start = self._turn % len(hosts)
        self._turn = start + width
        return tuple(dict.fromkeys((hosts + hosts)[start : start + width]))
