"""What happened to the latest requests, step by step."""

from collections import OrderedDict
from typing import Final, Self

from attrs import frozen

# A request has some ten steps; one that retries all the time stops here.
MAX_STEPS: Final = 64


@frozen
class TraceEvent:
    """One step of a request; `at` is in seconds of the boot clock."""

    at: float
    event: str
    detail: str


class TraceBook:
    """Steps of the latest requests; older requests are forgotten."""

    def __init__(self, capacity: int) -> None:
        """Remembers so many requests, none of them if zero."""
        self._capacity = capacity
        self._traces: OrderedDict[str, list[TraceEvent]] = OrderedDict()

    @classmethod
    def from_capacity(cls, capacity: int) -> Self:
        """Makes a book of so many requests."""
        return cls(capacity)

    def note(
        self,
        request_id: str,
        event: str,
        detail: str,
        now: float,
    ) -> None:
        """Adds a step to a request."""
        steps = self._traces.get(request_id)
        if steps is None:
            steps = []
            self._traces[request_id] = steps
            if len(self._traces) > self._capacity:
                self._traces.popitem(last=False)
        if len(steps) < MAX_STEPS:
            steps.append(TraceEvent(now, event, detail))

    def explain(self, request_id: str) -> tuple[TraceEvent, ...] | None:
        """Returns a request's steps in order, or None if not remembered."""
        steps = self._traces.get(request_id)
        return None if steps is None else tuple(steps)
