"""This VM's view of the fleet: the configuration, VM list and freshness.

Revisions only increase: an older or equal revision from the platform or a peer
is ignored. The view is kept in memory only; a restarted VM starts with an
empty view and fetches it again from the platform and its peers.
"""

from jacinthcroft_config import (
    Address,
    Configuration,
    RouteTable,
    Service,
    TeamIndex,
    VmList,
    VmState,
)
from jacinthcroft_decisions.coordination import (
    CoordinationConfig,
    Freshness,
    Placement,
)

from jacinthcroft_daemon.internal.fleet.list_history import (
    ListHistory,
    PublishedText,
)


class FleetView:
    """The newest configuration and VM list that this VM has adopted."""

    def __init__(
        self,
        vm: str,
        zone: str,
        coordination_config: CoordinationConfig,
        started_at: float,
    ) -> None:
        """Starts with an empty configuration and VM list.

        Args:
            vm: This VM's name.
            zone: This VM's availability zone.
            coordination_config: The times and counts that all VMs share.
            started_at: The start of the process, in boot seconds.
        """
        self._vm = vm
        self._zone = zone
        self._coordination_config = coordination_config
        self._vm_list = VmList(revision=0, vms=())
        self._placement = Placement.from_vm_list(
            self._vm_list, coordination_config
        )
        self._configuration = Configuration(revision=0, services=())
        self._routes = RouteTable.from_configuration(self._configuration)
        self._teams = TeamIndex.from_configuration(self._configuration)
        self._services: dict[str, Service] = {}
        self._addresses: dict[str, Address] = {}
        self._list_history = ListHistory(coordination_config)
        self._configuration_adopted_at = started_at
        self._freshness = Freshness(vm, coordination_config)

    @property
    def vm(self) -> str:
        """This VM's name."""
        return self._vm

    @property
    def zone(self) -> str:
        """This VM's availability zone."""
        return self._zone

    @property
    def state(self) -> VmState:
        """This VM's state in the newest list; live if it is not listed."""
        matches = (vm for vm in self._vm_list.vms if vm.name == self._vm)
        listed_vm = next(matches, None)
        return VmState.LIVE if listed_vm is None else listed_vm.state

    @property
    def coordination_config(self) -> CoordinationConfig:
        """The coordination configuration that all VMs share."""
        return self._coordination_config

    @property
    def vm_list(self) -> VmList:
        """The newest adopted VM list."""
        return self._vm_list

    @property
    def placement(self) -> Placement:
        """The holder candidates and witnesses under the newest list."""
        return self._placement

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._configuration

    @property
    def configuration_adopted_at(self) -> float:
        """When the configuration in force was adopted, in boot seconds."""
        return self._configuration_adopted_at

    @property
    def routes(self) -> RouteTable:
        """The routes of the configuration in force."""
        return self._routes

    @property
    def teams(self) -> TeamIndex:
        """The teams of the configuration in force, by key hash."""
        return self._teams

    @property
    def freshness(self) -> Freshness:
        """Which VMs this VM has heard from recently."""
        return self._freshness

    @property
    def list_history(self) -> ListHistory:
        """The newest VM list and earlier ones."""
        return self._list_history

    @property
    def other_vms(self) -> tuple[str, ...]:
        """The names of the other VMs in the newest list."""
        names = (vm.name for vm in self._vm_list.vms)
        return tuple(name for name in names if name != self._vm)

    def find_service(self, name: str) -> Service | None:
        """Returns the service of this name in the configuration in force."""
        return self._services.get(name)

    def find_peer_address(self, vm: str) -> Address | None:
        """Returns the address at which another VM accepts peer messages."""
        return self._addresses.get(vm)

    def is_fresh(self, now: float) -> bool:
        """Whether this VM has heard enough peers to know of withdrawals."""
        return self._freshness.is_fresh(now, self._placement)

    def adopt_list(self, vm_list: VmList, text: str) -> bool:
        """Adopts a VM list if it is newer; returns whether it is."""
        if vm_list.revision <= self._vm_list.revision:
            return False
        self._vm_list = vm_list
        self._placement = Placement.from_vm_list(
            vm_list, self._coordination_config
        )
        self._list_history.add(
            PublishedText(vm_list.revision, text), self._placement
        )
        # Earlier addresses are kept: a VM that left the list may still have to
        # be fenced as a witness of an earlier list.
        self._addresses.update({vm.name: vm.peers for vm in vm_list.vms})
        return True

    def adopt_configuration(
        self,
        configuration: Configuration,
        now: float,
    ) -> bool:
        """Adopts a configuration if it is newer; returns whether it is."""
        if configuration.revision <= self._configuration.revision:
            return False
        self._configuration = configuration
        self._routes = RouteTable.from_configuration(configuration)
        self._teams = TeamIndex.from_configuration(configuration)
        self._services = {
            service.name: service for service in configuration.services
        }
        self._configuration_adopted_at = now
        return True
