"""The VM's metrics, by OpenTelemetry, in Prometheus' text format.

Numbers are kept as plain counts while requests run; a scrape turns them into
OpenTelemetry's data, and its Prometheus reader into text.
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

# Rendering takes as long as several requests for each series, so that a
# scrape of many teams has to leave the loop to them in between.
SERIES_PER_SLICE: Final = 4

# Metric name, attribute of VmGauges, description.
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
    """What a VM serves by and does, read at each scrape; ages in seconds."""

    configuration: int
    configuration_age: float
    vm_list: int
    held_shards: int
    running_requests: int


class ScrapeReader(PrometheusMetricReader):
    """Adds selected latency histograms to what the instruments tell."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Registers at a registry of Prometheus' client."""
        super().__init__(
            disable_target_info=True,
            scope_info_enabled=False,
            registry=registry,
        )
        self._series: Sequence[LatencySeries] = ()
        self._has_instruments = True
        self._started_at = time.time_ns()

    def select(
        self,
        series: Sequence[LatencySeries],
        *,
        has_instruments: bool,
    ) -> None:
        """Chooses what the next scrape tells."""
        self._series = series
        self._has_instruments = has_instruments

    def _receive_metrics(
        self,
        metrics_data: otel_export.MetricsData,
        timeout_millis: float = 10_000,
        **kwargs: Any,
    ) -> None:
        metrics: list[otel_export.Metric] = []
        if self._has_instruments:
            metrics += metrics_data.resource_metrics[0].scope_metrics[0].metrics
        # They come last, so that the slices of a scrape are one family.
        metrics.append(self._histograms())
        super()._receive_metrics(
            _with_metrics(metrics_data, metrics),
            timeout_millis,
            **kwargs,
        )

    def _histograms(self) -> otel_export.Metric:
        return otel_export.Metric(
            name=REQUEST_SECONDS,
            description='Time from a request to the head of its answer.',
            unit='s',
            data=otel_export.Histogram(
                [self._point(*series) for series in self._series],
                otel_export.AggregationTemporality.CUMULATIVE,
            ),
        )

    def _point(
        self,
        team: str,
        request_class: str,
        histogram: Histogram,
    ) -> otel_export.HistogramDataPoint:
        return otel_export.HistogramDataPoint(
            attributes={'team': team, 'class': request_class},
            start_time_unix_nano=self._started_at,
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
        """Makes metrics that keep the latest `metric_teams` teams apart."""
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
        """Makes metrics of tables that others keep."""
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
        """Counts a request's latency for its team and class."""
        self._latencies.record(team, request_class, seconds)

    def count(self, count: Count, label: str, amount: int = 1) -> None:
        """Adds to one of the counters."""
        self._counts.add(count, label, amount)

    def render(self) -> bytes:
        """Returns everything in Prometheus' text format, at once."""
        return b''.join(self._render_slices())

    async def stream(self) -> AsyncIterator[bytes]:
        """Yields what `render` returns, letting requests run meanwhile."""
        for text in self._render_slices():
            yield text
            await asyncio.sleep(0)

    def _render_slices(self) -> Iterator[bytes]:
        series = self._latencies.series
        self._reader.select(series[:SERIES_PER_SLICE], has_instruments=True)
        yield generate_latest(self._registry)
        for start in range(SERIES_PER_SLICE, len(series), SERIES_PER_SLICE):
            part = series[start : start + SERIES_PER_SLICE]
            self._reader.select(part, has_instruments=False)
            yield _without_comments(generate_latest(self._registry))


def _without_comments(text: bytes) -> bytes:
    # A family's description may stand only once in a scrape.
    lines = text.splitlines(keepends=True)
    return b''.join(line for line in lines if not line.startswith(b'#'))


def _observe_counts(meter: Meter, counts: CountTable) -> None:
    for count in Count:
        meter.create_observable_counter(
            count.metric_name,
            callbacks=[partial(_count_observations, counts, count)],
            description=count.description,
        )


def _count_observations(
    counts: CountTable,
    count: Count,
    _: CallbackOptions,
) -> Iterable[Observation]:
    return [
        Observation(number, {count.label_name: label})
        for label, number in counts.list_series(count)
    ]


def _observe_gauges(
    meter: Meter,
    read_gauges: Callable[[], VmGauges],
) -> None:
    for name, attribute, description in GAUGES:
        reader = attrgetter(attribute)
        meter.create_observable_gauge(
            name,
            callbacks=[partial(_gauge_observations, read_gauges, reader)],
            description=description,
        )


def observe_named_gauges(
    meter: Meter,
    prefix: str,
    read_gauges: Callable[[], Mapping[str, float]],
) -> None:
    """Registers a gauge for each name that is read now."""
    for name in read_gauges():
        meter.create_observable_gauge(
            f'{prefix}{name}',
            callbacks=[partial(_named_observations, read_gauges, name)],
        )


def _named_observations(
    read_gauges: Callable[[], Mapping[str, float]],
    name: str,
    _: CallbackOptions,
) -> Iterable[Observation]:
    return (Observation(read_gauges()[name]),)


def _gauge_observations(
    read_gauges: Callable[[], VmGauges],
    reader: Callable[[VmGauges], float],
    _: CallbackOptions,
) -> Iterable[Observation]:
    return (Observation(reader(read_gauges())),)


def _with_metrics(
    metrics_data: otel_export.MetricsData,
    metrics: list[otel_export.Metric],
) -> otel_export.MetricsData:
    resource = metrics_data.resource_metrics[0]
    scope = replace(resource.scope_metrics[0], metrics=metrics)
    return otel_export.MetricsData(
        [replace(resource, scope_metrics=[scope])],
    )
