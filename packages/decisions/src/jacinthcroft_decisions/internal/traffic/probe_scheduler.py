"""Schedules the probes of a service's ejected targets.

An ejected target gets no requests from callers until its trial, in which it
gets one at a time. Only one VM probes a service's targets, and it probes one
target per interval, since a probe costs a target about as much as a request.
The answer to a probe is only a hint: it may delay the trial of an ejected
target, or begin it early if the target has restarted. It never ends or causes
an ejection by itself.
"""

from collections import Counter
from collections.abc import Iterable

PROBE_INTERVAL_SECONDS = 0.5
# A target is probed from this long before its trial begins.
PROBE_LEAD_SECONDS = 0.5
# At most this many failed probes delay a trial.
MAX_FAILED_PROBES = 2


class ProbeScheduler:
    """Chooses which target is probed next, and counts failed probes."""

    def __init__(self) -> None:
        """Starts without probes."""
        self._next_probe_at: float = 0
        self._probe_counts: Counter[str] = Counter()
        self._failed_counts: Counter[str] = Counter()
        self._passed: set[str] = set()

    def next_target(self, candidates: Iterable[str], now: float) -> str | None:
        """Returns the target to probe now, if any, and counts the probe.

        Candidates that have passed a probe are left out. Of the others, the
        one with the fewest probes comes first.
        """
        if now < self._next_probe_at:
            return None
        unpassed = sorted(set(candidates) - self._passed)
        if not unpassed:
            return None
        self._next_probe_at = now + PROBE_INTERVAL_SECONDS
        target = min(unpassed, key=self._probe_counts.__getitem__)
        self._probe_counts[target] += 1
        return target

    def record_result(self, target: str, *, is_ok: bool) -> bool:
        """Records a probe's result; returns whether to delay the trial."""
        if is_ok:
            self._passed.add(target)
            return False
        self._failed_counts[target] += 1
        return self._failed_counts[target] <= MAX_FAILED_PROBES

    def reset_target(self, target: str) -> None:
        """Forgets the probes of a target whose trial begins."""
        self._probe_counts.pop(target, None)
        self._failed_counts.pop(target, None)
        self._passed.discard(target)
