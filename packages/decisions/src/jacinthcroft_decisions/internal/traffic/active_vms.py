"""Which VMs use a cell: who could bear out what one of them saw."""

from collections.abc import Collection

VM_IDLE_TIMEOUT_SECONDS = 120.0
_WITNESSES = 2


class ActiveVms:
    """The VMs that lately asked for any target of a cell, with their zones."""

    def __init__(self) -> None:
        """Starts without any."""
        self._zones: dict[str, str] = {}
        self._seen_at: dict[str, float] = {}

    def note(self, vm: str, zone: str, now: float) -> None:
        """Takes in that a VM uses the cell."""
        self._zones[vm] = zone
        self._seen_at[vm] = now

    def forget_old(self, now: float) -> None:
        """Drops VMs that have not used the cell for long."""
        for vm, seen_at in tuple(self._seen_at.items()):
            if seen_at < now - VM_IDLE_TIMEOUT_SECONDS:
                self._seen_at.pop(vm)
                self._zones.pop(vm)

    def is_corroborated(
        self, vms: Collection[str], zones: Collection[str]
    ) -> bool:
        """Whether these are several VMs of several zones, as far as can be.

        A cell that only one VM or zone uses has no further witnesses.
        """
        all_zones = set(self._zones.values())
        return len(vms) >= min(_WITNESSES, len(self._zones)) and (
            len(zones) >= min(_WITNESSES, len(all_zones))
        )
