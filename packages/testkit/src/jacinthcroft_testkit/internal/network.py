"""The links of a fleet under test, or none."""

import json
import pathlib
from collections import defaultdict
from collections.abc import Iterable, Mapping

from attrs import define, field

from jacinthcroft_testkit.internal.stand_ins import FaultProxyStandIn

_LINKED_VM = 'jacinthcroft_testkit.linked_vm'


@define(eq=False)
class Network:
    """Leads every VM's connections through links of its own.

    Without a proxy VMs dial each other and the targets directly.
    """

    _folder: pathlib.Path
    proxy: FaultProxyStandIn | None
    _daemon: str
    _links: defaultdict[str, dict[str, str]] = field(
        factory=lambda: defaultdict(dict),
        init=False,
    )

    def launch(self, vm: str) -> tuple[str, ...]:
        """Returns the Python arguments that run a VM's daemon."""
        if self.proxy is None:
            return ('-m', self._daemon)
        return ('-m', _LINKED_VM, str(self._path(vm)), self._daemon)

    async def connect(
        self,
        sources: Iterable[str],
        destinations: Mapping[str, str],
    ) -> None:
        """Creates the links `source>destination` that do not exist yet.

        `destinations` maps names to published addresses.
        """
        if self.proxy is None:
            return
        for source in sources:
            known = self._links[source]
            wanted = {
                f'{source}>{name}': address
                for name, address in destinations.items()
                if name != source and address not in known
            }
            ports = await self.proxy.add(wanted)
            known.update(
                (wanted[link], listening) for link, listening in ports.items()
            )
            self._path(source).write_text(json.dumps(known))

    def _path(self, vm: str) -> pathlib.Path:
        return self._folder / f'{vm}.links.json'
