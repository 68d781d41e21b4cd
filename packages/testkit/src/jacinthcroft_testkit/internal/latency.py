"""Percentiles of what callers waited."""

import statistics
from collections.abc import Iterable

from attrs import frozen

from jacinthcroft_testkit.internal.history import Outcome, Sent

_MILLISECONDS_PER_SECOND = 1000
_OK = 200
_PERCENTILES = 100
_P99 = 98


@frozen
class Latency:
    """Median and 99th percentile in milliseconds."""

    p50_ms: float
    p99_ms: float
    samples: int

    @classmethod
    def from_records(
        cls,
        sent: Iterable[Sent],
        outcomes: Iterable[Outcome],
    ) -> 'Latency':
        """Measures the sendings that were answered with 200."""
        sent_at = {record.number: record.at for record in sent}
        return cls.from_seconds(
            [
                outcome.at - sent_at[outcome.number]
                for outcome in outcomes
                if outcome.status == _OK
            ],
        )

    @classmethod
    def from_seconds(cls, seconds: list[float]) -> 'Latency':
        """Measures times in seconds; NaN when there are fewer than two."""
        if len(seconds) < 2:
            return cls(float('nan'), float('nan'), len(seconds))
        cuts = statistics.quantiles(
            seconds,
            n=_PERCENTILES,
            method='inclusive',
        )
        return cls(
            statistics.median(seconds) * _MILLISECONDS_PER_SECOND,
            cuts[_P99] * _MILLISECONDS_PER_SECOND,
            len(seconds),
        )
