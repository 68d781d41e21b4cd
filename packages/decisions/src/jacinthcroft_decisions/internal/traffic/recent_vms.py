"""The VMs that recently used a cell, the set of targets of one service.

Their number, and that of their zones, decides how many VMs have to agree
before an observation is taken for a fault of a target.
"""

from collections.abc import Collection

VM_IDLE_TIMEOUT_SECONDS = 120.0
# Independent observations are needed from this many VMs and from this many
# zones.
_MIN_CORROBORATING = 2


class RecentVms:
    """The VMs that recently asked for targets of a cell, with their zones."""

    def __init__(self) -> None:
        """Starts without VMs."""
        self._zones: dict[str, str] = {}
        self._seen_at: dict[str, float] = {}

    def record(self, vm: str, zone: str, now: float) -> None:
        """Records that a VM uses the cell."""
        self._zones[vm] = zone
        self._seen_at[vm] = now

    def drop_idle(self, now: float) -> None:
        """Drops the VMs that have not used the cell for the idle timeout."""
        for vm, seen_at in tuple(self._seen_at.items()):
            if seen_at < now - VM_IDLE_TIMEOUT_SECONDS:
                self._seen_at.pop(vm)
                self._zones.pop(vm)

    def is_corroborated(
        self, vms: Collection[str], zones: Collection[str]
    ) -> bool:
        """Whether an observation of these VMs, of these zones, suffices.

        Two VMs of two zones suffice. Where only one VM or one zone uses the
        cell, nobody else could corroborate it, and one suffices.
        """
        all_zones = set(self._zones.values())
        return len(vms) >= min(_MIN_CORROBORATING, len(self._zones)) and (
            len(zones) >= min(_MIN_CORROBORATING, len(all_zones))
        )
