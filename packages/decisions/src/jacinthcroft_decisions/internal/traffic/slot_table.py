"""Tracks which slots of a target may be in use.

A permit lets a VM run one request at a time on one slot of a target. A permit
that is not returned takes its slot until the latest moment at which a run begun
on it can still be going on.
"""

from attrs import define, frozen

from jacinthcroft_decisions.internal.traffic.permit_messages import HeldSlot

# Allows for the drift between the clocks of two VMs during a permit's life.
CLOCK_MARGIN_SECONDS = 0.05
# How late a target may notice that the connection of a run was closed.
CANCELLATION_DELAY_SECONDS = 0.25


@frozen
class PermitUse:
    """Which VM has a permit, and when it was granted or last renewed."""

    vm: str
    zone: str
    granted_at: float


@define
class _OutstandingPermit:
    use: PermitUse
    free_at: float
    last_heard_at: float
    last_run_number: int = 0
    is_silent: bool = False


class SlotTable:
    """The outstanding permits of one target; each takes a slot."""

    def __init__(self) -> None:
        """Starts with all slots free."""
        self._permits: dict[str, _OutstandingPermit] = {}

    @property
    def taken_count(self) -> int:
        """How many slots are taken."""
        return len(self._permits)

    def find_use(self, permit_id: str) -> PermitUse | None:
        """Returns the use of a permit, or None if it is not outstanding."""
        permit = self._permits.get(permit_id)
        return permit.use if permit else None

    def list_outstanding_permits(self, now: float) -> tuple[HeldSlot, ...]:
        """Returns the outstanding permits for a handover."""
        return tuple(
            HeldSlot(
                permit_id=permit_id,
                vm=permit.use.vm,
                zone=permit.use.zone,
                free_in=permit.free_at - now,
            )
            for permit_id, permit in self._permits.items()
        )

    def add_permit(
        self,
        permit_id: str,
        use: PermitUse,
        free_at: float,
    ) -> None:
        """Takes a slot until the permit's return, at most until `free_at`."""
        self._permits[permit_id] = _OutstandingPermit(
            use=use,
            free_at=free_at + CLOCK_MARGIN_SECONDS,
            last_heard_at=use.granted_at,
        )

    def renew_permit(self, permit_id: str, now: float, free_at: float) -> None:
        """Lets an outstanding permit take its slot until `free_at`."""
        permit = self._permits[permit_id]
        permit.use = PermitUse(permit.use.vm, permit.use.zone, now)
        permit.last_heard_at = now
        permit.is_silent = False
        permit.free_at = max(permit.free_at, free_at + CLOCK_MARGIN_SECONDS)

    def is_new_run(self, permit_id: str, run_number: int) -> bool:
        """Whether a reported run has not been counted yet.

        A run counts as new if it has no number. A run that
        `collect_silent_uses` has returned was counted there.
        """
        permit = self._permits.get(permit_id)
        if permit is None or permit.is_silent:
            return False
        return not run_number or run_number > permit.last_run_number

    def record_run(self, permit_id: str, run_number: int) -> None:
        """Remembers a run as counted."""
        permit = self._permits[permit_id]
        permit.last_run_number = max(permit.last_run_number, run_number)

    def collect_silent_uses(
        self,
        now: float,
        max_silence_seconds: float,
    ) -> tuple[PermitUse, ...]:
        """Returns the uses of permits that were silent for too long.

        A permit is silent while its VM sends no report that renews it; the
        longest silence allowed is `max_silence_seconds`.

        While several VMs have permits, a use is returned again after each
        further period of that length. With one VM it is returned only once:
        that VM may be lost, which looks the same and is no fault of the
        target.
        """
        late = [
            permit
            for permit in self._permits.values()
            if now - permit.last_heard_at > max_silence_seconds
        ]
        is_shared = len({each.use.vm for each in self._permits.values()}) > 1
        silent = [
            late_permit
            for late_permit in late
            if is_shared or not late_permit.is_silent
        ]
        for silent_permit in silent:
            silent_permit.is_silent = True
            silent_permit.last_heard_at = now
        return tuple(each.use for each in silent)

    def free_slot(self, permit_id: str) -> None:
        """Frees the slot of a returned permit."""
        self._permits.pop(permit_id, None)

    def free_slot_after_cancellation(self, permit_id: str, now: float) -> None:
        """Frees the slot once the target must have noticed a cancellation."""
        permit = self._permits.get(permit_id)
        if permit is not None:
            noticed_at = now + CANCELLATION_DELAY_SECONDS
            permit.free_at = min(permit.free_at, noticed_at)

    def free_expired_slots(self, now: float) -> None:
        """Frees the slots of permits that were not returned in time."""
        for permit_id, permit in tuple(self._permits.items()):
            if permit.free_at <= now:
                self._permits.pop(permit_id)
