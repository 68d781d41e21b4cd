"""Round robin over targets, with ejection after consecutive errors."""

import math
from collections.abc import Sequence

from attrs import define, field
from jacinthcroft_config import Target

from jacinthcroft_testkit.internal.baseline.errors import ConsecutiveErrors


@define(eq=False)
class Rotation:
    """One VM's view of a service's targets.

    A target with errors in a row is left out for a while, unless fewer than
    the floor would remain.
    """

    _targets: Sequence[Target]
    _floor: float
    _next: int = field(default=0, init=False)
    _errors: ConsecutiveErrors = field(factory=ConsecutiveErrors, init=False)

    def pick(self, now: float) -> Target | None:
        """Returns the next target, None without any."""
        if not self._targets:
            return None
        usable = [
            target
            for target in self._targets
            if not self._errors.is_ejected(target.name, now)
        ]
        least = math.ceil(self._floor * len(self._targets))
        choices = usable if len(usable) >= least else self._targets
        target = choices[self._next % len(choices)]
        self._next += 1
        return target

    def note(self, target: Target, now: float, *, is_error: bool) -> None:
        """Counts an outcome."""
        self._errors.note(target.name, is_error=is_error, now=now)
