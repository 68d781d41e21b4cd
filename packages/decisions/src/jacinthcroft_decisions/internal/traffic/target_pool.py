"""The targets of a cell: how many permits each gets, and its events.

A cell is the set of targets of one service. A permit lets a VM run one request
at a time on one slot of a target. A target is cold for a while after its start,
and offers fewer slots then.

Combines the load of each target (`cell_target`) with the judgement of its
health (`cell_health`).
"""

from collections import deque
from collections.abc import Collection
from random import Random

from jacinthcroft_config import Service, Target, TargetState

from jacinthcroft_decisions.internal.traffic.cell_health import CellHealth
from jacinthcroft_decisions.internal.traffic.cell_results import (
    CellEvent,
    ColdStartNoticed,
    TargetEjected,
)
from jacinthcroft_decisions.internal.traffic.cell_target import CellTarget
from jacinthcroft_decisions.internal.traffic.detector_scores import (
    SUSPECT_SCORE,
)
from jacinthcroft_decisions.internal.traffic.detectors import (
    RESTART_DETECTORS,
    RunSample,
)
from jacinthcroft_decisions.internal.traffic.latency_baseline import (
    derive_baseline,
)
from jacinthcroft_decisions.internal.traffic.permit_messages import (
    PermitReport,
    RunOutcome,
)
from jacinthcroft_decisions.internal.traffic.slot_table import PermitUse
from jacinthcroft_decisions.internal.traffic.target_health import HealthState

# A cell has spare capacity while its targets offer at least this many times
# the slots that are taken.
_SPARE_CAPACITY_FACTOR = 2
# An idle permit is returned within this time, so a permit that is not
# returned by then is in use.
IDLE_RETURN_SECONDS = 1.25
BASELINE_UPDATE_SECONDS = 0.25
_MAX_EVENTS = 1000
# After an ejection for one of these reasons a target may be in cold start: it
# has been restarted, or it was cold unnoticed and failed under its full load.
_COLD_START_REASONS = frozenset((*RESTART_DETECTORS, 'stalls', 'slowness'))
_CONNECTION_FAILURES = frozenset((RunOutcome.CONNECT_FAILED, RunOutcome.RESET))


class TargetPool:
    """All targets of a cell.

    A target is listed while the service file names it. A target that is no
    longer listed is kept until its last slot is free.
    """

    def __init__(self, random: Random) -> None:
        """Starts without targets."""
        self.health = CellHealth(random, self._emit_event)
        self.targets: dict[str, CellTarget] = {}
        self._events: deque[CellEvent] = deque(maxlen=_MAX_EVENTS)
        self._listed_targets: dict[str, Target] = {}
        self._zones_out: Collection[str] = ()
        self._ejection_floor = 1.0
        self._baseline_updated_at: float = 0

    def is_accepting_work(self, name: str, now: float) -> bool:
        """Whether the operators and the target itself allow new requests."""
        listed = self._listed_targets.get(name)
        if listed is None or listed.state is not TargetState.ACTIVE:
            return False
        if listed.zone in self._zones_out:
            return False
        return not self.targets[name].is_draining(now)

    def compute_permit_limit(self, name: str, now: float) -> int:
        """Returns how many permits a target may have at once."""
        health = self.health.active_targets.get(name)
        if health is None or not self.is_accepting_work(name, now):
            return 0
        allowed = self.targets[name].concurrency.allowed(now)
        if health.state is HealthState.TRIAL:
            return min(1, allowed)
        return allowed if health.state is HealthState.IN_USE else 0

    def list_draining_targets(self, now: float) -> tuple[str, ...]:
        """Returns the names of the targets that said that they are draining."""
        return tuple(
            name
            for name, cell_target in self.targets.items()
            if cell_target.is_draining(now)
        )

    def has_spare_capacity(self, now: float) -> bool:
        """Whether at most half of the slots that targets offer are taken."""
        taken = sum(
            cell_target.slots.taken_count
            for cell_target in self.targets.values()
        )
        offered = sum(
            self.compute_permit_limit(name, now) for name in self.targets
        )
        return taken * _SPARE_CAPACITY_FACTOR <= offered

    def has_free_slot(self, name: str, now: float) -> bool:
        """Whether a target may have another permit."""
        return self.targets[name].slots.taken_count < self.compute_permit_limit(
            name, now
        )

    def may_keep_permit(self, name: str, use: PermitUse, now: float) -> bool:
        """Whether a VM may run its next request on the same permit."""
        health = self.health.active_targets.get(name)
        if health is None or health.state is not HealthState.IN_USE:
            return False
        if self.targets[name].slots.taken_count > self.compute_permit_limit(
            name, now
        ):
            return False
        return self.health.is_path_usable(name, use.vm, use.zone, now)

    def reconfigure(
        self,
        service: Service,
        zones_out: Collection[str],
        now: float,
    ) -> None:
        """Applies the service file; `zones_out` are the zones not in use."""
        self._zones_out = zones_out
        self._ejection_floor = service.limits.floor
        self._listed_targets = {
            target.name: target for target in service.targets
        }
        for name, target in self._listed_targets.items():
            cell_target = self.targets.get(name)
            if cell_target is None:
                self.targets[name] = CellTarget(target, service.limits, now)
            else:
                cell_target.reconfigure(target, service.limits)
        self._sync_health(now)

    def record_process_state(
        self,
        name: str,
        boot_id: str | None,
        is_draining: bool,
        now: float,
    ) -> None:
        """Records what the headers of an answer say of the target's process.

        A boot id that differs from those seen before means a restart, after
        which the target is cold.
        """
        cell_target = self.targets[name]
        if boot_id is not None and cell_target.record_boot_id(boot_id):
            cell_target.begin_cold_start()
            self._emit_event(ColdStartNoticed(name, 'restart', now))
        if is_draining and cell_target.is_current_boot_id(boot_id):
            cell_target.record_drain(now)
            self._sync_health(now)

    def record_probed_boot_id(
        self, name: str, boot_id: str, now: float
    ) -> None:
        """Hastens the trial of an ejected target that has been restarted.

        An answer to a probe is only a hint, so nothing else follows from it.
        """
        health = self.health.active_targets.get(name)
        if health is not None and self.targets[name].is_new_boot_id(boot_id):
            health.end_pause_after_restart(now)

    def record_run(
        self,
        report: PermitReport,
        use: PermitUse,
        now: float,
    ) -> None:
        """Records one finished run."""
        name = report.target
        cell_target = self.targets[name]
        sample = RunSample(
            vm=use.vm,
            zone=use.zone,
            outcome=report.outcome,
            latency=report.latency,
            granted_at=use.granted_at,
            is_cold=cell_target.concurrency.is_cold,
            may_overlap_cold_start=(
                cell_target.concurrency.may_overlap_cold_start(use.granted_at)
            ),
        )
        cell_target.record_run(report, now)
        if self.health.active_targets.get(name) is None:
            return
        self.health.record_sample(name, sample, now)
        if report.outcome in _CONNECTION_FAILURES:
            self._detect_restart(name, now)
        self._detect_cold_start(name, now)
        self.health.evaluate(name, use.vm, now)

    def tick(self, now: float) -> None:
        """Frees expired slots; updates the latency baseline and the health."""
        for name, cell_target in tuple(self.targets.items()):
            cell_target.slots.free_expired_slots(now)
            if (
                name not in self._listed_targets
                and not cell_target.slots.taken_count
            ):
                self.targets.pop(name)
        if now - self._baseline_updated_at >= BASELINE_UPDATE_SECONDS:
            self._baseline_updated_at = now
            latencies = (each.latencies for each in self.targets.values())
            self.health.baseline = derive_baseline(latencies)
            self._sync_health(now)
            self.health.tick(now)
            for active_name in tuple(self.health.active_targets):
                self._record_silent_runs(active_name, now)

    def take_events(self) -> tuple[CellEvent, ...]:
        """Returns the events since the last call."""
        events = tuple(self._events)
        self._events.clear()
        return events

    def _detect_restart(self, name: str, now: float) -> None:
        """Turns a target cold when its connections fail.

        A restarted process may be back before the failures suffice for an
        ejection.
        """
        cell_target = self.targets[name]
        health = self.health.active_targets[name]
        if health.state is not HealthState.IN_USE:
            return
        if health.scores.total_score(RESTART_DETECTORS, now) < SUSPECT_SCORE:
            return
        signs = tuple(
            sign
            for sign in RESTART_DETECTORS
            if health.scores.total_score((sign,), now)
        )
        onset = health.scores.earliest_onset(signs)
        if not health.paths.attribute_fault(signs, onset).is_target_fault:
            return
        if not cell_target.concurrency.is_cold:
            self._emit_event(ColdStartNoticed(name, 'connections', now))
        cell_target.begin_cold_start()

    def _detect_cold_start(self, name: str, now: float) -> None:
        """Turns a warm target cold when its own latency has risen sharply."""
        cell_target = self.targets[name]
        health = self.health.active_targets.get(name)
        if health is None or cell_target.concurrency.is_cold:
            return
        if 'slowness' not in health.scores.tripped_detectors(now):
            return
        has_stepped_up = cell_target.latencies.has_stepped_up
        onset = health.scores.earliest_onset(('slowness',))
        verdict = health.paths.attribute_fault(('slowness',), onset)
        # A needless cold start costs little, so the reports of a single VM
        # suffice for it.
        if has_stepped_up and (
            verdict.is_target_fault or not verdict.is_conclusive
        ):
            cell_target.begin_cold_start()
            # The target stays suspect, and since it offers fewer slots while
            # it is cold, others are preferred for a while.
            health.scores.reset_to(('slowness',), SUSPECT_SCORE, now)
            self._emit_event(ColdStartNoticed(name, 'latency', now))

    def _record_silent_runs(self, name: str, now: float) -> None:
        """Counts unreported runs as stalled, before their deadlines pass."""
        max_silence = IDLE_RETURN_SECONDS + self.health.baseline.stall_seconds
        for use in self.targets[name].slots.collect_silent_uses(
            now, max_silence
        ):
            sample = RunSample(
                vm=use.vm,
                zone=use.zone,
                outcome=RunOutcome.STALLED,
                latency=now - use.granted_at,
                granted_at=use.granted_at,
            )
            self.health.record_sample(name, sample, now)
            self.health.evaluate(name, use.vm, now)

    def _sync_health(self, now: float) -> None:
        active_names = {
            name
            for name in self._listed_targets
            if self.is_accepting_work(name, now)
        }
        for name in active_names.difference(self.health.active_targets):
            # The target may have been restarted while it was not active.
            self.targets[name].begin_cold_start()
        self.health.reconfigure(
            self._listed_targets, active_names, self._ejection_floor, now
        )

    def _emit_event(self, event: CellEvent) -> None:
        self._events.append(event)
        if not isinstance(event, TargetEjected):
            return
        if _COLD_START_REASONS.intersection(event.reasons):
            self.targets[event.target].begin_cold_start()
