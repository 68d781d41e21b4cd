"""One target of a cell: its slots, concurrency limit and process state.

A cell is the set of targets of one service, and its holder the VM that manages
it. Each permit to send requests to a target takes a slot. In its cold start,
just after its process has started, a target gets few requests. The boot id in
its answers identifies the process.
"""

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

# A target gets no requests for this long after it reported that it drains.
DRAIN_RETENTION_SECONDS = 30.0
# Late answers may carry the boot id of an earlier process. They must not look
# like a restart, so this many boot ids are kept.
_MAX_BOOT_IDS = 8


class CellTarget:
    """The load and the process state of one target."""

    def __init__(
        self,
        target: Target,
        limits: TargetLimits,
        now: float,
    ) -> None:
        """Starts cold, since the target may just have started."""
        self.slots = SlotTable()
        self.concurrency = ConcurrencyLimit(limits, now)
        self.latencies = LatencyStats()
        self._target = target
        self._boot_ids: tuple[str, ...] = ()
        self._draining_until: float = 0

    @property
    def target(self) -> Target:
        """The target as the service file describes it."""
        return self._target

    def is_draining(self, now: float) -> bool:
        """Whether the target recently reported that it drains."""
        return now < self._draining_until

    def reconfigure(self, target: Target, limits: TargetLimits) -> None:
        """Replaces the target and its limits.

        A new address begins a cold start, since it is another process.
        """
        self.concurrency.reconfigure(limits)
        if target.address != self._target.address:
            self.begin_cold_start()
        self._target = target

    def begin_cold_start(self) -> None:
        """Begins the cold start again."""
        self.concurrency.begin_cold_start()
        self.latencies.reset()

    def build_handover(self, now: float) -> TargetHandover:
        """Returns the state for the cell's next holder."""
        return TargetHandover(
            name=self._target.name,
            is_warm=not self.concurrency.is_cold,
            boot_ids=self._boot_ids,
            held=self.slots.list_outstanding_permits(now),
            is_draining=self.is_draining(now),
        )

    def take_over(self, handover: TargetHandover, now: float) -> None:
        """Restores the state from the cell's former holder."""
        self._boot_ids = handover.boot_ids
        if handover.is_warm:
            self.concurrency.mark_warm()
        if handover.is_draining:
            self.record_drain(now)
        for slot in handover.held:
            use = PermitUse(slot.vm, slot.zone, now)
            self.slots.add_permit(slot.permit_id, use, now + slot.free_in)

    def record_drain(self, now: float) -> None:
        """Records that the target reported that it drains."""
        self._draining_until = now + DRAIN_RETENTION_SECONDS

    def is_current_boot_id(self, boot_id: str | None) -> bool:
        """Whether an answer is from the latest process, or has no boot id."""
        return boot_id is None or boot_id in self._boot_ids[-1:]

    def is_new_boot_id(self, boot_id: str) -> bool:
        """Whether a boot id differs from those known; false if none is."""
        return bool(self._boot_ids) and boot_id not in self._boot_ids

    def record_boot_id(self, boot_id: str) -> bool:
        """Records a boot id; returns whether the target has restarted."""
        if boot_id in self._boot_ids:
            return False
        is_restart = bool(self._boot_ids)
        seen_boot_ids = (*self._boot_ids, boot_id)
        self._boot_ids = seen_boot_ids[-_MAX_BOOT_IDS:]
        if is_restart:
            # The process that drained has ended.
            self._draining_until = 0
        return is_restart

    def record_run(self, report: PermitReport, now: float) -> None:
        """Adjusts the limit and the latencies by one finished request."""
        if report.outcome is RunOutcome.SHED:
            self.concurrency.record_shed(now)
        elif report.outcome is RunOutcome.ANSWERED:
            self.concurrency.record_answer(report.latency, now)
            self.latencies.add(report.latency)
