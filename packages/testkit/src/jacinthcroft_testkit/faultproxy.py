"""Stand-in for a faulty network: `python -m jacinthcroft_testkit.faultproxy`.

One process carries many TCP links. It prints `ready host:port` of its
control port, which takes `AddLinks`, `SetLinks`
and `ReadTraffic`.
"""

import asyncio

from jacinthcroft_config import Address

from jacinthcroft_testkit.internal.control import (
    ControlDesk,
    Count,
    serve_until_stopped,
)
from jacinthcroft_testkit.internal.link_messages import (
    AddLinks,
    LinkPorts,
    ReadTraffic,
    SetLinks,
    Traffic,
)
from jacinthcroft_testkit.internal.links import LinkTable


class FaultProxy:
    """Answers the control messages of the fault proxy."""

    def __init__(self) -> None:
        """Starts without links."""
        self._table = LinkTable()
        self.desk = ControlDesk()
        self.desk.register(AddLinks, self._add)
        self.desk.register(SetLinks, self._set)
        self.desk.register(ReadTraffic, self._read_traffic)

    async def _add(self, message: AddLinks) -> LinkPorts:
        ports = {}
        for name, destination in message.destinations.items():
            host, _, port = destination.rpartition(':')
            address = await self._table.add(name, Address(host, int(port)))
            ports[name] = str(address)
        return LinkPorts(ports)

    async def _set(self, message: SetLinks) -> Count:
        count = await self._table.change(
            message.pattern,
            message.directions,
            message.setting,
        )
        return Count(count)

    async def _read_traffic(self, message: ReadTraffic) -> Traffic:
        return Traffic(self._table.passed_bytes(message.pattern))


def main() -> None:
    """Runs the fault proxy until SIGTERM."""
    asyncio.run(_serve())


async def _serve() -> None:
    await serve_until_stopped(FaultProxy().desk.handle)


if __name__ == '__main__':
    main()
