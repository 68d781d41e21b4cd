"""What this VM believes of the fleet: configuration, VM list, freshness.

Revisions only rise: whatever the platform or a peer offers, an older or
equal revision changes nothing. Everything here is soft state; a restarted VM
starts empty and learns it again from the platform and its peers.
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
    """The newest accepted configuration and VM list of this VM."""

    def __init__(
        self,
        vm: str,
        zone: str,
        coordination_config: CoordinationConfig,
        started_at: float,
    ) -> None:
        """Starts empty: nothing is in force until something is adopted."""
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
        """What the newest list says of this VM; one not listed is live."""
        named = (vm for vm in self._vm_list.vms if vm.name == self._vm)
        listed = next(named, None)
        return VmState.LIVE if listed is None else listed.state

    @property
    def coordination_config(self) -> CoordinationConfig:
        """The coordination_config that every VM of the fleet shares."""
        return self._coordination_config

    @property
    def vm_list(self) -> VmList:
        """The newest accepted VM list."""
        return self._vm_list

    @property
    def placement(self) -> Placement:
        """Holder candidates and witnesses of the newest list."""
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
        """Whom this VM has heard lately."""
        return self._freshness

    @property
    def list_history(self) -> ListHistory:
        """The accepted VM lists, this one and earlier ones."""
        return self._list_history

    @property
    def other_vms(self) -> tuple[str, ...]:
        """The names of the other VMs in the newest list."""
        names = (vm.name for vm in self._vm_list.vms)
        return tuple(name for name in names if name != self._vm)

    def find_service(self, name: str) -> Service | None:
        """Returns a service of the configuration in force."""
        return self._services.get(name)

    def find_peer_address(self, vm: str) -> Address | None:
        """Returns where another VM takes peer messages."""
        return self._addresses.get(vm)

    def is_fresh(self, now: float) -> bool:
        """Whether this VM may trust that it would know of a withdrawal."""
        return self._freshness.is_fresh(now, self._placement)

    def adopt_list(self, vm_list: VmList, text: str) -> bool:
        """Takes a newer VM list; returns whether it was newer."""
        if vm_list.revision <= self._vm_list.revision:
            return False
        self._vm_list = vm_list
        self._placement = Placement.from_vm_list(
            vm_list, self._coordination_config
        )
        self._list_history.add(
            PublishedText(vm_list.revision, text), self._placement
        )
        # Earlier addresses stay: a VM that left the list may still have to
        # be fenced as a witness of an earlier list.
        self._addresses.update({vm.name: vm.peers for vm in vm_list.vms})
        return True

    def adopt_configuration(
        self,
        configuration: Configuration,
        now: float,
    ) -> bool:
        """Takes a newer configuration; returns whether it was newer."""
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
