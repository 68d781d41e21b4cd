"""The targets of a cell: who gets a slot of which, and what it tells.

Joins what is known of each target's load (`cell_target`) with the judgement
of their health (`cell_health`).
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

# A cell has room while this many times the slots taken are in use at most.
_ROOMY_FACTOR = 2
# An idle permit is back within this time, so one that is not is in use.
OVERDUE_SECONDS = 1.25
NORM_INTERVAL_SECONDS = 0.25
_MAX_EVENTS = 1000
# After these a target may be in cold start: started anew, or cold without a
# sign and fallen over under its full load.
_COLD_SIGNS = frozenset((*RESTART_DETECTORS, 'stalls', 'slowness'))
_BROKEN_OFF = frozenset((RunOutcome.CONNECT_FAILED, RunOutcome.RESET))


class TargetPool:
    """All targets of a cell."""

    def __init__(self, random: Random) -> None:
        """Starts without targets."""
        self.health = CellHealth(random, self._tell)
        self.targets: dict[str, CellTarget] = {}
        self._events: deque[CellEvent] = deque(maxlen=_MAX_EVENTS)
        self._listed: dict[str, Target] = {}
        self._zones_out: Collection[str] = ()
        self._floor = 1.0
        self._norm_at: float = 0

    def is_open(self, name: str, now: float) -> bool:
        """Whether the operators and the target itself want new work."""
        listed = self._listed.get(name)
        if listed is None or listed.state is not TargetState.ACTIVE:
            return False
        if listed.zone in self._zones_out:
            return False
        return not self.targets[name].is_draining(now)

    def allowed(self, name: str, now: float) -> int:
        """Returns the most permits that a target gets at once."""
        health = self.health.active_targets.get(name)
        if health is None or not self.is_open(name, now):
            return 0
        allowed = self.targets[name].concurrency.allowed(now)
        if health.state is HealthState.TRIAL:
            return min(1, allowed)
        return allowed if health.state is HealthState.IN_USE else 0

    def draining(self, now: float) -> tuple[str, ...]:
        """Returns the targets that asked for no new work."""
        return tuple(
            name
            for name, known in self.targets.items()
            if known.is_draining(now)
        )

    def is_roomy(self, now: float) -> bool:
        """Whether at most half of the slots in use are taken."""
        running = sum(known.slots.running for known in self.targets.values())
        allowed = sum(self.allowed(name, now) for name in self.targets)
        return running * _ROOMY_FACTOR <= allowed

    def has_slot(self, name: str, now: float) -> bool:
        """Whether a target may get another permit."""
        return self.targets[name].slots.running < self.allowed(name, now)

    def may_keep(self, name: str, use: PermitUse, now: float) -> bool:
        """Whether a VM may run its next request on the same permit."""
        health = self.health.active_targets.get(name)
        if health is None or health.state is not HealthState.IN_USE:
            return False
        if self.targets[name].slots.running > self.allowed(name, now):
            return False
        return self.health.is_path_usable(name, use.vm, use.zone, now)

    def reconfigure(
        self,
        service: Service,
        zones_out: Collection[str],
        now: float,
    ) -> None:
        """Takes over the service file; what is still in use stays known."""
        self._zones_out = zones_out
        self._floor = service.limits.floor
        self._listed = {target.name: target for target in service.targets}
        for name, target in self._listed.items():
            known = self.targets.get(name)
            if known is None:
                self.targets[name] = CellTarget(target, service.limits, now)
            else:
                known.reconfigure(target, service.limits)
        self._sync_health(now)

    def note_signs(
        self,
        name: str,
        boot_id: str | None,
        is_draining: bool,
        now: float,
    ) -> None:
        """Takes in what an answer says of the target's process."""
        known = self.targets[name]
        if boot_id is not None and known.record_boot_id(boot_id):
            known.begin_cold_start()
            self._tell(ColdStartNoticed(name, 'restart', now))
        if is_draining and known.is_current_boot_id(boot_id):
            known.record_drain(now)
            self._sync_health(now)

    def note_probed_boot_id(self, name: str, boot_id: str, now: float) -> None:
        """Tries an ejected target soon that says it has been restarted.

        A probe's word is a hint, so nothing else follows from it.
        """
        health = self.health.active_targets.get(name)
        if health is not None and self.targets[name].is_new_boot_id(boot_id):
            health.end_pause_after_restart(now)

    def observe(
        self,
        report: PermitReport,
        use: PermitUse,
        now: float,
    ) -> None:
        """Takes in one finished use of a permit."""
        name = report.target
        known = self.targets[name]
        sample = RunSample(
            vm=use.vm,
            zone=use.zone,
            outcome=report.outcome,
            latency=report.latency,
            granted_at=use.granted_at,
            is_cold=known.concurrency.is_cold,
            may_overlap_cold_start=known.concurrency.may_overlap_cold_start(
                use.granted_at
            ),
        )
        known.record_run(report, now)
        if self.health.active_targets.get(name) is None:
            return
        self.health.record_sample(name, sample, now)
        if report.outcome in _BROKEN_OFF:
            self._notice_restart(name, now)
        self._notice_cold_start(name, now)
        self.health.evaluate(name, use.vm, now)

    def tick(self, now: float) -> None:
        """Frees overdue slots and brings what is usual up to date."""
        for name, known in tuple(self.targets.items()):
            known.slots.release_overdue(now)
            if name not in self._listed and not known.slots.running:
                self.targets.pop(name)
        if now - self._norm_at >= NORM_INTERVAL_SECONDS:
            self._norm_at = now
            tracks = (each.latencies for each in self.targets.values())
            self.health.baseline = derive_baseline(tracks)
            self._sync_health(now)
            self.health.tick(now)
            for active in tuple(self.health.active_targets):
                self._note_overdue(active, now)

    def drain_events(self) -> tuple[CellEvent, ...]:
        """Returns what happened since the last call."""
        events = tuple(self._events)
        self._events.clear()
        return events

    def _notice_restart(self, name: str, now: float) -> None:
        """Turns a target cold when its connections break off.

        A process may be back before that suffices for an ejection.
        """
        known = self.targets[name]
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
        if not known.concurrency.is_cold:
            self._tell(ColdStartNoticed(name, 'connections', now))
        known.begin_cold_start()

    def _notice_cold_start(self, name: str, now: float) -> None:
        """Turns a warm target cold when its own latency steps up."""
        known = self.targets[name]
        health = self.health.active_targets.get(name)
        if health is None or known.concurrency.is_cold:
            return
        if 'slowness' not in health.scores.tripped_detectors(now):
            return
        is_step = known.latencies.has_stepped_up
        onset = health.scores.earliest_onset(('slowness',))
        verdict = health.paths.attribute_fault(('slowness',), onset)
        # A ramp costs little: one VM that is alone to speak suffices for it.
        if is_step and (verdict.is_target_fault or not verdict.is_conclusive):
            known.begin_cold_start()
            # It stays suspect, so that others are preferred for a while.
            health.scores.reset_to(('slowness',), SUSPECT_SCORE, now)
            self._tell(ColdStartNoticed(name, 'latency', now))

    def _note_overdue(self, name: str, now: float) -> None:
        """Counts runs that stall before their deadline tells."""
        longest = OVERDUE_SECONDS + self.health.baseline.stall_seconds
        for use in self.targets[name].slots.take_overdue(now, longest):
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
        active = {name for name in self._listed if self.is_open(name, now)}
        for name in active.difference(self.health.active_targets):
            # Whatever happened meanwhile, it may have been started anew.
            self.targets[name].begin_cold_start()
        self.health.reconfigure(self._listed, active, self._floor, now)

    def _tell(self, event: CellEvent) -> None:
        self._events.append(event)
        if not isinstance(event, TargetEjected):
            return
        if _COLD_SIGNS.intersection(event.reasons):
            self.targets[event.target].begin_cold_start()
