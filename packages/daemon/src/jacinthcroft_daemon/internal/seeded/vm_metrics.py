"""Counts the events of a VM of a seeded fleet and renders its metrics.

Counting needs no library. The libraries that render the metrics are imported
when the metrics are first read, since a restarted VM must serve requests soon.
"""

import importlib
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Final

from attrs import define, field

from jacinthcroft_daemon.internal.telemetry.counts import Count, CountTable
from jacinthcroft_daemon.internal.telemetry.latencies import LatencyTable

if TYPE_CHECKING:
    from jacinthcroft_daemon.internal.telemetry.metrics import Metrics

# Teams with metrics of their own: a few more than a large deployment has.
MAX_TEAMS: Final = 128
METRICS_MODULE: Final = 'jacinthcroft_daemon.internal.telemetry.metrics'
GAUGE_PREFIX: Final = 'jacinthcroft_'

# Current values by name.
Gauges = Mapping[str, float]


@define(eq=False)
class VmMetrics:
    """Counters and latency histograms with a bounded number of series."""

    read_gauges: Callable[[], Gauges] = dict
    _counts: CountTable = field(factory=CountTable)
    _latencies: LatencyTable = field(
        factory=lambda: LatencyTable(MAX_TEAMS),
    )
    _metrics: 'Metrics | None' = None

    def count(self, count: Count, label: str) -> None:
        """Adds one to a counter."""
        self._counts.add(count, label, 1)

    def record_request(self, team: str, kind: str, seconds: float) -> None:
        """Records the latency of a request that got a response."""
        self._latencies.record(team, kind, seconds)

    def render(self) -> bytes:
        """Returns all metrics in Prometheus' text format."""
        if self._metrics is None:
            self._metrics = self._load_metrics()
        return self._metrics.render()

    def _load_metrics(self) -> 'Metrics':
        module = importlib.import_module(METRICS_MODULE)
        metrics: Metrics = module.Metrics.from_tables(
            self._latencies,
            self._counts,
            lambda meter: module.observe_named_gauges(
                meter,
                GAUGE_PREFIX,
                self.read_gauges,
            ),
        )
        return metrics
