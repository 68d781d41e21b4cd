"""Counters with one label each, kept as plain numbers."""

import enum
from collections import Counter
from collections.abc import Iterable
from typing import Final

OTHER_LABEL: Final = 'other'

# Labels come from closed lists and service names; this bound holds if one
# does not.
MAX_LABELS: Final = 256


class Count(enum.Enum):
    """What is counted, as (metric name, label name, description)."""

    REFUSALS = (
        'jacinthcroft_refusals',
        'reason',
        'Requests that were refused.',
    )
    EJECTIONS = (
        'jacinthcroft_ejections',
        'service',
        'Targets that were taken out for their health.',
    )

    SENDS = (
        'jacinthcroft_sends',
        'outcome',
        'Requests sent to targets, by how that ended.',
    )
    DECISIONS = (
        'jacinthcroft_decisions',
        'decision',
        'Decisions made for this VM and those that follow it.',
    )
    PLATFORM_READS = (
        'jacinthcroft_platform_reads',
        'outcome',
        'Calls to the platform.',
    )

    @property
    def metric_name(self) -> str:
        """The counter's name."""
        return self.value[0]

    @property
    def label_name(self) -> str:
        """The name of its label."""
        return self.value[1]

    @property
    def description(self) -> str:
        """What it counts."""
        return self.value[2]


class CountTable:
    """All counters of a VM."""

    def __init__(self) -> None:
        """Starts at zero."""
        self._counts: dict[Count, Counter[str]] = {
            count: Counter() for count in Count
        }

    def add(self, count: Count, label: str, amount: int) -> None:
        """Adds to a counter."""
        counter = self._counts[count]
        if label not in counter and len(counter) >= MAX_LABELS:
            label = OTHER_LABEL
        counter[label] += amount

    def series(self, count: Count) -> Iterable[tuple[str, int]]:
        """Returns a counter's labels with their numbers."""
        return tuple(self._counts[count].items())
