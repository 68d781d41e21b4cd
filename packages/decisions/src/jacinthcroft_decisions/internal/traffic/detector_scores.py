"""The scores of all detectors for one target.

Each detector looks for one kind of fault in the requests that VMs send to the
target. Its score grows with bad samples, and shrinks with good ones and with
time (`evidence`).
"""

from collections.abc import Mapping

from jacinthcroft_decisions.internal.traffic.detectors import (
    DETECTORS,
    Verdict,
)
from jacinthcroft_decisions.internal.traffic.evidence import (
    TRIP_SCORE,
    EvidenceScore,
)

# With half of the evidence that an ejection takes, a target is suspect.
SUSPECT_SCORE = TRIP_SCORE / 2


class DetectorScores:
    """One score for each registered detector."""

    def __init__(self) -> None:
        """Starts without evidence against the target."""
        self._scores = {name: EvidenceScore() for name in DETECTORS}

    def severity(self, now: float) -> float:
        """Returns the highest score in multiples of `TRIP_SCORE`."""
        highest = max(score.value_at(now) for score in self._scores.values())
        return highest / TRIP_SCORE

    def is_suspect(self, now: float) -> bool:
        """Whether any detector suspects the target."""
        return bool(self.suspecting_detectors(now))

    def suspecting_detectors(self, now: float) -> tuple[str, ...]:
        """Returns the detectors that suspect the target."""
        return self._detectors_from(SUSPECT_SCORE, now)

    def tripped_detectors(self, now: float) -> tuple[str, ...]:
        """Returns the detectors whose evidence suffices for an ejection."""
        return self._detectors_from(TRIP_SCORE, now)

    def total_score(self, detectors: tuple[str, ...], now: float) -> float:
        """Returns the sum of some detectors' scores."""
        return sum(self._scores[name].value_at(now) for name in detectors)

    def earliest_onset(self, detectors: tuple[str, ...]) -> float:
        """Returns the earliest time at which one of the scores left zero."""
        return min(self._scores[name].onset for name in detectors)

    def bad_share(self, name: str) -> float:
        """Returns one detector's smoothed share of bad samples."""
        return self._scores[name].bad_share

    def update(
        self,
        verdicts: Mapping[str, Verdict],
        expected_bad_shares: Mapping[str, float],
        now: float,
    ) -> None:
        """Adds the detectors' verdicts on one request to their scores.

        A verdict is true for a bad sample, and None for no evidence.
        """
        for name, is_bad in verdicts.items():
            if is_bad is not None:
                self._scores[name].update(
                    is_bad=is_bad,
                    expected_bad_share=expected_bad_shares[name],
                    now=now,
                )

    def reset_to(
        self, detectors: tuple[str, ...], score: float, now: float
    ) -> None:
        """Sets the scores of some detectors to one value."""
        for name in detectors:
            self._scores[name].reset_to(score, now)

    def reset(self, now: float) -> None:
        """Sets all scores to zero."""
        self.reset_to(tuple(self._scores), 0, now)

    def _detectors_from(self, threshold: float, now: float) -> tuple[str, ...]:
        return tuple(
            name
            for name, score in self._scores.items()
            if score.value_at(now) >= threshold
        )
