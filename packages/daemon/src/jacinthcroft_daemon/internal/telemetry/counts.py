"""Metric counters with one label each, kept as plain integers."""

import enum
from collections import Counter
from collections.abc import Iterable
from typing import Final

OTHER_LABEL: Final = 'other'

# Labels are enum values and service names, of which there are few. The limit
# bounds memory and scrapes if other labels get in.
MAX_LABELS_PER_COUNTER: Final = 256


class Count(enum.Enum):
    """The counters, each as (metric name, label name, description)."""

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
        """The name of the metric, without the suffix `_total`."""
        return self.value[0]

    @property
    def label_name(self) -> str:
        """The name of the metric's only label."""
        return self.value[1]

    @property
    def description(self) -> str:
        """The help text of the metric."""
        return self.value[2]


class CountTable:
    """The values of all counters of a VM."""

    def __init__(self) -> None:
        """Creates every counter without labels."""
        self._counts: dict[Count, Counter[str]] = {
            count: Counter() for count in Count
        }

    def add(self, count: Count, label: str, amount: int) -> None:
        """Adds an amount to a counter under a label.

        When the counter has `MAX_LABELS_PER_COUNTER` labels, any further label
        is counted as `OTHER_LABEL`.
        """
        counter = self._counts[count]
        if label not in counter and len(counter) >= MAX_LABELS_PER_COUNTER:
            label = OTHER_LABEL
        counter[label] += amount

    def list_series(self, count: Count) -> Iterable[tuple[str, int]]:
        """Returns the labels of a counter with their values."""
        return tuple(self._counts[count].items())
