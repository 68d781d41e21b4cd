"""Issues and renews permits, and counts how long their slots are taken."""

from jacinthcroft_config import Service

from jacinthcroft_decisions.internal.traffic.ask_queue import WaitingAsk
from jacinthcroft_decisions.internal.traffic.permit_messages import (
    CellHandover,
    Permit,
    PermitRenewal,
)
from jacinthcroft_decisions.internal.traffic.slot_table import (
    CLOCK_MARGIN_SECONDS,
    PermitUse,
)
from jacinthcroft_decisions.internal.traffic.target_pool import TargetPool

START_WINDOW_SECONDS = 1.0
# A permit that lives shorter than this would not reach its VM alive.
MIN_START_WINDOW_SECONDS = 0.02
_MS_PER_SECOND = 1000


class PermitIssuer:
    """One holder's permits under its lease."""

    def __init__(
        self,
        service: Service,
        held_since: float,
        incarnation: str,
        pool: TargetPool,
    ) -> None:
        """Starts when the predecessor's last runs have ended."""
        self._pool = pool
        self._cell = service.name
        self._incarnation = incarnation
        self._longest_run = longest_deadline(service)
        self._open_from = held_since + self._longest_run + CLOCK_MARGIN_SECONDS
        self._lease_until = held_since
        self._issued = 0
        self._is_closed = False

    def may_issue(self, now: float) -> bool:
        """Whether permits may be issued or renewed now."""
        if self._is_closed or now < self._open_from:
            return False
        return self._start_window(now) >= MIN_START_WINDOW_SECONDS

    def reconfigure(self, service: Service) -> None:
        """Takes over the longest deadline for permits from now on."""
        self._longest_run = longest_deadline(service)

    def note_lease(self, lease_until: float) -> None:
        """Remembers how long the holder's lease lasts."""
        self._lease_until = lease_until

    def issue(self, waiting: WaitingAsk, target: str, now: float) -> Permit:
        """Issues a permit on a free slot that the caller has found."""
        self._issued += 1
        permit_id = f'{self._incarnation}-{self._issued}'
        window = self._start_window(now)
        known = self._pool.targets[target]
        use = PermitUse(waiting.ask.vm, waiting.ask.zone, now)
        free_at = now + window + self._longest_run
        known.slots.hold(permit_id, use, free_at)
        known.concurrency.record_use(now)
        return Permit(
            id=permit_id,
            cell=waiting.ask.cell,
            target=target,
            address_host=known.target.address.host,
            address_port=known.target.address.port,
            # The VM counts from before it asked, and it waited here.
            start_within=window + now - waiting.arrived_at,
            may_be_kept=self._pool.is_roomy(now),
        )

    def renew(
        self,
        permit_id: str,
        target: str,
        now: float,
    ) -> PermitRenewal | None:
        """Prolongs an outstanding permit if the target may keep its work."""
        slots = self._pool.targets[target].slots
        use = slots.use_of(permit_id)
        if use is None or not self.may_issue(now):
            return None
        if not self._pool.may_keep(target, use, now):
            return None
        window = self._start_window(now)
        slots.renew(permit_id, now, now + window + self._longest_run)
        return PermitRenewal(permit_id, window, self._pool.is_roomy(now))

    def hand_over(self, now: float) -> CellHandover:
        """Closes for good; returns what is outstanding."""
        self._is_closed = True
        targets = tuple(
            known.build_handover(now) for known in self._pool.targets.values()
        )
        return CellHandover(self._cell, targets)

    def take_over(self, handover: CellHandover, now: float) -> None:
        """Starts at once from what the predecessor knew."""
        self._open_from = now
        for handed in handover.targets:
            known = self._pool.targets.get(handed.name)
            if known is not None:
                known.take_over(handed, now)

    def _start_window(self, now: float) -> float:
        return min(START_WINDOW_SECONDS, self._lease_until - now)


def longest_deadline(service: Service) -> float:
    """Returns the longest deadline of a service's routes, in seconds."""
    longest_ms = max((route.deadline_ms for route in service.routes), default=0)
    return longest_ms / _MS_PER_SECOND
