"""The one judge of a cell's targets: is a target or a path to it at fault?

Worse targets are judged before better ones, so that the floor (`ejection`)
keeps the least bad.
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
    """Draws the conclusions from what the VMs report."""

    def __init__(self, random: Random, tell: EventSink) -> None:
        """Starts without targets; `tell` gets the events."""
        self.baseline = LatencyBaseline()
        self.active = ActiveTargets(random)
        self._tell = tell
        self._ejector = Ejector(self.active, tell)

    def is_withheld(self, target: str) -> bool:
        """Whether a sick target is kept only for the floor's sake."""
        return self._ejector.is_withheld(target)

    def is_path_usable(
        self, target: str, vm: str, zone: str, now: float
    ) -> bool:
        """Whether a VM's path to an active target is not at fault.

        A VM that fails to reach more targets than the floor lets go is
        itself at fault, and keeps them all.
        """
        if not self.active[target].paths.is_blocked(vm, zone, now):
            return True
        reachable = sum(
            not self.active[name].paths.is_blocked(vm, zone, now)
            for name in self.active.in_use
        )
        return reachable < self.active.min_in_use_count

    def due_trials(self, now: float) -> tuple[str, ...]:
        """Returns the ejected targets whose pause is over."""
        return tuple(
            name
            for name in self.active.in_state(HealthState.EJECTED)
            if self.active[name].retry_at <= now
        )

    def restarting(self) -> tuple[str, ...]:
        """Returns the ejected targets that are probably being restarted."""
        return tuple(
            name
            for name in self.active.in_state(HealthState.EJECTED)
            if set(RESTART_DETECTORS).intersection(
                self.active[name].last_reasons
            )
        )

    def reconfigure(
        self,
        listed: Iterable[str],
        active: Iterable[str],
        floor: float,
        now: float,
    ) -> None:
        """Takes over which targets exist, and which of them are active."""
        self.active.reconfigure(listed, active, floor)
        self._ejector.restore_floor(now)

    def record_sample(self, target: str, sample: RunSample, now: float) -> None:
        """Takes in a finished use of an active target."""
        self.active.active_vms.note(sample.vm, sample.zone, now)
        health = self.active[target]
        usual = self.active.usual_shares(target)
        was_on_trial = health.state is HealthState.TRIAL
        health.record_sample(sample, self.baseline, usual, now)
        if was_on_trial and health.state is HealthState.EJECTED:
            self._ejector.tell(target, now)
        if health.state is HealthState.TRIAL and health.has_passed_trial():
            self._ejector.readmit(target, now)

    def evaluate(self, target: str, vm: str, now: float) -> None:
        """Draws the conclusions from what a VM reported of a target."""
        self._judge_path(target, vm, now)
        self._clear_doubt(target, now)
        self._judge([target], now)

    def begin_trials(self, now: float) -> tuple[str, ...]:
        """Puts the targets that are due on trial; returns them."""
        due = self.due_trials(now)
        for name in due:
            self.active[name].begin_trial(now)
        return due

    def tick(self, now: float) -> None:
        """Judges again, since evidence fades and paths are forgotten."""
        self.active.active_vms.forget_old(now)
        for name in self.active:
            self.active[name].paths.forget_old(now)
        self._ejector.forget_withheld(now)
        self._judge(self.active.in_use, now)

    def _judge_path(self, target: str, vm: str, now: float) -> None:
        """Blocks a VM's own path when the rest sees no fault."""
        health = self.active[target]
        if health.state is not HealthState.IN_USE:
            return
        if not health.paths.has_tripped(vm, now):
            return
        verdict = health.paths.attribute_fault_seen_by(vm)
        if not verdict.is_target_fault:
            self._block_paths(target, verdict, now)

    def _clear_doubt(self, target: str, now: float) -> None:
        """Drops what a path's fault left, once others clear the target."""
        health = self.active[target]
        if not health.paths.has_inconclusive_block:
            return
        names = tuple(
            name
            for name in health.scores.suspecting_detectors(now)
            if DETECTORS[name].blames_path
        )
        if names:
            self._blame_paths(target, names, now)

    def _judge(self, names: Iterable[str], now: float) -> None:
        tripped = [
            name
            for name in names
            if self.active[name].state is HealthState.IN_USE
            and self.active[name].scores.tripped_detectors(now)
        ]
        tripped.sort(key=lambda name: -self.active[name].scores.severity(now))
        for name in tripped:
            self._judge_target(name, now)

    def _judge_target(self, target: str, now: float) -> None:
        health = self.active[target]
        names = health.scores.tripped_detectors(now)
        if all(DETECTORS[name].blames_path for name in names):
            verdict = self._blame_paths(target, names, now)
            if not verdict.is_target_fault:
                return
        self._ejector.eject_or_withhold(target, now)

    def _blame_paths(
        self,
        target: str,
        names: tuple[str, ...],
        now: float,
    ) -> FaultAttribution:
        """Judges by all VMs' signs; what a path surely caused is dropped."""
        health = self.active[target]
        verdict = health.paths.attribute_fault(
            names, health.scores.earliest_onset(names)
        )
        if verdict.is_conclusive and not verdict.is_target_fault:
            self._block_paths(target, verdict, now)
            health.scores.reset_to(names, 0, now)
        return verdict

    def _block_paths(
        self,
        target: str,
        verdict: FaultAttribution,
        now: float,
    ) -> None:
        paths = self.active[target].paths.block_paths(verdict, now)
        if paths:
            self._tell(PathBlocked(target, paths, now))
