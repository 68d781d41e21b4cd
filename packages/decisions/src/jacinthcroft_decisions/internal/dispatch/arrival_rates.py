"""How many requests of each rank arrive a second.

The rank is the urgency of a request; 0 is the most urgent.
"""

import math
from typing import Final

from attrs import define, field

# Time constant of the average. Short, because some bursts last only a few
# seconds.
AVERAGING_SECONDS: Final = 1.0


@define
class ArrivalRates:
    """Exponentially decaying averages of the arrivals a second, by rank."""

    _by_rank: dict[int, float] = field(factory=dict)
    _decayed_at: float = 0

    def record_arrival(self, rank: int, now: float) -> None:
        """Counts the arrival of a request of this rank."""
        self._decay(now)
        rate = self._by_rank.get(rank, 0)
        self._by_rank[rank] = rate + 1 / AVERAGING_SECONDS

    def sum_more_urgent(self, rank: int, now: float) -> float:
        """Returns the arrivals a second of all more urgent ranks."""
        self._decay(now)
        return sum(
            rate for other, rate in self._by_rank.items() if other < rank
        )

    def _decay(self, now: float) -> None:
        elapsed = max(0, now - self._decayed_at)
        kept = math.exp(-elapsed / AVERAGING_SECONDS)
        self._decayed_at = max(now, self._decayed_at)
        for rank, rate in self._by_rank.items():
            self._by_rank[rank] = rate * kept
