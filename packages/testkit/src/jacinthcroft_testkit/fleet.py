"""A whole fleet on this machine, for tests, the demo and the bench.

`Fleet` is an asynchronous context manager: it starts the stand-ins and the
VMs, and ends every process that it started, also when the test fails.
"""

import contextlib
import functools
import pathlib
import tempfile
from collections.abc import Iterable, Mapping
from types import TracebackType
from typing import Self

from attrs import field, frozen
from jacinthcroft_config import Vm, VmState
from jacinthcroft_http import ConnectionPool

from jacinthcroft_testkit.internal.control import make_pool
from jacinthcroft_testkit.internal.documents import write_vm_list
from jacinthcroft_testkit.internal.history import Run
from jacinthcroft_testkit.internal.network import Network
from jacinthcroft_testkit.internal.ports import PortAllocator
from jacinthcroft_testkit.internal.processes import ProcessGroup
from jacinthcroft_testkit.internal.service_book import ServiceBook
from jacinthcroft_testkit.internal.stand_ins import (
    FaultProxyStandIn,
    PlatformStandIn,
    TargetStandIns,
)
from jacinthcroft_testkit.internal.target_messages import Traits
from jacinthcroft_testkit.internal.vm_group import VmGroup
from jacinthcroft_testkit.internal.waiting import wait_until

_SPREAD_TIMEOUT_SECONDS = 20.0


@frozen
class FleetPlan:
    """What a fleet consists of.

    VMs are called vm1, vm2 and so on, and are dealt out to the zones in
    turn. `tunables` go into every VM's settings; `daemon` is the module that
    each VM runs. `only_linked` names the VMs whose connections go through the
    fault proxy; empty means all.
    """

    vms: int = 6
    zones: tuple[str, ...] = ('muc1', 'muc2', 'nue1')
    with_faults: bool = False
    only_linked: frozenset[str] = frozenset()
    tunables: Mapping[str, float] = field(factory=dict)
    seed: int = 0
    daemon: str = 'jacinthcroft_daemon'


class Fleet:
    """The processes of one fleet with its platform and targets."""

    platform: PlatformStandIn
    targets: TargetStandIns
    vms: VmGroup

    def __init__(self, plan: FleetPlan) -> None:
        """Prepares a fleet; entering the context starts it."""
        self._plan = plan
        self._stack = contextlib.AsyncExitStack()
        self._ports = PortAllocator()
        self.services = ServiceBook(plan.zones)

    @classmethod
    def from_plan(cls, plan: FleetPlan) -> Self:
        """Makes a fleet by a plan."""
        return cls(plan)

    @property
    def links(self) -> FaultProxyStandIn:
        """The fault proxy of a plan `with_faults`."""
        assert self._network.proxy is not None, 'planned without faults'
        return self._network.proxy

    async def __aenter__(self) -> Self:
        """Starts the stand-ins; VMs start by `start_vms`."""
        folder = pathlib.Path(
            self._stack.enter_context(
                tempfile.TemporaryDirectory(prefix='jacinthcroft-'),
            ),
        )
        self._stack.callback(self._ports.close)
        processes = ProcessGroup(folder)
        self._stack.push_async_callback(processes.end_all)
        pool = make_pool()
        self._stack.push_async_callback(pool.close)
        try:
            await self._start_stand_ins(processes, pool)
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Ends every process."""
        await self._stack.aclose()

    async def add_service(
        self,
        service: str,
        text: str,
        targets: Iterable[str],
        traits: Traits,
    ) -> None:
        """Creates a service's targets, dealt out to the zones in turn.

        `text` is its service file, whose targets are replaced by these. It
        is in force only after `publish_services`.
        """
        self.services.add(service, text)
        await self.add_targets(service, targets, traits)

    async def add_targets(
        self,
        service: str,
        targets: Iterable[str],
        traits: Traits,
    ) -> None:
        """Gives a service more targets, from `publish_services` on."""
        ports = await self.targets.add(
            tuple(targets),
            traits,
            self._plan.seed,
        )
        self.services.add_targets(service, ports)
        await self._network.connect(self.vms.names(), ports)

    async def publish_services(self) -> int:
        """Publishes all service files and returns their revision."""
        return await self.platform.publish_services(self.services.texts())

    async def publish_vms(self, zones_out: Iterable[str] = ()) -> int:
        """Publishes the VM list and returns its revision."""
        vm_list = write_vm_list(self.vms.entries.values(), zones_out)
        return await self.platform.publish_vms(vm_list)

    async def spread_vm_list(self, zones_out: Iterable[str] = ()) -> float:
        """Publishes the VM list and waits until every VM has it.

        Returns:
            How many seconds that took.

        Raises:
            WaitedTooLong: If some VM does not get the list.
        """
        revision = await self.publish_vms(zones_out)
        return await wait_until(
            functools.partial(self._have_list, revision),
            f'list {revision} on every VM',
            _SPREAD_TIMEOUT_SECONDS,
        )

    async def start_vms(self) -> None:
        """Publishes everything, starts all VMs and waits until ready."""
        await self.publish_services()
        await self.publish_vms()
        for name in self.vms.names():
            await self.vms.start(name)
        await self.vms.wait_ready()

    async def read_runs(self) -> tuple[Run, ...]:
        """Returns everything that ran on any target."""
        return (await self.targets.read_journal()).runs

    async def _have_list(self, revision: int) -> bool:
        for name in self.vms.names():
            status = await self.vms.read_status(name)
            if status is None or status['list_revision'] < revision:
                return False
        return True

    async def _start_stand_ins(
        self,
        processes: ProcessGroup,
        pool: ConnectionPool,
    ) -> None:
        self.platform = await PlatformStandIn.start(processes, pool)
        self.targets = await TargetStandIns.start(processes, pool)
        proxy = None
        if self._plan.with_faults:
            proxy = await FaultProxyStandIn.start(processes, pool)
        self._network = Network(
            processes.folder,
            proxy,
            self._plan.daemon,
            self._plan.only_linked,
        )
        self.vms = VmGroup(
            processes,
            self._network,
            pool,
            self.platform.address,
            self._plan.tunables,
        )
        for number in range(self._plan.vms):
            await self.add_vm(number)

    async def add_vm(self, number: int) -> str:
        """Adds a VM to the group and returns its name; nothing starts."""
        zones = self._plan.zones
        vm = Vm(
            f'vm{number + 1}',
            zones[number % len(zones)],
            VmState.LIVE,
            self._ports.take(),
            self._ports.take(),
            self._ports.take(),
        )
        self.vms.entries[vm.name] = vm
        entries = self.vms.entries.values()
        peers = {entry.name: str(entry.peers) for entry in entries}
        platform = {'platform': str(self.platform.address)}
        await self._network.connect(self.vms.names(), peers | platform)
        return vm.name
