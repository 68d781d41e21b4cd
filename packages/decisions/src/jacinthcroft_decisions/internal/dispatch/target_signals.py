"""What targets signal in their responses, and how a VM keeps to it.

A target that is about to leave says so in its responses, often before its
entry does. One that is overloaded may ask the VM that it answers to wait. The
VM keeps to both by itself, also while it can't reach the deciding VM.
"""

import re
from collections import OrderedDict
from typing import Final

from attrs import define, field, frozen

# Longer waits are taken for a fault of the target and ignored.
MAX_WAIT_SECONDS: Final = 86_400.0
# The oldest of more leaving targets are forgotten.
MAX_LEAVING_TARGETS: Final = 4096
_SECONDS: Final = re.compile(r'[0-9]{1,9}(\.[0-9]{1,9})?')


@frozen
class TargetSignal:
    """What a target signals in a response.

    A target that `is_leaving` wants no further request. It wants none from the
    VM that it answered for `wait` seconds.
    """

    is_leaving: bool = False
    wait: float = 0

    @property
    def is_empty(self) -> bool:
        """Whether the response signals nothing."""
        return not self.is_leaving and not self.wait


@frozen
class HeldTarget:
    """A target to which a VM sends nothing, for `seconds_left` or for good."""

    incarnation: str
    is_leaving: bool
    seconds_left: float

    @property
    def target_id(self) -> str:
        """The id of the target."""
        return self.incarnation.rpartition('@')[0]


def parse_wait(retry_after: str | None) -> float:
    """Returns the seconds that a `Retry-After` asks for.

    Returns:
        0 if there is no such header, or if it is a date, negative, no plain
        number of seconds, or longer than a day.
    """
    text = (retry_after or '').strip()
    if _SECONDS.fullmatch(text) is None:
        return 0
    seconds = float(text)
    return seconds if seconds <= MAX_WAIT_SECONDS else 0


@define
class HeldTargets:
    """The targets to which this VM sends nothing; times on its clock.

    They are known by incarnation: a target that has started again, under its
    id or another one, is free of what the former process asked for.
    """

    _leaving: OrderedDict[str, None] = field(factory=OrderedDict)
    _waits: dict[str, float] = field(factory=dict)

    @property
    def leaving_count(self) -> int:
        """How many targets leave."""
        return len(self._leaving)

    def record(
        self, incarnation: str, signal: TargetSignal, now: float
    ) -> None:
        """Records what a target signalled."""
        if signal.is_leaving:
            self._leaving[incarnation] = None
            self._leaving.move_to_end(incarnation)
        if len(self._leaving) > MAX_LEAVING_TARGETS:
            self._leaving.popitem(last=False)
        if signal.wait:
            until = max(self._waits.get(incarnation, 0), now + signal.wait)
            self._waits[incarnation] = until

    def may_send(self, incarnation: str, now: float) -> bool:
        """Whether the target may get a request from this VM now."""
        if incarnation in self._leaving:
            return False
        return now >= self._waits.get(incarnation, now)

    def list_held(self, now: float) -> list[HeldTarget]:
        """Returns all targets that get nothing now; forgets ended waits."""
        self._waits = {
            incarnation: until
            for incarnation, until in self._waits.items()
            if until > now
        }
        leaving = [HeldTarget(name, True, 0) for name in self._leaving]
        waiting = [
            HeldTarget(name, is_leaving=False, seconds_left=until - now)
            for name, until in self._waits.items()
            if name not in self._leaving
        ]
        return leaving + waiting
