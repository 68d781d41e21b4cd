"""Latency histograms by team and request class, for a bounded set of teams.

They are plain counts instead of OpenTelemetry instruments because every
request records a latency, and because an instrument never drops a series.
"""

from bisect import bisect_left
from collections import OrderedDict
from typing import Final

from attrs import define, field

OTHER_TEAM: Final = 'other'
BUCKET_BOUNDS_SECONDS: Final = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)


def _empty_buckets() -> list[int]:
    # One bucket per bound, and one for values above the highest bound.
    return [0, *(0 for _ in BUCKET_BOUNDS_SECONDS)]


@define
class Histogram:
    """Numbers of values by bucket; the last bucket has no upper bound."""

    buckets: list[int] = field(factory=_empty_buckets)
    total_seconds: float = 0

    @property
    def count(self) -> int:
        """The number of recorded values."""
        return sum(self.buckets)

    def record(self, seconds: float) -> None:
        """Adds one value."""
        self.buckets[bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self.total_seconds += seconds

    def merge(self, other: 'Histogram') -> None:
        """Adds all values of another histogram."""
        self.buckets = [
            own_count + other_count
            for own_count, other_count in zip(
                self.buckets, other.buckets, strict=True
            )
        ]
        self.total_seconds += other.total_seconds


# A team, a request class and the histogram of both.
LatencySeries = tuple[str, str, Histogram]


class LatencyTable:
    """Histograms by request class for each of the most recent teams.

    The histograms of all other teams are merged under `OTHER_TEAM`.
    """

    def __init__(self, max_teams: int) -> None:
        """Creates a table that keeps at most `max_teams` teams apart."""
        self._max_teams = max_teams
        # Ordered by each team's latest request, oldest first.
        self._by_team: OrderedDict[str, dict[str, Histogram]] = OrderedDict()
        self._other_teams: dict[str, Histogram] = {}

    @property
    def series(self) -> tuple[LatencySeries, ...]:
        """All histograms with their team and request class."""
        teams = [*self._by_team.items(), (OTHER_TEAM, self._other_teams)]
        return tuple(
            (team, request_class, histogram)
            for team, class_histograms in teams
            for request_class, histogram in class_histograms.items()
        )

    def record(self, team: str, request_class: str, seconds: float) -> None:
        """Adds the latency of one request."""
        class_histograms = self._get_or_create_team(team)
        histogram = class_histograms.get(request_class)
        if histogram is None:
            histogram = Histogram()
            class_histograms[request_class] = histogram
        histogram.record(seconds)

    def _get_or_create_team(self, team: str) -> dict[str, Histogram]:
        if team == OTHER_TEAM:
            return self._other_teams
        class_histograms = self._by_team.get(team)
        if class_histograms is None:
            class_histograms = {}
            self._by_team[team] = class_histograms
            self._enforce_team_limit()
        else:
            self._by_team.move_to_end(team)
        return class_histograms

    def _enforce_team_limit(self) -> None:
        """Merges the least recent team into `OTHER_TEAM` beyond the limit."""
        if len(self._by_team) <= self._max_teams:
            return
        _, class_histograms = self._by_team.popitem(last=False)
        for request_class, histogram in class_histograms.items():
            other_histogram = self._other_teams.setdefault(
                request_class, Histogram()
            )
            other_histogram.merge(histogram)
