"""One target of a cell: its slots, its ramp and the signs of a cold start."""

from jacinthcroft_config import Target, TargetLimits

from jacinthcroft_decisions.internal.traffic.concurrency_limit import (
    ConcurrencyLimit,
)
from jacinthcroft_decisions.internal.traffic.latency_stats import LatencyStats
from jacinthcroft_decisions.internal.traffic.permit_messages import (
    PermitReport,
    RunOutcome,
    TargetHandover,
)
from jacinthcroft_decisions.internal.traffic.slot_table import (
    PermitUse,
    SlotTable,
)

# A target that said that it drains gets nothing for this long.
DRAIN_RETENTION_SECONDS = 30.0
# Late answers may carry the boot id of a process that is gone.
_BOOT_IDS_REMEMBERED = 8


class CellTarget:
    """What the cell's holder knows of a target's load."""

    def __init__(
        self,
        target: Target,
        limits: TargetLimits,
        now: float,
    ) -> None:
        """Starts cold: a target seen for the first time may be."""
        self.slots = SlotTable()
        self.concurrency = ConcurrencyLimit(limits, now)
        self.latencies = LatencyStats()
        self._target = target
        self._boot_ids: tuple[str, ...] = ()
        self._drained_until: float = 0

    @property
    def target(self) -> Target:
        """What the service file says."""
        return self._target

    def is_draining(self, now: float) -> bool:
        """Whether the target asked for no new work."""
        return now < self._drained_until

    def reconfigure(self, target: Target, limits: TargetLimits) -> None:
        """Takes over the file; another address is another process."""
        self.concurrency.reconfigure(limits)
        if target.address != self._target.address:
            self.begin_cold_start()
        self._target = target

    def begin_cold_start(self) -> None:
        """Begins the cold start again."""
        self.concurrency.begin_cold_start()
        self.latencies.reset()

    def handover(self, now: float) -> TargetHandover:
        """Returns what the next holder needs to know."""
        return TargetHandover(
            name=self._target.name,
            is_warm=not self.concurrency.is_cold,
            boot_ids=self._boot_ids,
            held=self.slots.held(now),
            is_draining=self.is_draining(now),
        )

    def take_over(self, handover: TargetHandover, now: float) -> None:
        """Takes over what the former holder knew."""
        self._boot_ids = handover.boot_ids
        if handover.is_warm:
            self.concurrency.mark_warm()
        if handover.is_draining:
            self.record_drain(now)
        for held in handover.held:
            use = PermitUse(held.vm, held.zone, now)
            self.slots.hold(held.permit_id, use, now + held.free_in)

    def record_drain(self, now: float) -> None:
        """Remembers that the target asked for no new work."""
        self._drained_until = now + DRAIN_RETENTION_SECONDS

    def is_current_boot_id(self, boot_id: str | None) -> bool:
        """Whether an answer comes from the process that runs now."""
        return boot_id is None or boot_id in self._boot_ids[-1:]

    def is_new_boot_id(self, boot_id: str) -> bool:
        """Whether a boot id is another than all those seen."""
        return bool(self._boot_ids) and boot_id not in self._boot_ids

    def record_boot_id(self, boot_id: str) -> bool:
        """Remembers a boot id; returns whether the target restarted."""
        if boot_id in self._boot_ids:
            return False
        is_restart = bool(self._boot_ids)
        known = (*self._boot_ids, boot_id)
        self._boot_ids = known[-_BOOT_IDS_REMEMBERED:]
        if is_restart:
            # The process that drained is gone.
            self._drained_until = 0
        return is_restart

    def record_load(self, report: PermitReport, now: float) -> None:
        """Moves the ramp by one finished use."""
        if report.outcome is RunOutcome.SHED:
            self.concurrency.record_shed(now)
        elif report.outcome is RunOutcome.ANSWERED:
            self.concurrency.record_answer(report.latency, now)
            self.latencies.add(report.latency)
