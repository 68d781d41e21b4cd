"""Ejects and readmits targets above the ejection floor.

At least `ceil(floor * active targets)` stay in use whatever their health.
When fewer targets are active than before, the least bad ejected ones return
at once; when a sick target is kept for the floor's sake, the least bad
ejected one is tried early, so that it may take the place.
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
    """Changes of standing, within the floor."""

    def __init__(self, active: ActiveTargets, tell: EventSink) -> None:
        """Works on a roster; `tell` gets the events."""
        self._active = active
        self._tell = tell
        self._withheld: set[str] = set()

    def is_withheld(self, target: str) -> bool:
        """Whether a sick target is kept only for the floor's sake."""
        return target in self._withheld

    def eject_or_withhold(self, target: str, now: float) -> None:
        """Ejects a tripped target if the floor allows it."""
        if not self.may_eject():
            self._withhold(target, now)
            return
        health = self._active[target]
        health.eject(now)
        self.tell(target, now)

    def tell(self, target: str, now: float) -> None:
        """Tells that a target gets no ordinary work, and why."""
        health = self._active[target]
        reasons = health.reasons(now)
        self._tell(TargetEjected(target, reasons, health.retry_at, now))

    def may_eject(self) -> bool:
        """Whether one target less in use is still enough."""
        return len(self._active.in_use) > self._active.min_in_use_count

    def readmit(
        self,
        target: str,
        now: float,
        *,
        is_for_floor: bool = False,
    ) -> None:
        """Puts a target back in use."""
        self._active[target].readmit(now)
        self._tell(TargetReadmitted(target, is_for_floor, now))

    def restore_floor(self, now: float) -> None:
        """Readmits the least bad targets while too few are in use."""
        out = [
            name
            for name in self._active
            if self._active[name].state is not HealthState.IN_USE
        ]
        out.sort(key=self._rank_for_return)
        missing = self._active.min_in_use_count - len(self._active.in_use)
        for name in out[: max(0, missing)]:
            self.readmit(name, now, is_for_floor=True)

    def forget_withheld(self, now: float) -> None:
        """Drops the targets that are no longer sick or no longer active."""
        self._withheld = {
            name
            for name in self._withheld.intersection(self._active)
            if self._active[name].scores.tripped_detectors(now)
        }

    def _withhold(self, target: str, now: float) -> None:
        ejected = self._active.in_state(HealthState.EJECTED)
        if ejected:
            least_bad = min(ejected, key=self._rank_for_return)
            self._active[least_bad].shorten_pause(now)
        if target not in self._withheld:
            self._withheld.add(target)
            reasons = self._active[target].scores.tripped_detectors(now)
            self._tell(EjectionWithheld(target, reasons, now))

    def _rank_for_return(self, target: str) -> tuple[float, float]:
        return self._active[target].readmission_rank
