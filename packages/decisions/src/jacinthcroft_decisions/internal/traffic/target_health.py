"""The health state of one target and the evidence behind it.

A faulty target is ejected for a pause that grows with each ejection. It is
then on trial: it gets one request at a time, and is readmitted after a few
good answers in a row. A run is one request that a VM sends to the target on a
permit. Each detector looks for one kind of fault in the runs.
"""

import enum
from collections.abc import Mapping
from random import Random

from jacinthcroft_decisions.internal.traffic.backoff import (
    MIN_BACKOFF_SECONDS,
    MIN_STABLE_SECONDS,
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
from jacinthcroft_decisions.internal.traffic.recent_vms import RecentVms

# A trial is passed with this many good answers in a row.
REQUIRED_TRIAL_ANSWERS = 3


class HealthState(enum.Enum):
    """What a target gets: requests as usual, none, or one at a time."""

    IN_USE = 'in-use'
    EJECTED = 'ejected'
    TRIAL = 'trial'


class TargetHealth:
    """The detectors' scores, the paths and the health state of a target."""

    def __init__(self, random: Random, recent_vms: RecentVms) -> None:
        """Starts in use without evidence against the target."""
        self.paths = PathHealth(random, recent_vms)
        self.scores = DetectorScores()
        self._random = random
        self._state = HealthState.IN_USE
        self._state_since: float = 0
        self._backoff = Backoff()
        self._retry_at: float = 0
        self._pause_ended_by_restart_at = -MIN_STABLE_SECONDS
        self._good_trial_answers = 0
        self._last_reasons: tuple[str, ...] = ()
        self._severity_when_ejected: float = 0

    @property
    def state(self) -> HealthState:
        """Whether the target is in use, ejected or on trial."""
        return self._state

    @property
    def retry_at(self) -> float:
        """When the trial of an ejected target begins."""
        return self._retry_at

    @property
    def readmission_rank(self) -> tuple[float, float]:
        """The sort key for the order of readmission.

        Targets with more good answers on trial come first, and among equal
        ones the target whose ejection was less severe.
        """
        return -self._good_trial_answers, self._severity_when_ejected

    @property
    def last_reasons(self) -> tuple[str, ...]:
        """The detectors for which the target was last ejected."""
        return self._last_reasons

    def reasons(self, now: float) -> tuple[str, ...]:
        """Returns the detectors that suspect the target or ejected it."""
        if self._state is HealthState.IN_USE:
            return self.scores.suspecting_detectors(now)
        return self._last_reasons

    def record_sample(
        self,
        sample: RunSample,
        baseline: LatencyBaseline,
        expected_bad_shares: Mapping[str, float],
        now: float,
    ) -> None:
        """Adds the detectors' verdicts on one finished run.

        `expected_bad_shares` maps each detector to the share of bad samples
        that a healthy target would have.
        """
        verdicts: Mapping[str, Verdict] = {
            name: detector.classify(sample, baseline)
            for name, detector in DETECTORS.items()
        }
        if self._state is not HealthState.IN_USE:
            self._record_trial_sample(sample, verdicts, now)
            return
        path_verdicts = {
            name: is_bad
            for name, is_bad in verdicts.items()
            if DETECTORS[name].blames_path and is_bad is not None
        }
        is_blocked = self.paths.is_blocked(sample.vm, sample.zone, now)
        if path_verdicts:
            self.paths.record(
                sample.vm,
                sample.zone,
                verdicts=path_verdicts,
                expected_bad_share=max(
                    expected_bad_shares[name] for name in path_verdicts
                ),
                now=now,
            )
        if is_blocked:
            # A run that ends on a blocked path is no evidence on the target.
            verdicts = {**verdicts, **dict.fromkeys(path_verdicts)}
        self.scores.update(verdicts, expected_bad_shares, now)

    def eject(self, now: float) -> None:
        """Takes the target out of use for a pause that grows each time."""
        self._last_reasons = self.reasons(now)
        self._severity_when_ejected = self.scores.severity(now)
        self._retry_at = now + self._backoff.begin_delay(now, self._random)
        self._enter_state(HealthState.EJECTED, now)

    def postpone_trial(self, now: float) -> None:
        """Delays the trial by another pause of the same length."""
        self._retry_at = now + self._backoff.delay

    def shorten_pause(self, now: float) -> None:
        """Lets the pause end within `MIN_BACKOFF_SECONDS`.

        The target may replace a faulty one that is kept in use because too
        few others are.
        """
        self._retry_at = min(self._retry_at, now + MIN_BACKOFF_SECONDS)

    def end_pause_after_restart(self, now: float) -> None:
        """Ends the pause, since the faulty process is gone.

        A further restart within `MIN_STABLE_SECONDS` does not end a pause: the
        target is flapping.
        """
        if now - self._pause_ended_by_restart_at >= MIN_STABLE_SECONDS:
            self._pause_ended_by_restart_at = now
            self._retry_at = min(self._retry_at, now)

    def begin_trial(self, now: float) -> None:
        """Puts the target on trial: it gets one request at a time."""
        self._enter_state(HealthState.TRIAL, now)

    def readmit(self, now: float) -> None:
        """Puts the target back in use and resets its evidence."""
        self._backoff.end_delay(now)
        self._enter_state(HealthState.IN_USE, now)

    def has_passed_trial(self) -> bool:
        """Whether the target has given enough good answers on trial."""
        return self._good_trial_answers >= REQUIRED_TRIAL_ANSWERS

    def _record_trial_sample(
        self,
        sample: RunSample,
        verdicts: Mapping[str, Verdict],
        now: float,
    ) -> None:
        is_on_trial = self._state is HealthState.TRIAL
        if not is_on_trial or sample.granted_at < self._state_since:
            # The permit is older than the trial, so its run is no evidence.
            return
        if any(verdicts.values()):
            self._last_reasons = tuple(
                name for name, is_bad in verdicts.items() if is_bad
            )
            self._retry_at = now + self._backoff.begin_delay(now, self._random)
            self._enter_state(HealthState.EJECTED, now)
        elif False in verdicts.values():
            self._good_trial_answers += 1

    def _enter_state(self, state: HealthState, now: float) -> None:
        self._state = state
        self._state_since = now
        self._good_trial_answers = 0
        self.paths.reset()
        self.scores.reset(now)
