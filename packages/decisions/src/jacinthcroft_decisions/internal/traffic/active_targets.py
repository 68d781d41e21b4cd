"""The active targets of a cell with their health, and the ejection floor."""

import bisect
import math
from collections.abc import Iterable, Iterator, Mapping, Sequence
from random import Random

from jacinthcroft_decisions.internal.traffic.active_vms import ActiveVms
from jacinthcroft_decisions.internal.traffic.detectors import DETECTORS
from jacinthcroft_decisions.internal.traffic.target_health import (
    HealthState,
    TargetHealth,
)

# A floor of 0.55 of 20 targets is 11, not 12 by a float's rounding.
_ROUNDING_DIGITS = 9


class ActiveTargets:
    """Health of the targets that are meant to be in use."""

    def __init__(self, random: Random) -> None:
        """Starts without targets."""
        self.active_vms = ActiveVms()
        self._random = random
        self._known: dict[str, TargetHealth] = {}
        self._active: dict[str, TargetHealth] = {}
        self._usual: dict[str, Mapping[str, float]] = {}
        self._floor: float = 1

    @property
    def min_in_use_count(self) -> int:
        """How many targets stay in use whatever their health."""
        return math.ceil(
            round(self._floor * len(self._active), _ROUNDING_DIGITS),
        )

    @property
    def in_use(self) -> tuple[str, ...]:
        """The targets that get ordinary work."""
        return self.in_state(HealthState.IN_USE)

    def __iter__(self) -> Iterator[str]:
        """Yields the names of the active targets."""
        return iter(self._active)

    def __getitem__(self, target: str) -> TargetHealth:
        """Returns the health of an active target."""
        return self._active[target]

    def get(self, target: str) -> TargetHealth | None:
        """Returns the health of a target, if it is active."""
        return self._active.get(target)

    def in_state(self, state: HealthState) -> tuple[str, ...]:
        """Returns the active targets of one standing."""
        return tuple(
            name
            for name, health in self._active.items()
            if health.state is state
        )

    def usual_shares(self, target: str) -> Mapping[str, float]:
        """Returns the share of bad signs that the others show usually."""
        return self._usual[target]

    def reconfigure(
        self,
        listed: Iterable[str],
        active: Iterable[str],
        floor: float,
    ) -> None:
        """Takes over which targets exist, and which of them are active."""
        self._floor = floor
        self._known = {
            name: self._known.get(name)
            or TargetHealth(self._random, self.active_vms)
            for name in sorted(listed)
        }
        self._active = {name: self._known[name] for name in sorted(active)}
        self.refresh_usual_shares()

    def refresh_usual_shares(self) -> None:
        """Brings up to date what the others of each target show."""
        ordered = {
            name: sorted(
                health.scores.bad_share(name)
                for health in self._active.values()
            )
            for name in DETECTORS
        }
        self._usual = {
            target: {
                name: _median_without(shares, health.scores.bad_share(name))
                for name, shares in ordered.items()
            }
            for target, health in self._active.items()
        }


def _median_without(ordered: Sequence[float], own: float) -> float:
    """Returns the lower median of the others' shares; zero for none."""
    others = len(ordered) - 1
    if not others:
        return 0
    middle = (others - 1) // 2
    own_place = bisect.bisect_left(ordered, own)
    return ordered[middle if middle < own_place else middle + 1]
