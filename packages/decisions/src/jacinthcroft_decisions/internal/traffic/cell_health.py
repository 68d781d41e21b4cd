"""Decides whether a cell's targets, or the paths to them, are faulty.

A cell is the set of targets of one service, managed by one VM at a time. A
run is one request that a VM sends to a target; it needs a permit from the
cell. A path is the network between one VM, or all VMs of a zone, and a target.
Each detector scores the evidence for one kind of fault; it is tripped if its
score suffices for an ejection. An ejected target gets no requests for a pause,
and then one at a time (a trial).

The ejection floor is the least share of the active targets that stays in use.
Where several targets qualify for ejection, the most severe are ejected
first, so that the floor keeps the least severe in use.
"""

from collections.abc import Iterable
from random import Random

from jacinthcroft_decisions.internal.traffic.active_targets import ActiveTargets
from jacinthcroft_decisions.internal.traffic.cell_results import (
    EventSink,
    PathBlocked,
)
from jacinthcroft_decisions.internal.traffic.detectors import (
    DETECTORS,
    RESTART_DETECTORS,
    LatencyBaseline,
    RunSample,
)
from jacinthcroft_decisions.internal.traffic.ejection import Ejector
from jacinthcroft_decisions.internal.traffic.path_health import FaultAttribution
from jacinthcroft_decisions.internal.traffic.target_health import HealthState


class CellHealth:
    """Ejects targets and blocks paths by the runs that the VMs report."""

    def __init__(self, random: Random, emit: EventSink) -> None:
        """Starts without targets; `emit` is called with each event."""
        self.baseline = LatencyBaseline()
        self.active_targets = ActiveTargets(random)
        self._emit = emit
        self._ejector = Ejector(self.active_targets, emit)

    def is_withheld(self, target: str) -> bool:
        """Whether only the ejection floor keeps a faulty target in use."""
        return self._ejector.is_withheld(target)

    def is_path_usable(
        self, target: str, vm: str, zone: str, now: float
    ) -> bool:
        """Whether a VM may get permits for an active target.

        A VM to which fewer targets are reachable than the ejection floor
        requires is itself faulty; all its paths stay usable.
        """
        if not self.active_targets[target].paths.is_blocked(vm, zone, now):
            return True
        reachable = sum(
            not self.active_targets[name].paths.is_blocked(vm, zone, now)
            for name in self.active_targets.in_use
        )
        return reachable < self.active_targets.min_in_use_count

    def find_due_trials(self, now: float) -> tuple[str, ...]:
        """Returns the ejected targets whose pause is over."""
        return tuple(
            name
            for name in self.active_targets.in_state(HealthState.EJECTED)
            if self.active_targets[name].retry_at <= now
        )

    def find_restarting(self) -> tuple[str, ...]:
        """Returns the ejected targets whose process probably restarts."""
        return tuple(
            name
            for name in self.active_targets.in_state(HealthState.EJECTED)
            if set(RESTART_DETECTORS).intersection(
                self.active_targets[name].last_reasons
            )
        )

    def reconfigure(
        self,
        listed_targets: Iterable[str],
        active_targets: Iterable[str],
        ejection_floor: float,
        now: float,
    ) -> None:
        """Replaces the listed and active targets and the ejection floor.

        The service file names the listed targets; those that may get new work
        are active.
        """
        self.active_targets.reconfigure(
            listed_targets, active_targets, ejection_floor
        )
        self._ejector.restore_floor(now)

    def record_sample(self, target: str, sample: RunSample, now: float) -> None:
        """Adds a finished run to an active target's evidence.

        If the target is on trial, this may eject it again or readmit it.
        """
        self.active_targets.recent_vms.record(sample.vm, sample.zone, now)
        health = self.active_targets[target]
        expected_shares = self.active_targets.expected_bad_shares(target)
        was_on_trial = health.state is HealthState.TRIAL
        health.record_sample(sample, self.baseline, expected_shares, now)
        if was_on_trial and health.state is HealthState.EJECTED:
            self._ejector.emit_ejected(target, now)
        if health.state is HealthState.TRIAL and health.has_passed_trial():
            self._ejector.readmit(target, now)

    def evaluate(self, target: str, vm: str, now: float) -> None:
        """Blocks paths or ejects the target after a VM reported a run."""
        self._evaluate_path(target, vm, now)
        self._resolve_inconclusive_blocks(target, now)
        self._evaluate_targets([target], now)

    def begin_trials(self, now: float) -> tuple[str, ...]:
        """Puts the targets whose pause is over on trial; returns them."""
        due_targets = self.find_due_trials(now)
        for name in due_targets:
            self.active_targets[name].begin_trial(now)
        return due_targets

    def tick(self, now: float) -> None:
        """Drops idle VMs and paths, then evaluates all targets in use.

        The result may change without a new run, since evidence decays and
        the observations of idle VMs are dropped.
        """
        self.active_targets.recent_vms.drop_idle(now)
        for name in self.active_targets:
            self.active_targets[name].paths.drop_idle(now)
        self._ejector.drop_recovered(now)
        self._evaluate_targets(self.active_targets.in_use, now)

    def _evaluate_path(self, target: str, vm: str, now: float) -> None:
        """Blocks paths if the fault that a VM observed is not the target's."""
        health = self.active_targets[target]
        if health.state is not HealthState.IN_USE:
            return
        if not health.paths.has_enough_evidence(vm, now):
            return
        attribution = health.paths.attribute_fault_seen_by(vm)
        if not attribution.is_target_fault:
            self._block_paths(target, attribution, now)

    def _resolve_inconclusive_blocks(self, target: str, now: float) -> None:
        """Attributes the suspected fault again if a block was inconclusive.

        Once the runs of other VMs show that the target is not at fault, this
        resets the scores against it.
        """
        health = self.active_targets[target]
        if not health.paths.has_inconclusive_block:
            return
        detectors = tuple(
            name
            for name in health.scores.suspecting_detectors(now)
            if DETECTORS[name].blames_path
        )
        if detectors:
            self._attribute_fault(target, detectors, now)

    def _evaluate_targets(self, targets: Iterable[str], now: float) -> None:
        tripped = [
            name
            for name in targets
            if self.active_targets[name].state is HealthState.IN_USE
            and self.active_targets[name].scores.tripped_detectors(now)
        ]
        tripped.sort(
            key=lambda name: -self.active_targets[name].scores.severity(now)
        )
        for name in tripped:
            self._evaluate_target(name, now)

    def _evaluate_target(self, target: str, now: float) -> None:
        health = self.active_targets[target]
        detectors = health.scores.tripped_detectors(now)
        if all(DETECTORS[name].blames_path for name in detectors):
            attribution = self._attribute_fault(target, detectors, now)
            if not attribution.is_target_fault:
                return
        self._ejector.eject_or_withhold(target, now)

    def _attribute_fault(
        self,
        target: str,
        detectors: tuple[str, ...],
        now: float,
    ) -> FaultAttribution:
        """Attributes the fault that some detectors found.

        If paths are conclusively at fault, they are blocked, and the
        detectors' scores against the target are reset.
        """
        health = self.active_targets[target]
        attribution = health.paths.attribute_fault(
            detectors, health.scores.earliest_onset(detectors)
        )
        if attribution.is_conclusive and not attribution.is_target_fault:
            self._block_paths(target, attribution, now)
            health.scores.reset_to(detectors, 0, now)
        return attribution

    def _block_paths(
        self,
        target: str,
        attribution: FaultAttribution,
        now: float,
    ) -> None:
        newly_blocked = self.active_targets[target].paths.block_paths(
            attribution, now
        )
        if newly_blocked:
            self._emit(PathBlocked(target, newly_blocked, now))
