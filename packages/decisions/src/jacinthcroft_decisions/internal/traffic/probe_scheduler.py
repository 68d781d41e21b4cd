"""Which target the cell's one prober asks next, and when.

A probe costs a target about as much as a request, and its answer is only a
hint: it may hold back the trial of an ejected target for a while, or begin
it early where it tells of a restart, and never ends or causes an ejection by
itself.
"""

from collections import Counter
from collections.abc import Iterable

PROBE_INTERVAL_SECONDS = 0.5
# A target is probed so long before its trial begins.
PROBE_LEAD_SECONDS = 0.5
MAX_FAILED_PROBES = 2


class ProbeScheduler:
    """Probes of the targets whose trial is due."""

    def __init__(self) -> None:
        """Starts with no probe made."""
        self._next_probe_at: float = 0
        self._asked: Counter[str] = Counter()
        self._failed: Counter[str] = Counter()
        self._passed: set[str] = set()

    def next_target(self, due: Iterable[str], now: float) -> str | None:
        """Returns the target to probe now, and counts it as asked."""
        if now < self._next_probe_at:
            return None
        open_targets = sorted(set(due) - self._passed)
        if not open_targets:
            return None
        self._next_probe_at = now + PROBE_INTERVAL_SECONDS
        target = min(open_targets, key=self._asked.__getitem__)
        self._asked[target] += 1
        return target

    def note(self, target: str, *, is_ok: bool) -> bool:
        """Takes in an answer; returns whether the trial should wait."""
        if is_ok:
            self._passed.add(target)
            return False
        self._failed[target] += 1
        return self._failed[target] <= MAX_FAILED_PROBES

    def forget(self, target: str) -> None:
        """Starts over for a target that was readmitted or tried."""
        self._asked.pop(target, None)
        self._failed.pop(target, None)
        self._passed.discard(target)
