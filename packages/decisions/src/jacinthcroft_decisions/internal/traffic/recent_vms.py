"""The VMs that recently used a cell, the set of targets of one service.

Their number, and that of their zones, decides how many VMs have to agree
before an observation is taken for a fault of a target.
"""

from collections.abc import Collection

VM_IDLE_TIMEOUT_SECONDS = 120.0
# Independent observations are needed from this many VMs and from this many
# zones.
_MIN_CORROBORATING_COUNT = 2


class RecentVms:
    """The VMs that recently asked for targets of a cell, with their zones."""

    def __init__(self) -> None:
        """Starts without VMs."""
        self._zone_by_vm: dict[str, str] = {}
        self._last_seen_by_vm: dict[str, float] = {}

    def record(self, vm: str, zone: str, now: float) -> None:
        """Records that a VM uses the cell."""
        self._zone_by_vm[vm] = zone
        self._last_seen_by_vm[vm] = now

    def drop_idle(self, now: float) -> None:
        """Drops the VMs that have not used the cell for the idle timeout."""
        for vm, seen_at in tuple(self._last_seen_by_vm.items()):
            if seen_at < now - VM_IDLE_TIMEOUT_SECONDS:
                self._last_seen_by_vm.pop(vm)
                self._zone_by_vm.pop(vm)

    def is_corroborated(
        self, vms: Collection[str], zones: Collection[str]
    ) -> bool:
        """Whether an observation by these VMs, in these zones, suffices.

        Two VMs of two zones suffice. If only one VM or one zone uses the
        cell, no other could corroborate the observation, so one suffices.
        """
        all_zones = set(self._zone_by_vm.values())
        return len(vms) >= min(
            _MIN_CORROBORATING_COUNT, len(self._zone_by_vm)
        ) and (len(zones) >= min(_MIN_CORROBORATING_COUNT, len(all_zones)))
