"""What experiments measure, and its summary over repeats."""

import statistics
from collections.abc import Iterable, Sequence

from attrs import frozen


@frozen
class Reading:
    """One figure of one repeat of an experiment."""

    metric: str
    unit: str
    value: float


@frozen
class Figure:
    """A metric of one system over all repeats."""

    experiment: str
    system: str
    metric: str
    unit: str
    values: tuple[float, ...]

    @property
    def median(self) -> float:
        """The middle of the repeats."""
        return statistics.median(self.values)

    def __str__(self) -> str:
        """Returns the median with the least and the greatest value."""
        low = min(self.values)
        high = max(self.values)
        return (
            f'  {self.system:<13}{self.metric:<44}'
            f'{self.median:10.2f} {self.unit:<9}[{low:.2f} .. {high:.2f}]'
        )


def summarize(
    experiment: str,
    system: str,
    repeats: Sequence[Iterable[Reading]],
) -> list[Figure]:
    """Returns one figure for each metric, in the order of measuring."""
    units: dict[str, str] = {}
    values: dict[str, list[float]] = {}
    for readings in repeats:
        for reading in readings:
            units[reading.metric] = reading.unit
            values.setdefault(reading.metric, []).append(reading.value)
    return [
        Figure(experiment, system, metric, unit, tuple(values[metric]))
        for metric, unit in units.items()
    ]
