"""Hosts that a VM asks when it looks for a leader or for other leaders."""

from collections.abc import Iterable
from typing import Final

from attrs import define, field

MAX_KNOWN_HOSTS: Final = 64


@define
class KnownHosts:
    """The most recently added hosts of other VMs, polled in rotation."""

    _hosts: dict[str, None] = field(factory=dict)
    _next_index: int = 0

    def add(self, host: str) -> None:
        """Adds a host as the newest; drops the oldest ones beyond the limit."""
        self._hosts.pop(host, None)
        self._hosts[host] = None
        while len(self._hosts) > MAX_KNOWN_HOSTS:
            self._hosts.pop(next(iter(self._hosts)))

    def restart_rotation(self) -> None:
        """Starts the rotation again at the preferred hosts."""
        self._next_index = 0

    def next_hosts(
        self,
        preferred: Iterable[str],
        excluded: frozenset[str],
        count: int,
    ) -> tuple[str, ...]:
        """Returns the next `count` hosts to poll.

        The rotation runs over the preferred hosts and then over the known
        ones, so that repeated calls reach all of them.
        """
        hosts = [
            host
            for host in dict.fromkeys((*preferred, *self._hosts))
            if host not in excluded
        ]
        if not hosts:
            return ()
        start = self._next_index % len(hosts)
        self._next_index = start + count
        return tuple(dict.fromkeys((hosts + hosts)[start : start + count]))
