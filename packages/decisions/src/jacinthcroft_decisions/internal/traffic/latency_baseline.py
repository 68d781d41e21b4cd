"""Derives a cell's latency baseline from the latencies of its targets.

A cell is the set of targets of one service.
"""

import statistics
from collections.abc import Iterable

from jacinthcroft_decisions.internal.traffic.detectors import LatencyBaseline
from jacinthcroft_decisions.internal.traffic.latency_stats import LatencyStats

# An answer is slow if it takes more than this many times the normal latency.
STALL_FACTOR = 4.0
# Shorter delays are no sign of a fault: pauses of processes and of the network
# cause them everywhere.
MIN_STALL_SECONDS = 0.02


def derive_baseline(latencies: Iterable[LatencyStats]) -> LatencyBaseline:
    """Returns the baseline, derived from the targets' high quantiles.

    The baseline's quantile is the median of the quantiles of those targets
    that have enough samples.
    """
    quantiles = [
        stats.high_quantile for stats in latencies if stats.has_enough_samples
    ]
    if not quantiles:
        return LatencyBaseline()
    quantile = statistics.median(quantiles)
    stall = max(MIN_STALL_SECONDS, STALL_FACTOR * quantile)
    return LatencyBaseline(high_quantile_seconds=quantile, stall_seconds=stall)
