"""What a baseline VM knows: configuration, list, shares and rotations."""

from attrs import define, field
from jacinthcroft_config import (
    Configuration,
    RouteTable,
    Service,
    TargetState,
    Team,
    TeamIndex,
    VmList,
    VmState,
)

from jacinthcroft_testkit.internal.baseline.rotation import Rotation
from jacinthcroft_testkit.internal.baseline.shares import FixedShare


@define(eq=False)
class FleetState:
    """Rebuilt whenever the platform publishes something."""

    vm: str
    zone: str
    configuration: Configuration = field(
        factory=lambda: Configuration(0, ()),
        init=False,
    )
    vm_list: VmList = field(factory=lambda: VmList(0, ()), init=False)
    routes: RouteTable = field(factory=RouteTable, init=False)
    teams: TeamIndex = field(factory=TeamIndex, init=False)
    _shares: dict[tuple[str, str], FixedShare] = field(
        factory=dict,
        init=False,
    )
    _rotations: dict[str, Rotation] = field(factory=dict, init=False)

    @property
    def is_ready(self) -> bool:
        """Whether the VM has all it needs and its zone is in."""
        is_loaded = self.configuration.revision and self.vm_list.revision
        return bool(is_loaded) and self.zone not in self.vm_list.zones_out

    def adopt_configuration(self, configuration: Configuration) -> None:
        """Puts a configuration in force."""
        self.configuration = configuration
        self.routes = RouteTable.from_configuration(configuration)
        self.teams = TeamIndex.from_configuration(configuration)
        self._forget()

    def adopt_list(self, vm_list: VmList) -> None:
        """Puts a list in force."""
        self.vm_list = vm_list
        self._forget()

    def share_of(self, service: str, team: Team) -> FixedShare:
        """Returns this VM's share of a team's limit."""
        share = self._shares.get((service, team.name))
        if share is None:
            live = [vm for vm in self.vm_list.vms if vm.state is VmState.LIVE]
            share = FixedShare.from_config(team, max(1, len(live)), now=0)
            self._shares[service, team.name] = share
        return share

    def rotation_of(self, service: Service) -> Rotation:
        """Returns the targets that may get new work."""
        rotation = self._rotations.get(service.name)
        if rotation is None:
            targets = [
                target
                for target in service.targets
                if target.state is TargetState.ACTIVE
                and target.zone not in self.vm_list.zones_out
            ]
            rotation = Rotation(targets, service.limits.floor)
            self._rotations[service.name] = rotation
        return rotation

    def _forget(self) -> None:
        self._shares.clear()
        self._rotations.clear()
