"""Which VMs a target has asked to wait, as the deciding VM knows it.

This answers the load of a burst in which many targets ask for a wait at once:
other VMs may still send to them, until a few VMs have been told the same. After
a wait a target gets one request at a time until one is served, so that the
requests held back do not reach it in a second burst.
"""

import math
from typing import Final

from attrs import define, field

# A target that asks this many VMs to wait at the same time gets no request from
# any VM: each further one would only be told the same.
MIN_VMS_FOR_ALL: Final = 3
# A VM reports a wait several times; its end then differs by the delays.
REPEAT_SECONDS: Final = 0.25


@define
class TargetHolds:
    """The waits that a target asked for; times on the deciding VM's clock."""

    _until: dict[str, float] = field(factory=dict)
    _held_at: float = -math.inf
    _is_tested: bool = True

    @property
    def is_clear(self) -> bool:
        """Whether there is no wait, and none that nothing was served since."""
        return self._is_tested and not self._until

    @property
    def is_untested(self) -> bool:
        """Whether nothing was served since the target last asked for a wait."""
        return not self._is_tested

    def hold(self, vm: str, until: float, now: float) -> None:
        """Records that a VM was asked to wait."""
        self._drop_ended(now)
        known = self._until.get(vm, now)
        is_repeat = vm in self._until and until <= known + REPEAT_SECONDS
        if until > now and not is_repeat:
            self._until[vm] = until
            self._held_at = now
            self._is_tested = False

    def record_served(self, started: float) -> None:
        """Records that a request was served that started at a time."""
        if started >= self._held_at:
            self._is_tested = True

    def ends_at(self, vm: str, now: float) -> float:
        """Returns when a VM may send again, `now` if it may already."""
        self._drop_ended(now)
        own = self._until.get(vm, now)
        if len(self._until) < MIN_VMS_FOR_ALL:
            return own
        return max(own, sorted(self._until.values())[-MIN_VMS_FOR_ALL])

    def holds_all(self, now: float) -> bool:
        """Whether no VM at all may send to the target."""
        return self.ends_at('', now) > now

    def _drop_ended(self, now: float) -> None:
        self._until = {
            vm: until for vm, until in self._until.items() if until > now
        }
