"""Keeps the steps of the latest requests in memory."""

from collections import OrderedDict
from typing import Final, Self

from attrs import frozen

# A request has about ten steps; this bounds a request that retries often.
MAX_STEPS: Final = 64


@frozen
class TraceEvent:
    """One step of a request; `at` is in seconds of the boot clock."""

    at: float
    event: str
    detail: str


class TraceStore:
    """The steps of the latest requests; older requests are removed."""

    def __init__(self, capacity: int) -> None:
        """Keeps the latest `capacity` requests."""
        self._capacity = capacity
        self._traces: OrderedDict[str, list[TraceEvent]] = OrderedDict()

    @classmethod
    def from_capacity(cls, capacity: int) -> Self:
        """Creates a store for `capacity` requests."""
        return cls(capacity)

    def record_step(
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

    def find_steps(self, request_id: str) -> tuple[TraceEvent, ...] | None:
        """Returns a request's steps in order, or None if it is unknown."""
        steps = self._traces.get(request_id)
        return None if steps is None else tuple(steps)
