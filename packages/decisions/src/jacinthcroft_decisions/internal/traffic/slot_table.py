"""Which slots of a target may be in use.

A permit that was not returned counts until the latest moment at which a
run begun on it can still be going on.
"""

from attrs import define, frozen

from jacinthcroft_decisions.internal.traffic.permit_messages import HeldSlot

# Allows for clocks of two VMs that run apart during one permit's life.
CLOCK_MARGIN_SECONDS = 0.05
# A target notices this late that the connection of a run was closed.
CANCELLATION_DELAY_SECONDS = 0.25


@frozen
class PermitUse:
    """Who holds a permit, and since when it was last granted or renewed."""

    vm: str
    zone: str
    granted_at: float


@define
class _Hold:
    use: PermitUse
    free_at: float
    heard_at: float
    last_run_number: int = 0
    is_overdue: bool = False


class SlotTable:
    """The permits of one target that may be in use."""

    def __init__(self) -> None:
        """Starts with none."""
        self._holds: dict[str, _Hold] = {}

    @property
    def taken_count(self) -> int:
        """How many permits may be in use."""
        return len(self._holds)

    def find_use(self, permit_id: str) -> PermitUse | None:
        """Returns who holds a permit, if it is outstanding."""
        hold = self._holds.get(permit_id)
        return hold.use if hold else None

    def list_outstanding_permits(self, now: float) -> tuple[HeldSlot, ...]:
        """Returns the outstanding permits for a handover."""
        return tuple(
            HeldSlot(
                permit_id=permit_id,
                vm=hold.use.vm,
                zone=hold.use.zone,
                free_in=hold.free_at - now,
            )
            for permit_id, hold in self._holds.items()
        )

    def add_permit(
        self, permit_id: str, use: PermitUse, free_at: float
    ) -> None:
        """Counts a new permit until its return, at most until `free_at`."""
        self._holds[permit_id] = _Hold(
            use=use,
            free_at=free_at + CLOCK_MARGIN_SECONDS,
            heard_at=use.granted_at,
        )

    def renew_permit(self, permit_id: str, now: float, free_at: float) -> None:
        """Counts an outstanding permit for longer."""
        hold = self._holds[permit_id]
        hold.use = PermitUse(hold.use.vm, hold.use.zone, now)
        hold.heard_at = now
        hold.is_overdue = False
        hold.free_at = max(hold.free_at, free_at + CLOCK_MARGIN_SECONDS)

    def is_new_run(self, permit_id: str, run_number: int) -> bool:
        """Whether a report's run was not counted; unnumbered ones are new."""
        hold = self._holds.get(permit_id)
        if hold is None or hold.is_overdue:
            return False
        return not run_number or run_number > hold.last_run_number

    def record_run(self, permit_id: str, run_number: int) -> None:
        """Remembers a run as seen."""
        hold = self._holds[permit_id]
        hold.last_run_number = max(hold.last_run_number, run_number)

    def collect_silent_uses(
        self, now: float, limit: float
    ) -> tuple[PermitUse, ...]:
        """Returns the uses of which nothing was heard for `limit` seconds.

        Each counts once, and again after as long when several VMs wait: a
        lost VM looks the same, and is no fault of the target.
        """
        late = [
            hold for hold in self._holds.values() if now - hold.heard_at > limit
        ]
        is_shared = len({known.use.vm for known in self._holds.values()}) > 1
        overdue = [
            late_one
            for late_one in late
            if is_shared or not late_one.is_overdue
        ]
        for waiting in overdue:
            waiting.is_overdue = True
            waiting.heard_at = now
        return tuple(each.use for each in overdue)

    def free_slot(self, permit_id: str) -> None:
        """Frees the slot of a returned permit."""
        self._holds.pop(permit_id, None)

    def free_slot_after_cancellation(self, permit_id: str, now: float) -> None:
        """Frees a slot once its target has noticed a cancellation."""
        hold = self._holds.get(permit_id)
        if hold is not None:
            settled_at = now + CANCELLATION_DELAY_SECONDS
            hold.free_at = min(hold.free_at, settled_at)

    def free_expired_slots(self, now: float) -> None:
        """Frees the slots of permits that were never returned."""
        for permit_id, hold in tuple(self._holds.items()):
            if hold.free_at <= now:
                self._holds.pop(permit_id)
