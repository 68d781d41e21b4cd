"""Accumulates evidence, sample by sample, on whether a target is faulty.

A detector looks for one kind of fault; a sample is its verdict on one request,
and a bad sample shows the fault. A cell is the set of targets of one service.

Each bad or good sample moves a score by the logarithm of how much likelier
the sample is from a faulty target than from a healthy one of this cell; the
score never falls below zero (a CUSUM test). The bad share to expect of a
healthy target comes from the other targets, so a fault of the whole service
blames no single target.
"""

import math

# The bad share, the share of bad samples, that a faulty target has at least.
MIN_FAULTY_BAD_SHARE = 0.3
# The bad share to expect of a healthy target is taken to be at least this.
MIN_EXPECTED_BAD_SHARE = 0.02
# From this score on, the evidence suffices to act on.
TRIP_SCORE = 7.5
SCORE_HALF_LIFE_SECONDS = 10.0
_MAX_SCORE = 16.0
_MAX_EXPECTED_BAD_SHARE = 0.6
# A faulty target has at least this many times the expected bad share.
_FAULTY_FACTOR = 3.0
_MAX_FAULTY_BAD_SHARE = 0.95
# The weight of one sample in the smoothed share of bad samples.
_SMOOTHING_WEIGHT = 0.05


class EvidenceScore:
    """The score of one detector, for a target or for a path to it."""

    def __init__(self) -> None:
        """Starts without evidence of a fault."""
        self._score: float = 0
        self._scored_at: float = 0
        self._onset: float = 0
        self._bad_share: float = 0

    @property
    def bad_share(self) -> float:
        """The exponentially smoothed share of bad samples."""
        return self._bad_share

    @property
    def onset(self) -> float:
        """When the score last left zero: the likely start of the fault."""
        return self._onset

    def value_at(self, now: float) -> float:
        """Returns the score, which decays while no sample arrives."""
        if not self._score:
            return 0
        elapsed = max(0, now - self._scored_at)
        return self._score * math.pow(0.5, elapsed / SCORE_HALF_LIFE_SECONDS)

    def is_tripped(self, now: float) -> bool:
        """Whether the evidence suffices to act on."""
        return self.value_at(now) >= TRIP_SCORE

    def update(
        self, *, is_bad: bool, expected_bad_share: float, now: float
    ) -> None:
        """Adds one sample to the score.

        Args:
            is_bad: Whether the sample is bad.
            expected_bad_share: The bad share of a healthy target.
            now: The present time.
        """
        healthy_share = min(
            _MAX_EXPECTED_BAD_SHARE,
            max(MIN_EXPECTED_BAD_SHARE, expected_bad_share),
        )
        faulty_share = min(
            _MAX_FAULTY_BAD_SHARE,
            max(MIN_FAULTY_BAD_SHARE, healthy_share * _FAULTY_FACTOR),
        )
        log_likelihood_ratio = math.log(
            (1 - faulty_share) / (1 - healthy_share)
        )
        if is_bad:
            log_likelihood_ratio = math.log(faulty_share / healthy_share)
        updated = self.value_at(now) + log_likelihood_ratio
        if not self._score:
            self._onset = now
        self._score = min(_MAX_SCORE, max(0, updated))
        self._scored_at = now
        self._bad_share += _SMOOTHING_WEIGHT * (float(is_bad) - self._bad_share)

    def reset_to(self, score: float, now: float) -> None:
        """Sets the score; the share of bad samples stays."""
        self._score = score
        self._scored_at = now
