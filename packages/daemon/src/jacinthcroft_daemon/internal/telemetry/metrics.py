"""The VM's metrics in Prometheus' text format.

Requests update plain counts. A scrape converts these to OpenTelemetry's data
model, and OpenTelemetry's Prometheus reader converts that to text.
"""

import asyncio
import time
from collections.abc import (
    AsyncIterator,
    Callable,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)
from dataclasses import replace
from functools import partial
from operator import attrgetter
from typing import Any, Final, Self

from attrs import frozen
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Meter, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics import export as otel_export
from prometheus_client import CollectorRegistry, generate_latest

from jacinthcroft_daemon.internal.telemetry.counts import Count, CountTable
from jacinthcroft_daemon.internal.telemetry.latencies import (
    BUCKET_BOUNDS_SECONDS,
    Histogram,
    LatencySeries,
    LatencyTable,
)

REQUEST_SECONDS: Final = 'jacinthcroft_request_seconds'

# Rendering one series takes as long as several requests, so a scrape of many
# teams must let the event loop serve requests between its slices.
SERIES_PER_SLICE: Final = 4

# Each gauge as (metric name, attribute of `VmGauges`, description).
GAUGES: Final = (
    (
        'jacinthcroft_configuration_revision',
        'configuration',
        'Revision of the configuration in force.',
    ),
    (
        'jacinthcroft_configuration_age_seconds',
        'configuration_age',
        'Time since the configuration came in force on this VM.',
    ),
    (
        'jacinthcroft_vm_list_revision',
        'vm_list',
        'Revision of the VM list in force.',
    ),
    (
        'jacinthcroft_held_shards',
        'held_shards',
        'Shards that this VM decides for now.',
    ),
    (
        'jacinthcroft_running_requests',
        'running_requests',
        'Requests of this VM that are under way to targets.',
    ),
)


@frozen
class VmGauges:
    """The values of a VM's gauges at one scrape.

    `configuration` and `vm_list` are revisions, and `configuration_age` is in
    seconds.
    """

    configuration: int
    configuration_age: float
    vm_list: int
    held_shards: int
    running_requests: int


class ScrapeReader(PrometheusMetricReader):
    """Adds selected latency histograms to the metrics of the instruments."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Registers the reader at a registry of the Prometheus client."""
        super().__init__(
            disable_target_info=True,
            scope_info_enabled=False,
            registry=registry,
        )
        self._series: Sequence[LatencySeries] = ()
        self._includes_instruments = True
        self._started_at_ns = time.time_ns()

    def select_metrics(
        self,
        series: Sequence[LatencySeries],
        *,
        includes_instruments: bool,
    ) -> None:
        """Selects what the next scrape contains.

        Args:
            series: The latency histograms.
            includes_instruments: Whether it contains counters and gauges.
        """
        self._series = series
        self._includes_instruments = includes_instruments

    def _receive_metrics(
        self,
        metrics_data: otel_export.MetricsData,
        timeout_millis: float = 10_000,
        **kwargs: Any,
    ) -> None:
        metrics: list[otel_export.Metric] = []
        if self._includes_instruments:
            metrics += metrics_data.resource_metrics[0].scope_metrics[0].metrics
        # The histograms come last, so that the following slices continue their
        # metric family.
        metrics.append(self._make_histogram_metric())
        super()._receive_metrics(
            _replace_metrics(metrics_data, metrics),
            timeout_millis,
            **kwargs,
        )

    def _make_histogram_metric(self) -> otel_export.Metric:
        return otel_export.Metric(
            name=REQUEST_SECONDS,
            description='Time from a request to the head of its answer.',
            unit='s',
            data=otel_export.Histogram(
                [self._make_data_point(*series) for series in self._series],
                otel_export.AggregationTemporality.CUMULATIVE,
            ),
        )

    def _make_data_point(
        self,
        team: str,
        request_class: str,
        histogram: Histogram,
    ) -> otel_export.HistogramDataPoint:
        return otel_export.HistogramDataPoint(
            attributes={'team': team, 'class': request_class},
            start_time_unix_nano=self._started_at_ns,
            time_unix_nano=time.time_ns(),
            count=histogram.count,
            sum=histogram.total_seconds,
            bucket_counts=tuple(histogram.buckets),
            explicit_bounds=BUCKET_BOUNDS_SECONDS,
            min=0,
            max=0,
        )


@frozen(eq=False)
class Metrics:
    """All metrics of one VM."""

    _latencies: LatencyTable
    _counts: CountTable
    _registry: CollectorRegistry
    _reader: ScrapeReader

    @classmethod
    def from_limits(
        cls,
        metric_teams: int,
        read_gauges: Callable[[], VmGauges],
    ) -> Self:
        """Creates metrics that keep the latest `metric_teams` teams apart."""
        return cls.from_tables(
            LatencyTable(metric_teams),
            CountTable(),
            lambda meter: _observe_gauges(meter, read_gauges),
        )

    @classmethod
    def from_tables(
        cls,
        latencies: LatencyTable,
        counts: CountTable,
        observe_gauges: Callable[[Meter], None],
    ) -> Self:
        """Creates metrics that read the given tables at each scrape."""
        registry = CollectorRegistry()
        reader = ScrapeReader(registry)
        provider = MeterProvider(
            metric_readers=[reader],
            shutdown_on_exit=False,
        )
        meter = provider.get_meter('jacinthcroft')
        _observe_counts(meter, counts)
        observe_gauges(meter)
        return cls(latencies, counts, registry, reader)

    def record_request(
        self,
        team: str,
        request_class: str,
        seconds: float,
    ) -> None:
        """Records a request's latency under its team and class."""
        self._latencies.record(team, request_class, seconds)

    def count(self, count: Count, label: str, amount: int = 1) -> None:
        """Adds an amount to a counter under a label."""
        self._counts.add(count, label, amount)

    def render(self) -> bytes:
        """Returns all metrics in Prometheus' text format."""
        return b''.join(self._render_slices())

    async def stream(self) -> AsyncIterator[bytes]:
        """Yields `render`'s output in slices and lets requests run between."""
        for rendered_slice in self._render_slices():
            yield rendered_slice
            await asyncio.sleep(0)

    def _render_slices(self) -> Iterator[bytes]:
        series = self._latencies.series
        self._reader.select_metrics(
            series[:SERIES_PER_SLICE], includes_instruments=True
        )
        yield generate_latest(self._registry)
        for start in range(SERIES_PER_SLICE, len(series), SERIES_PER_SLICE):
            next_series = series[start : start + SERIES_PER_SLICE]
            self._reader.select_metrics(next_series, includes_instruments=False)
            yield _strip_comments(generate_latest(self._registry))


def _strip_comments(text: bytes) -> bytes:
    # A scrape may contain a metric family's HELP and TYPE lines only once.
    lines = text.splitlines(keepends=True)
    return b''.join(line for line in lines if not line.startswith(b'#'))


def _observe_counts(meter: Meter, counts: CountTable) -> None:
    for count in Count:
        meter.create_observable_counter(
            count.metric_name,
            callbacks=[partial(_read_counter, counts, count)],
            description=count.description,
        )


def _read_counter(
    counts: CountTable,
    count: Count,
    _: CallbackOptions,
) -> Iterable[Observation]:
    return [
        Observation(value, {count.label_name: label})
        for label, value in counts.list_series(count)
    ]


def _observe_gauges(
    meter: Meter,
    read_gauges: Callable[[], VmGauges],
) -> None:
    for name, attribute, description in GAUGES:
        read_attribute = attrgetter(attribute)
        meter.create_observable_gauge(
            name,
            callbacks=[partial(_read_gauge, read_gauges, read_attribute)],
            description=description,
        )


def observe_named_gauges(
    meter: Meter,
    prefix: str,
    read_gauges: Callable[[], Mapping[str, float]],
) -> None:
    """Registers a gauge for each name that `read_gauges` returns now.

    Names that it returns only later get no gauge.
    """
    for name in read_gauges():
        meter.create_observable_gauge(
            f'{prefix}{name}',
            callbacks=[partial(_read_named_gauge, read_gauges, name)],
        )


def _read_named_gauge(
    read_gauges: Callable[[], Mapping[str, float]],
    name: str,
    _: CallbackOptions,
) -> Iterable[Observation]:
    return (Observation(read_gauges()[name]),)


def _read_gauge(
    read_gauges: Callable[[], VmGauges],
    read_attribute: Callable[[VmGauges], float],
    _: CallbackOptions,
) -> Iterable[Observation]:
    return (Observation(read_attribute(read_gauges())),)


def _replace_metrics(
    metrics_data: otel_export.MetricsData,
    metrics: list[otel_export.Metric],
) -> otel_export.MetricsData:
    resource = metrics_data.resource_metrics[0]
    scope = replace(resource.scope_metrics[0], metrics=metrics)
    return otel_export.MetricsData(
        [replace(resource, scope_metrics=[scope])],
    )
