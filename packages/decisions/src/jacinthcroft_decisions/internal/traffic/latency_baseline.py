"""What is usual in a cell: derived from all its targets' latencies."""

import statistics
from collections.abc import Iterable

from jacinthcroft_decisions.internal.traffic.detectors import LatencyBaseline
from jacinthcroft_decisions.internal.traffic.latency_stats import LatencyStats

STALL_FACTOR = 4.0
# Pauses of processes and networks make shorter delays everywhere.
MIN_STALL_SECONDS = 0.02


def derive_baseline(latencies: Iterable[LatencyStats]) -> LatencyBaseline:
    """Returns the cell's norm by the median of its targets."""
    quantiles = [
        track.high_quantile for track in latencies if track.has_enough_samples
    ]
    if not quantiles:
        return LatencyBaseline()
    usual = statistics.median(quantiles)
    stall = max(MIN_STALL_SECONDS, STALL_FACTOR * usual)
    return LatencyBaseline(high_quantile_seconds=usual, stall_seconds=stall)
