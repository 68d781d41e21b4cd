"""What a target's latencies look like, recently and typically."""

import math
import statistics
from collections import deque

RECENT_MEDIAN_SAMPLES = 8
STEP_SAMPLES = 3
STEP_FACTOR = 2.0
_RECENT_SAMPLES = 32
_MIN_LATENCY_SECONDS = 1e-6
_QUANTILE_RANK = 0.9
# How far one answer moves the typical latency, as a share of it.
_TYPICAL_STEP = 0.02


class LatencyStats:
    """Robust figures of one target's latencies, in seconds."""

    def __init__(self) -> None:
        """Starts without a sample."""
        self._recent: deque[float] = deque(maxlen=_RECENT_SAMPLES)
        self._typical_log: float | None = None

    @property
    def has_enough_samples(self) -> bool:
        """Whether there are enough samples to speak of a level."""
        return len(self._recent) >= RECENT_MEDIAN_SAMPLES

    @property
    def recent_median(self) -> float:
        """The median of the last few answers."""
        return self._median_of_last(RECENT_MEDIAN_SAMPLES)

    @property
    def high_quantile(self) -> float:
        """A high quantile of the recent answers."""
        ordered = sorted(self._recent)
        return ordered[int(_QUANTILE_RANK * (len(ordered) - 1))]

    @property
    def has_stepped_up(self) -> bool:
        """Whether the last answers are far slower than the target's own."""
        long_run_median = self.long_run_median
        if long_run_median is None:
            return False
        return (
            self._median_of_last(STEP_SAMPLES) > STEP_FACTOR * long_run_median
        )

    @property
    def long_run_median(self) -> float | None:
        """The long-run median, which follows a change only slowly."""
        if self._typical_log is None:
            return None
        return math.exp(self._typical_log)

    def add(self, latency: float) -> None:
        """Takes in one answer."""
        latency = max(latency, _MIN_LATENCY_SECONDS)
        self._recent.append(latency)
        if not self.has_enough_samples:
            return
        if self._typical_log is None:
            self._typical_log = math.log(self.recent_median)
        elif math.log(latency) > self._typical_log:
            self._typical_log += _TYPICAL_STEP
        else:
            self._typical_log -= _TYPICAL_STEP

    def reset(self) -> None:
        """Forgets everything: the target is no longer what it was."""
        self._recent.clear()
        self._typical_log = None

    def _median_of_last(self, count: int) -> float:
        return statistics.median(tuple(self._recent)[-count:])
