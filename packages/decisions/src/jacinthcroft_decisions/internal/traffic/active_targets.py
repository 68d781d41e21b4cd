"""The active targets of a cell: their health, and the ejection floor.

A cell is the set of targets of one service, managed by one VM at a time.
A target is listed if the service file names it, and active if it may get new
work: its state in the service file is active, its zone is not evacuated and
it does not drain. The ejection floor is the least share of the active targets
that stays in use, faulty or not.
"""

import bisect
import math
from collections.abc import Iterable, Iterator, Mapping, Sequence
from random import Random

from jacinthcroft_decisions.internal.traffic.detectors import DETECTORS
from jacinthcroft_decisions.internal.traffic.recent_vms import RecentVms
from jacinthcroft_decisions.internal.traffic.target_health import (
    HealthState,
    TargetHealth,
)

# A floor of 0.55 of 20 targets is 11; a float's rounding error would make it
# 12.
_ROUNDING_DIGITS = 9


class ActiveTargets:
    """Maps the names of the active targets to their health.

    The health of a listed target is kept while it is not active.
    """

    def __init__(self, random: Random) -> None:
        """Starts without targets."""
        self.recent_vms = RecentVms()
        self._random = random
        self._listed: dict[str, TargetHealth] = {}
        self._active: dict[str, TargetHealth] = {}
        self._expected_shares: dict[str, Mapping[str, float]] = {}
        self._ejection_floor: float = 1

    @property
    def min_in_use_count(self) -> int:
        """The least number of targets in use, by the ejection floor."""
        return math.ceil(
            round(self._ejection_floor * len(self._active), _ROUNDING_DIGITS),
        )

    @property
    def in_use(self) -> tuple[str, ...]:
        """The active targets that are neither ejected nor on trial."""
        return self.in_state(HealthState.IN_USE)

    def __iter__(self) -> Iterator[str]:
        """Yields the names of the active targets."""
        return iter(self._active)

    def __getitem__(self, target: str) -> TargetHealth:
        """Returns the health of an active target."""
        return self._active[target]

    def get(self, target: str) -> TargetHealth | None:
        """Returns the health of a target, or None if it is not active."""
        return self._active.get(target)

    def in_state(self, state: HealthState) -> tuple[str, ...]:
        """Returns the active targets in a state."""
        return tuple(
            name
            for name, health in self._active.items()
            if health.state is state
        )

    def expected_bad_shares(self, target: str) -> Mapping[str, float]:
        """Returns the share of bad samples to expect of a healthy target.

        The shares are keyed by detector: a detector looks for one kind of
        fault in the requests to a target, and each of its verdicts is a
        sample. Each share is the median of the other active targets, so that
        a fault of all targets blames none of them.
        """
        return self._expected_shares[target]

    def reconfigure(
        self,
        listed_targets: Iterable[str],
        active_targets: Iterable[str],
        ejection_floor: float,
    ) -> None:
        """Replaces the sets of listed and active targets and the floor."""
        self._ejection_floor = ejection_floor
        self._listed = {
            name: self._listed.get(name)
            or TargetHealth(self._random, self.recent_vms)
            for name in sorted(listed_targets)
        }
        self._active = {
            name: self._listed[name] for name in sorted(active_targets)
        }
        self.refresh_expected_shares()

    def refresh_expected_shares(self) -> None:
        """Recomputes the expected shares from the present bad shares."""
        sorted_shares = {
            detector: sorted(
                health.scores.bad_share(detector)
                for health in self._active.values()
            )
            for detector in DETECTORS
        }
        self._expected_shares = {
            target: {
                detector: _median_without(
                    shares, health.scores.bad_share(detector)
                )
                for detector, shares in sorted_shares.items()
            }
            for target, health in self._active.items()
        }


def _median_without(sorted_shares: Sequence[float], own_share: float) -> float:
    """Returns the lower median of the shares, with `own_share` left out once.

    It is zero if no other share remains.
    """
    other_count = len(sorted_shares) - 1
    if not other_count:
        return 0
    middle = (other_count - 1) // 2
    own_index = bisect.bisect_left(sorted_shares, own_share)
    return sorted_shares[middle if middle < own_index else middle + 1]
