"""Round robin over targets, with ejection after consecutive errors."""

import math
from collections.abc import Sequence

from attrs import define, field
from jacinthcroft_config import Target

_ERRORS_TO_EJECT = 5
_EJECTION_SECONDS = 10.0


@define(eq=False)
class Rotation:
    """One VM's view of a service's targets.

    A target with five errors in a row is left out for ten seconds, unless
    fewer than the floor would remain.
    """

    _targets: Sequence[Target]
    _floor: float
    _next: int = field(default=0, init=False)
    _errors: dict[str, int] = field(factory=dict, init=False)
    _ejected_until: dict[str, float] = field(factory=dict, init=False)

    def pick(self, now: float) -> Target | None:
        """Returns the next target, None without any."""
        if not self._targets:
            return None
        usable = [
            target
            for target in self._targets
            if self._ejected_until.get(target.name, 0) <= now
        ]
        least = math.ceil(self._floor * len(self._targets))
        choices = usable if len(usable) >= least else self._targets
        self._next += 1
        return choices[self._next % len(choices)]

    def note(self, target: Target, now: float, *, is_error: bool) -> None:
        """Counts an outcome."""
        errors = self._errors.get(target.name, 0) + 1 if is_error else 0
        self._errors[target.name] = errors
        if errors >= _ERRORS_TO_EJECT:
            self._ejected_until[target.name] = now + _EJECTION_SECONDS
            self._errors[target.name] = 0
