"""One target's evidence and standing in its cell.

A target is in use, ejected, or on trial: after the backoff it gets one
request at a time, and returns to use after a few good answers in a row.
"""

import enum
from collections.abc import Mapping
from random import Random

from jacinthcroft_decisions.internal.traffic.active_vms import ActiveVms
from jacinthcroft_decisions.internal.traffic.backoff import (
    FIRST_BACKOFF_SECONDS,
    MIN_CALM_SECONDS,
    Backoff,
)
from jacinthcroft_decisions.internal.traffic.detector_scores import (
    DetectorScores,
)
from jacinthcroft_decisions.internal.traffic.detectors import (
    DETECTORS,
    LatencyBaseline,
    RunSample,
    Verdict,
)
from jacinthcroft_decisions.internal.traffic.path_health import PathHealth

TRIAL_ANSWERS = 3


class HealthState(enum.Enum):
    """What a target may get."""

    IN_USE = 'in-use'
    EJECTED = 'ejected'
    TRIAL = 'trial'


class TargetHealth:
    """What speaks against one target, and what follows."""

    def __init__(self, random: Random, active_vms: ActiveVms) -> None:
        """Starts in use with nothing against the target."""
        self.paths = PathHealth(random, active_vms)
        self.scores = DetectorScores()
        self._random = random
        self._state = HealthState.IN_USE
        self._state_since: float = 0
        self._backoff = Backoff()
        self._retry_at: float = 0
        self._restart_met_at = -MIN_CALM_SECONDS
        self._trial_answers = 0
        self._reasons: tuple[str, ...] = ()
        self._severity_when_ejected: float = 0

    @property
    def state(self) -> HealthState:
        """Whether the target is in use."""
        return self._state

    @property
    def retry_at(self) -> float:
        """When an ejected target is tried again."""
        return self._retry_at

    @property
    def readmission_rank(self) -> tuple[float, float]:
        """Orders ejected targets: the least bad comes first."""
        return -self._trial_answers, self._severity_when_ejected

    @property
    def last_reasons(self) -> tuple[str, ...]:
        """The detectors for which the target was last ejected."""
        return self._reasons

    def reasons(self, now: float) -> tuple[str, ...]:
        """Returns the detectors that speak against the target."""
        if self._state is HealthState.IN_USE:
            return self.scores.suspecting_detectors(now)
        return self._reasons

    def record_sample(
        self,
        sample: RunSample,
        baseline: LatencyBaseline,
        usual: Mapping[str, float],
        now: float,
    ) -> None:
        """Takes in one finished use."""
        verdicts: Mapping[str, Verdict] = {
            name: sign.judge(sample, baseline)
            for name, sign in DETECTORS.items()
        }
        if self._state is not HealthState.IN_USE:
            self._record_trial_sample(sample, verdicts, now)
            return
        of_path = {
            name: is_bad
            for name, is_bad in verdicts.items()
            if DETECTORS[name].blames_path and is_bad is not None
        }
        is_blocked = self.paths.is_blocked(sample.vm, sample.zone, now)
        if of_path:
            self.paths.record(
                sample.vm,
                sample.zone,
                verdicts=of_path,
                usual_share=max(usual[name] for name in of_path),
                now=now,
            )
        if is_blocked:
            # What a blocked path still brings says nothing of the target.
            verdicts = {**verdicts, **dict.fromkeys(of_path)}
        self.scores.update(verdicts, usual, now)

    def eject(self, now: float) -> None:
        """Takes the target out of use, for longer each time."""
        self._reasons = self.reasons(now)
        self._severity_when_ejected = self.scores.severity(now)
        self._retry_at = now + self._backoff.next_pause(now, self._random)
        self._enter_state(HealthState.EJECTED, now)

    def postpone_trial(self, now: float) -> None:
        """Waits for another pause of the same length."""
        self._retry_at = now + self._backoff.pause

    def shorten_pause(self, now: float) -> None:
        """Cuts the pause short: the target may be needed."""
        self._retry_at = min(self._retry_at, now + FIRST_BACKOFF_SECONDS)

    def end_pause_after_restart(self, now: float) -> None:
        """Ends the pause: the process that was at fault is gone.

        What restarts more often than this allows is flapping.
        """
        if now - self._restart_met_at >= MIN_CALM_SECONDS:
            self._restart_met_at = now
            self._retry_at = min(self._retry_at, now)

    def begin_trial(self, now: float) -> None:
        """Allows one request at a time."""
        self._enter_state(HealthState.TRIAL, now)

    def readmit(self, now: float) -> None:
        """Puts the target back in use with nothing against it."""
        self._backoff.resume(now)
        self._enter_state(HealthState.IN_USE, now)

    def has_passed_trial(self) -> bool:
        """Whether enough trial requests went well."""
        return self._trial_answers >= TRIAL_ANSWERS

    def _record_trial_sample(
        self,
        sample: RunSample,
        verdicts: Mapping[str, Verdict],
        now: float,
    ) -> None:
        is_trial = self._state is HealthState.TRIAL
        if not is_trial or sample.granted_at < self._state_since:
            # A run from before the ejection or the trial proves nothing.
            return
        if any(verdicts.values()):
            self._reasons = tuple(
                name for name, is_bad in verdicts.items() if is_bad
            )
            self._retry_at = now + self._backoff.next_pause(now, self._random)
            self._enter_state(HealthState.EJECTED, now)
        elif False in verdicts.values():
            self._trial_answers += 1

    def _enter_state(self, state: HealthState, now: float) -> None:
        self._state = state
        self._state_since = now
        self._trial_answers = 0
        self.paths.reset()
        self.scores.clear(now)
