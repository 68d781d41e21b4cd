"""What all detectors together have against one target."""

from collections.abc import Mapping

from jacinthcroft_decisions.internal.traffic.detectors import (
    DETECTORS,
    Verdict,
)
from jacinthcroft_decisions.internal.traffic.evidence import (
    TRIP_SCORE,
    EvidenceScore,
)

# From this share of the evidence for an ejection on, a target is suspect.
SUSPECT_SCORE = TRIP_SCORE / 2


class DetectorScores:
    """One score for each registered detector."""

    def __init__(self) -> None:
        """Starts with nothing against the target."""
        self._scores = {name: EvidenceScore() for name in DETECTORS}

    def severity(self, now: float) -> float:
        """Returns the strongest evidence; from one on it suffices."""
        strongest = max(score.value_at(now) for score in self._scores.values())
        return strongest / TRIP_SCORE

    def is_suspect(self, now: float) -> bool:
        """Whether others should be preferred."""
        return bool(self.suspecting_detectors(now))

    def suspecting_detectors(self, now: float) -> tuple[str, ...]:
        """Returns the detectors that speak against the target."""
        return self._from(SUSPECT_SCORE, now)

    def tripped_detectors(self, now: float) -> tuple[str, ...]:
        """Returns the detectors whose evidence suffices for an ejection."""
        return self._from(TRIP_SCORE, now)

    def total_score(self, names: tuple[str, ...], now: float) -> float:
        """Returns what some detectors together have against the target."""
        return sum(self._scores[name].value_at(now) for name in names)

    def earliest_onset(self, names: tuple[str, ...]) -> float:
        """Returns when the first of some detectors began to find fault."""
        return min(self._scores[name].onset for name in names)

    def bad_share(self, name: str) -> float:
        """Returns the share of bad signs that one detector sees."""
        return self._scores[name].bad_share

    def update(
        self,
        verdicts: Mapping[str, Verdict],
        usual: Mapping[str, float],
        now: float,
    ) -> None:
        """Weighs the detectors' verdicts on one finished use."""
        for name, is_bad in verdicts.items():
            if is_bad is not None:
                self._scores[name].update(
                    is_bad=is_bad,
                    usual_share=usual[name],
                    now=now,
                )

    def reset_to(
        self, names: tuple[str, ...], score: float, now: float
    ) -> None:
        """Starts some detectors over from a score."""
        for name in names:
            self._scores[name].reset_to(score, now)

    def clear(self, now: float) -> None:
        """Starts all detectors over."""
        self.reset_to(tuple(self._scores), 0, now)

    def _from(self, threshold: float, now: float) -> tuple[str, ...]:
        return tuple(
            name
            for name, score in self._scores.items()
            if score.value_at(now) >= threshold
        )
