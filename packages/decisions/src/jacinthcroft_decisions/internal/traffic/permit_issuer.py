"""Issues and renews permits, and tracks until when each takes its slot.

A cell is the set of targets of one service; its holder is the VM that has the
lease for it. A permit lets a VM run one request at a time on one slot of a
target. Its start window is the time in which a run may begin on it.
"""

from jacinthcroft_config import Service

from jacinthcroft_decisions.internal.traffic.permit_messages import (
    CellHandover,
    Permit,
    PermitRenewal,
)
from jacinthcroft_decisions.internal.traffic.permit_queue import QueueEntry
from jacinthcroft_decisions.internal.traffic.slot_table import (
    CLOCK_MARGIN_SECONDS,
    PermitUse,
)
from jacinthcroft_decisions.internal.traffic.target_pool import TargetPool

# How long after its issue a run may begin on a permit.
START_WINDOW_SECONDS = 1.0
# A permit with a shorter start window would expire before it reaches its VM.
MIN_START_WINDOW_SECONDS = 0.02
_MS_PER_SECOND = 1000


class PermitIssuer:
    """Issues one cell's permits under the lease of the cell's holder."""

    def __init__(
        self,
        service: Service,
        held_since: float,
        incarnation: str,
        pool: TargetPool,
    ) -> None:
        """Issues nothing until runs on the last holder's permits have ended.

        Each permit id begins with `incarnation`. The lease is held since
        `held_since`.
        """
        self._pool = pool
        self._cell = service.name
        self._incarnation = incarnation
        self._longest_run_seconds = find_longest_deadline(service)
        self._may_issue_from = (
            held_since + self._longest_run_seconds + CLOCK_MARGIN_SECONDS
        )
        self._lease_until = held_since
        self._issued_count = 0
        self._is_closed = False

    def may_issue(self, now: float) -> bool:
        """Whether permits may be issued or renewed now."""
        if self._is_closed or now < self._may_issue_from:
            return False
        return self._start_window(now) >= MIN_START_WINDOW_SECONDS

    def reconfigure(self, service: Service) -> None:
        """Adopts the service's longest deadline for permits issued later."""
        self._longest_run_seconds = find_longest_deadline(service)

    def set_lease_expiry(self, lease_until: float) -> None:
        """Lets no run begin after `lease_until` on permits issued later."""
        self._lease_until = lease_until

    def issue_permit(
        self,
        entry: QueueEntry,
        target: str,
        now: float,
    ) -> Permit:
        """Issues a permit for a target on which a slot is free."""
        self._issued_count += 1
        permit_id = f'{self._incarnation}-{self._issued_count}'
        start_window = self._start_window(now)
        cell_target = self._pool.targets[target]
        use = PermitUse(entry.ask.vm, entry.ask.zone, now)
        free_at = now + start_window + self._longest_run_seconds
        cell_target.slots.add_permit(permit_id, use, free_at)
        cell_target.concurrency.record_use(now)
        return Permit(
            id=permit_id,
            cell=entry.ask.cell,
            target=target,
            address_host=cell_target.target.address.host,
            address_port=cell_target.target.address.port,
            # The VM counts from before it sent the request, so the time that
            # the request has waited in the queue is added.
            start_within=start_window + now - entry.arrived_at,
            may_be_kept=self._pool.has_spare_capacity(now),
        )

    def renew_permit(
        self,
        permit_id: str,
        target: str,
        now: float,
    ) -> PermitRenewal | None:
        """Renews an outstanding permit if its VM may go on using the target."""
        slots = self._pool.targets[target].slots
        use = slots.find_use(permit_id)
        if use is None or not self.may_issue(now):
            return None
        if not self._pool.may_keep_permit(target, use, now):
            return None
        start_window = self._start_window(now)
        slots.renew_permit(
            permit_id, now, now + start_window + self._longest_run_seconds
        )
        return PermitRenewal(
            permit_id,
            start_window,
            self._pool.has_spare_capacity(now),
        )

    def hand_over(self, now: float) -> CellHandover:
        """Stops issuing for good; returns the state of all targets."""
        self._is_closed = True
        targets = tuple(
            cell_target.build_handover(now)
            for cell_target in self._pool.targets.values()
        )
        return CellHandover(self._cell, targets)

    def adopt_handover(self, handover: CellHandover, now: float) -> None:
        """Adopts the previous holder's state, so that it may issue at once."""
        self._may_issue_from = now
        for handed_over in handover.targets:
            cell_target = self._pool.targets.get(handed_over.name)
            if cell_target is not None:
                cell_target.take_over(handed_over, now)

    def _start_window(self, now: float) -> float:
        return min(START_WINDOW_SECONDS, self._lease_until - now)


def find_longest_deadline(service: Service) -> float:
    """Returns the longest deadline of a service's routes, in seconds."""
    longest_ms = max((route.deadline_ms for route in service.routes), default=0)
    return longest_ms / _MS_PER_SECOND
