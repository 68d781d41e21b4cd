"""Recent and long-run statistics of a target's latencies, in seconds."""

import math
import statistics
from collections import deque

# The recent median is taken over this many of the last samples.
RECENT_MEDIAN_SAMPLES = 8
# The median of this many last samples is compared with the long-run median.
STEP_SAMPLES = 3
# From more than this many times the long-run median, latency has stepped up.
STEP_FACTOR = 2.0
_RECENT_SAMPLES = 32
# Keeps the logarithm of a latency finite.
_MIN_LATENCY_SECONDS = 1e-6
_QUANTILE_RANK = 0.9
# One answer moves the logarithm of the long-run median by this much, and so the
# median by about this share.
_LONG_RUN_LOG_STEP = 0.02


class LatencyStats:
    """Outlier-resistant statistics of one target's latencies, in seconds."""

    def __init__(self) -> None:
        """Starts without samples."""
        self._recent: deque[float] = deque(maxlen=_RECENT_SAMPLES)
        self._log_long_run_median: float | None = None

    @property
    def has_enough_samples(self) -> bool:
        """Whether there are enough samples for a median."""
        return len(self._recent) >= RECENT_MEDIAN_SAMPLES

    @property
    def recent_median(self) -> float:
        """The median of the last few answers."""
        return self._median_of_last(RECENT_MEDIAN_SAMPLES)

    @property
    def high_quantile(self) -> float:
        """The 0.9 quantile of the recent latencies."""
        ordered = sorted(self._recent)
        return ordered[int(_QUANTILE_RANK * (len(ordered) - 1))]

    @property
    def has_stepped_up(self) -> bool:
        """Whether the last answers are far above the long-run median."""
        long_run_median = self.long_run_median
        if long_run_median is None:
            return False
        return (
            self._median_of_last(STEP_SAMPLES) > STEP_FACTOR * long_run_median
        )

    @property
    def long_run_median(self) -> float | None:
        """A running estimate of the median, which changes only slowly."""
        if self._log_long_run_median is None:
            return None
        return math.exp(self._log_long_run_median)

    def add(self, latency: float) -> None:
        """Adds the latency of one answer."""
        latency = max(latency, _MIN_LATENCY_SECONDS)
        self._recent.append(latency)
        if not self.has_enough_samples:
            return
        if self._log_long_run_median is None:
            self._log_long_run_median = math.log(self.recent_median)
        elif math.log(latency) > self._log_long_run_median:
            self._log_long_run_median += _LONG_RUN_LOG_STEP
        else:
            self._log_long_run_median -= _LONG_RUN_LOG_STEP

    def reset(self) -> None:
        """Drops all samples: they mislead after the target has changed."""
        self._recent.clear()
        self._log_long_run_median = None

    def _median_of_last(self, count: int) -> float:
        return statistics.median(tuple(self._recent)[-count:])
