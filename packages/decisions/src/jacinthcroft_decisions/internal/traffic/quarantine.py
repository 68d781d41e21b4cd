"""Stops requests that take down each target that runs them.

A strike names the request's fingerprint and the target that was lost. After
strikes on two targets the fingerprint's holder has it refused everywhere for
a while; the VMs remember the refusal in a small cache.
"""

import hashlib
from collections import OrderedDict

from attrs import Factory, define, frozen

CRASHED_TARGETS_LIMIT = 2
QUARANTINE_SECONDS = 60.0
CRASH_MEMORY_SECONDS = 300.0
MAX_FINGERPRINTS = 4096


@frozen
class CrashReport:
    """A target was lost while it ran a request with this fingerprint."""

    fingerprint: str
    target: str


@define
class _Record:
    crashed_targets: set[str] = Factory(set)
    crashed_at: float = 0
    until: float = 0


class Quarantine:
    """The holder's strikes against fingerprints, the oldest dropped."""

    def __init__(
        self,
        limit: int = MAX_FINGERPRINTS,
        crash_limit: int = CRASHED_TARGETS_LIMIT,
    ) -> None:
        """Starts without strikes; remembers `limit` fingerprints."""
        self._limit = limit
        self._crash_limit = crash_limit
        self._records: OrderedDict[str, _Record] = OrderedDict()

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Whether requests with this fingerprint are refused."""
        return self.remaining_seconds(fingerprint, now) > 0

    def remaining_seconds(self, fingerprint: str, now: float) -> float:
        """Returns for how many more seconds they are refused."""
        record = self._records.get(fingerprint)
        return max(0, record.until - now) if record else 0

    def clear_crashes(self, fingerprint: str) -> None:
        """Forgets the strikes against a request that was answered."""
        self._records.pop(fingerprint, None)

    def record_crash(self, report: CrashReport, now: float) -> float:
        """Counts a lost target; returns the seconds of refusal, if any."""
        record = self._records.get(report.fingerprint)
        if record is None or now - record.crashed_at > CRASH_MEMORY_SECONDS:
            record = _Record()
        self._records[report.fingerprint] = record
        self._records.move_to_end(report.fingerprint)
        record.crashed_targets.add(report.target)
        record.crashed_at = now
        if len(record.crashed_targets) >= self._crash_limit:
            record.until = now + QUARANTINE_SECONDS
        if len(self._records) > self._limit:
            self._records.popitem(last=False)
        return self.remaining_seconds(report.fingerprint, now)


class QuarantineCache:
    """What a VM has heard of refused fingerprints."""

    def __init__(self, limit: int = MAX_FINGERPRINTS) -> None:
        """Starts empty; remembers `limit` fingerprints."""
        self._limit = limit
        self._until: OrderedDict[str, float] = OrderedDict()

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Whether requests with this fingerprint are refused."""
        return now < self._until.get(fingerprint, now)

    def record_refusal(
        self, fingerprint: str, remaining: float, now: float
    ) -> None:
        """Remembers a refusal for `remaining` seconds."""
        self._until[fingerprint] = now + remaining
        self._until.move_to_end(fingerprint)
        if len(self._until) > self._limit:
            self._until.popitem(last=False)


def fingerprint(method: str, path: str, team: str, body_sha256: str) -> str:
    """Returns the hexadecimal fingerprint of a request.

    The parts are length-prefixed, so that no two requests share one by the
    way their parts are joined.
    """
    digest = hashlib.sha256()
    for part in (method, path, team, body_sha256):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, 'big'))
        digest.update(encoded)
    return digest.hexdigest()
