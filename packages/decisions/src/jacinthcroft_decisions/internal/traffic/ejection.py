"""Ejects and readmits targets within the ejection floor.

An ejected target gets no requests for a pause, and then one at a time (a
trial). The ejection floor is a share of the active targets, those that may get
new work: at least `ceil(floor * active targets)` stay in use whatever their
health.

When fewer targets are active than before, the least severe ejected ones are
readmitted at once. When the floor keeps a faulty target in use, the least
severe ejected one gets an early trial, so that it may replace the faulty one.
"""

from jacinthcroft_decisions.internal.traffic.active_targets import ActiveTargets
from jacinthcroft_decisions.internal.traffic.cell_results import (
    EjectionWithheld,
    EventSink,
    TargetEjected,
    TargetReadmitted,
)
from jacinthcroft_decisions.internal.traffic.target_health import HealthState


class Ejector:
    """Ejects and readmits the active targets of one cell."""

    def __init__(self, active_targets: ActiveTargets, emit: EventSink) -> None:
        """Starts with no target withheld; `emit` is called with each event."""
        self._active_targets = active_targets
        self._emit = emit
        self._withheld: set[str] = set()

    def is_withheld(self, target: str) -> bool:
        """Whether only the ejection floor keeps a faulty target in use."""
        return target in self._withheld

    def eject_or_withhold(self, target: str, now: float) -> None:
        """Ejects a faulty target, or keeps it if the floor requires it."""
        if not self.may_eject():
            self._withhold(target, now)
            return
        health = self._active_targets[target]
        health.eject(now)
        self.emit_ejected(target, now)

    def emit_ejected(self, target: str, now: float) -> None:
        """Emits the event that a target has been ejected."""
        health = self._active_targets[target]
        reasons = health.reasons(now)
        self._emit(TargetEjected(target, reasons, health.retry_at, now))

    def may_eject(self) -> bool:
        """Whether the floor allows one target fewer in use."""
        return (
            len(self._active_targets.in_use)
            > self._active_targets.min_in_use_count
        )

    def readmit(
        self,
        target: str,
        now: float,
        *,
        is_for_floor: bool = False,
    ) -> None:
        """Puts a target back in use."""
        self._active_targets[target].readmit(now)
        self._emit(TargetReadmitted(target, is_for_floor, now))

    def restore_floor(self, now: float) -> None:
        """Readmits targets until as many are in use as the floor requires.

        The order is that of `TargetHealth.readmission_rank`.
        """
        not_in_use = [
            name
            for name in self._active_targets
            if self._active_targets[name].state is not HealthState.IN_USE
        ]
        not_in_use.sort(key=self._readmission_rank)
        missing_count = self._active_targets.min_in_use_count - len(
            self._active_targets.in_use
        )
        for name in not_in_use[: max(0, missing_count)]:
            self.readmit(name, now, is_for_floor=True)

    def drop_recovered(self, now: float) -> None:
        """Forgets withheld targets that are no longer faulty or active."""
        self._withheld = {
            name
            for name in self._withheld.intersection(self._active_targets)
            if self._active_targets[name].scores.tripped_detectors(now)
        }

    def _withhold(self, target: str, now: float) -> None:
        ejected = self._active_targets.in_state(HealthState.EJECTED)
        if ejected:
            least_severe = min(ejected, key=self._readmission_rank)
            self._active_targets[least_severe].shorten_pause(now)
        if target not in self._withheld:
            self._withheld.add(target)
            reasons = self._active_targets[target].scores.tripped_detectors(now)
            self._emit(EjectionWithheld(target, reasons, now))

    def _readmission_rank(self, target: str) -> tuple[float, float]:
        return self._active_targets[target].readmission_rank
