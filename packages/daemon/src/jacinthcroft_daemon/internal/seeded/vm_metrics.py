"""What a VM of a seeded fleet counts, and its metrics page.

Counting is plain arithmetic. The libraries that write the page are loaded
with its first reader, since a VM that restarts has to serve soon.
"""

import importlib
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Final

from attrs import define, field

from jacinthcroft_daemon.internal.telemetry.counts import Count, CountTable
from jacinthcroft_daemon.internal.telemetry.latencies import LatencyTable

if TYPE_CHECKING:
    from jacinthcroft_daemon.internal.telemetry.metrics import Metrics

# Teams that are kept apart: a few more than a large deployment has.
MAX_TEAMS: Final = 128
WRITER: Final = 'jacinthcroft_daemon.internal.telemetry.metrics'
GAUGE_PREFIX: Final = 'jacinthcroft_'

# Names and numbers of what a VM is doing now.
Gauges = Mapping[str, float]


@define(eq=False)
class VmMetrics:
    """Counters and latency histograms, bounded in series."""

    read_gauges: Callable[[], Gauges] = dict
    _counts: CountTable = field(factory=CountTable)
    _latencies: LatencyTable = field(
        factory=lambda: LatencyTable(MAX_TEAMS),
    )
    _page: 'Metrics | None' = None

    def count(self, count: Count, label: str) -> None:
        """Adds one to a counter."""
        self._counts.add(count, label, 1)

    def record_request(self, team: str, kind: str, seconds: float) -> None:
        """Counts an answered request's latency."""
        self._latencies.record(team, kind, seconds)

    def render(self) -> bytes:
        """Returns everything in Prometheus' text format."""
        if self._page is None:
            self._page = self._load_page()
        return self._page.render()

    def _load_page(self) -> 'Metrics':
        writer = importlib.import_module(WRITER)
        page: Metrics = writer.Metrics.from_tables(
            self._latencies,
            self._counts,
            lambda meter: writer.observe_named_gauges(
                meter,
                GAUGE_PREFIX,
                self.read_gauges,
            ),
        )
        return page
