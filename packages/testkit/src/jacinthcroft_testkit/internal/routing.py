"""Where a VM's connections really go when its links can fail.

A VM under test runs on an event loop that looks up every address it dials
in a file of links, as a router would: the published addresses stay true for
every VM, also when VMs pass configuration on to each other.
"""

import asyncio
import json
import pathlib
import socket
from typing import Any

from attrs import define, field


@define
class LinkFile:
    """A JSON file that maps `host:port` to the link's `host:port`.

    The file is read again when it has changed, so that links can be added
    while the VM runs.
    """

    _path: pathlib.Path
    _read_at: int = field(default=0, init=False)
    _links: dict[str, str] = field(factory=dict, init=False)

    def resolve(self, host: str, port: int) -> tuple[str, int]:
        """Returns the host and port to dial in place of the given ones."""
        changed_at = self._path.stat().st_mtime_ns
        if changed_at != self._read_at:
            self._links = json.loads(self._path.read_text())
            self._read_at = changed_at
        link = self._links.get(f'{host}:{port}')
        if link is None:
            return host, port
        link_host, _, link_port = link.rpartition(':')
        return link_host, int(link_port)


class LinkedLoop(asyncio.SelectorEventLoop):
    """An event loop that dials links in place of addresses."""

    def __init__(self, links: LinkFile) -> None:
        """Uses the links of one file."""
        super().__init__()
        self._links = links

    async def sock_connect(self, sock: socket.socket, address: Any) -> None:
        """Connects to the link of an address, or to the address itself."""
        await super().sock_connect(sock, self._links.resolve(*address[:2]))


class LinkedPolicy(asyncio.DefaultEventLoopPolicy):
    """Makes every new event loop a `LinkedLoop`."""

    def __init__(self, links: LinkFile) -> None:
        """Uses the links of one file."""
        super().__init__()
        self._links = links

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """Returns a loop that dials links."""
        return LinkedLoop(self._links)
