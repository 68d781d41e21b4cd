"""Sequential evidence for and against a target.

Each sign moves a score by the logarithm of how much likelier it is from a
sick target than from a usual one of this cell; the score never falls below
zero (a CUSUM test). The usual share of bad signs comes from the other
targets, so a fault of the whole service blames no single target.
"""

import math

SICK_BAD_SHARE = 0.3
MIN_USUAL_BAD_SHARE = 0.02
TRIP_SCORE = 7.5
SCORE_HALF_LIFE_SECONDS = 10.0
_MAX_SCORE = 16.0
_MAX_USUAL_BAD_SHARE = 0.6
_SICK_FACTOR = 3.0
_MAX_SICK_SHARE = 0.95
_SHARE_WEIGHT = 0.05


class EvidenceScore:
    """The score of one detector, for a target or for a path to it."""

    def __init__(self) -> None:
        """Starts with nothing against the target."""
        self._score: float = 0
        self._scored_at: float = 0
        self._onset: float = 0
        self._bad_share: float = 0

    @property
    def bad_share(self) -> float:
        """The smoothed share of bad signs."""
        return self._bad_share

    @property
    def onset(self) -> float:
        """When the score last left zero: the likely time of the change."""
        return self._onset

    def value_at(self, now: float) -> float:
        """Returns the score, which fades when nothing new is seen."""
        if not self._score:
            return 0
        elapsed = max(0, now - self._scored_at)
        return self._score * math.pow(0.5, elapsed / SCORE_HALF_LIFE_SECONDS)

    def is_tripped(self, now: float) -> bool:
        """Whether the evidence suffices."""
        return self.value_at(now) >= TRIP_SCORE

    def update(self, *, is_bad: bool, usual_share: float, now: float) -> None:
        """Weighs one sign."""
        usual = min(
            _MAX_USUAL_BAD_SHARE,
            max(MIN_USUAL_BAD_SHARE, usual_share),
        )
        sick = min(_MAX_SICK_SHARE, max(SICK_BAD_SHARE, usual * _SICK_FACTOR))
        weight = math.log((1 - sick) / (1 - usual))
        if is_bad:
            weight = math.log(sick / usual)
        moved = self.value_at(now) + weight
        if not self._score:
            self._onset = now
        self._score = min(_MAX_SCORE, max(0, moved))
        self._scored_at = now
        self._bad_share += _SHARE_WEIGHT * (float(is_bad) - self._bad_share)

    def reset_to(self, score: float, now: float) -> None:
        """Starts over from a score; the share of bad signs stays."""
        self._score = score
        self._scored_at = now
