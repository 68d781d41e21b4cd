"""How many requests of each urgency come in a second."""

import math
from typing import Final

from attrs import define, field

# Time over which arrivals are averaged, in seconds: some bursts last for no
# more than a few seconds.
AVERAGING_SECONDS: Final = 1.0


@define
class ArrivalRates:
    """Rates by rank, decaying exponentially."""

    _by_rank: dict[int, float] = field(factory=dict)
    _decayed_at: float = 0

    def note(self, rank: int, now: float) -> None:
        """Counts an arrival."""
        self._decay(now)
        known = self._by_rank.get(rank, 0)
        self._by_rank[rank] = known + 1 / AVERAGING_SECONDS

    def more_urgent_than(self, rank: int, now: float) -> float:
        """Returns the arrivals a second that go before a rank."""
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
