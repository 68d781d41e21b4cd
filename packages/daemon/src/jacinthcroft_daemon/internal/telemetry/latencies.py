"""Histograms of latency for each team and class, bounded in teams.

They are kept here as plain counts because recording is on every request's
path, and because an OpenTelemetry instrument never forgets a series.
"""

from bisect import bisect_left
from collections import OrderedDict
from typing import Final

from attrs import define, field

OTHER_TEAM: Final = 'other'
BOUNDS_SECONDS: Final = (
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
    # One more than there are bounds.
    return [0, *(0 for _ in BOUNDS_SECONDS)]


@define
class Histogram:
    """Counts by bucket; the last bucket has no upper bound."""

    buckets: list[int] = field(factory=_empty_buckets)
    total_seconds: float = 0

    @property
    def count(self) -> int:
        """How many values were recorded."""
        return sum(self.buckets)

    def record(self, seconds: float) -> None:
        """Counts one value."""
        self.buckets[bisect_left(BOUNDS_SECONDS, seconds)] += 1
        self.total_seconds += seconds

    def add(self, other: 'Histogram') -> None:
        """Counts all values of another histogram."""
        self.buckets = [
            mine + theirs
            for mine, theirs in zip(self.buckets, other.buckets, strict=True)
        ]
        self.total_seconds += other.total_seconds


# Team, class and their histogram.
LatencySeries = tuple[str, str, Histogram]


class LatencyTable:
    """One histogram for each team and class of the latest teams."""

    def __init__(self, teams: int) -> None:
        """Keeps histograms of so many teams apart."""
        self._teams = teams
        self._by_team: OrderedDict[str, dict[str, Histogram]] = OrderedDict()
        self._others: dict[str, Histogram] = {}

    @property
    def series(self) -> tuple[LatencySeries, ...]:
        """All histograms."""
        rows = [*self._by_team.items(), (OTHER_TEAM, self._others)]
        return tuple(
            (team, request_class, histogram)
            for team, classes in rows
            for request_class, histogram in classes.items()
        )

    def record(self, team: str, request_class: str, seconds: float) -> None:
        """Counts one request's latency."""
        classes = self._classes_of(team)
        histogram = classes.get(request_class)
        if histogram is None:
            histogram = Histogram()
            classes[request_class] = histogram
        histogram.record(seconds)

    def _classes_of(self, team: str) -> dict[str, Histogram]:
        if team == OTHER_TEAM:
            return self._others
        classes = self._by_team.get(team)
        if classes is None:
            classes = {}
            self._by_team[team] = classes
            self._shed_oldest()
        else:
            self._by_team.move_to_end(team)
        return classes

    def _shed_oldest(self) -> None:
        """Adds the team that was quiet for longest to the others."""
        if len(self._by_team) <= self._teams:
            return
        _, classes = self._by_team.popitem(last=False)
        for request_class, histogram in classes.items():
            merged = self._others.setdefault(request_class, Histogram())
            merged.add(histogram)
