"""Quarantines requests that crash the targets that run them.

A crash report names the fingerprint of a request and the target that crashed
while it ran the request. Reports go to the fingerprint's holder, the VM that
has the lease for it. After crashes of two targets the holder has the request
refused by all VMs for a while. Each VM keeps the refused fingerprints in a
bounded cache.
"""

import hashlib
from collections import OrderedDict

from attrs import Factory, define, frozen

# A request is quarantined after it has crashed this many different targets.
CRASHED_TARGETS_LIMIT = 2
QUARANTINE_SECONDS = 60.0
# Crashes count until this long after the last one.
CRASH_MEMORY_SECONDS = 300.0
MAX_FINGERPRINTS = 4096


@frozen
class CrashReport:
    """A target crashed while it ran a request with this fingerprint."""

    fingerprint: str
    target: str


@define
class _CrashRecord:
    crashed_targets: set[str] = Factory(set)
    crashed_at: float = 0
    refused_until: float = 0


class Quarantine:
    """The crashes reported to the holder, by fingerprint.

    If there are too many fingerprints, the one that was reported the longest
    ago is forgotten.
    """

    def __init__(
        self,
        limit: int = MAX_FINGERPRINTS,
        crash_limit: int = CRASHED_TARGETS_LIMIT,
    ) -> None:
        """Starts without crashes.

        Args:
            limit: The most fingerprints that are remembered.
            crash_limit: How many different targets a request may crash
                until it is quarantined.
        """
        self._limit = limit
        self._crash_limit = crash_limit
        self._records: OrderedDict[str, _CrashRecord] = OrderedDict()

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Whether requests with this fingerprint are refused."""
        return self.remaining_seconds(fingerprint, now) > 0

    def remaining_seconds(self, fingerprint: str, now: float) -> float:
        """Returns how many seconds of a fingerprint's quarantine remain."""
        record = self._records.get(fingerprint)
        return max(0, record.refused_until - now) if record else 0

    def clear_crashes(self, fingerprint: str) -> None:
        """Ends the quarantine of an answered request; forgets its crashes."""
        self._records.pop(fingerprint, None)

    def record_crash(self, report: CrashReport, now: float) -> float:
        """Counts a crash; returns for how long to refuse the request.

        The result is in seconds, and zero while the request is allowed.
        """
        record = self._records.get(report.fingerprint)
        if record is None or now - record.crashed_at > CRASH_MEMORY_SECONDS:
            record = _CrashRecord()
        self._records[report.fingerprint] = record
        self._records.move_to_end(report.fingerprint)
        record.crashed_targets.add(report.target)
        record.crashed_at = now
        if len(record.crashed_targets) >= self._crash_limit:
            record.refused_until = now + QUARANTINE_SECONDS
        if len(self._records) > self._limit:
            self._records.popitem(last=False)
        return self.remaining_seconds(report.fingerprint, now)

    def withdraw_crash(self, report: CrashReport) -> None:
        """Takes back a crash, because the target turned out to be alive."""
        record = self._records.get(report.fingerprint)
        if record is None:
            return
        record.crashed_targets.discard(report.target)
        if len(record.crashed_targets) < self._crash_limit:
            record.refused_until = 0


class QuarantineCache:
    """The fingerprints of the requests that a VM refuses to run."""

    def __init__(self, limit: int = MAX_FINGERPRINTS) -> None:
        """Starts empty; remembers at most `limit` fingerprints."""
        self._limit = limit
        self._refused_until: OrderedDict[str, float] = OrderedDict()

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Whether requests with this fingerprint are refused."""
        return now < self._refused_until.get(fingerprint, now)

    def record_refusal(
        self, fingerprint: str, remaining: float, now: float
    ) -> None:
        """Has requests with `fingerprint` refused for `remaining` seconds."""
        self._refused_until[fingerprint] = now + remaining
        self._refused_until.move_to_end(fingerprint)
        if len(self._refused_until) > self._limit:
            self._refused_until.popitem(last=False)


def fingerprint(method: str, path: str, team: str, body_sha256: str) -> str:
    """Returns the fingerprint of a request, a SHA-256 in hexadecimal.

    Each part is prefixed with its length, so that requests with different
    parts cannot have the same concatenation.
    """
    digest = hashlib.sha256()
    for part in (method, path, team, body_sha256):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, 'big'))
        digest.update(encoded)
    return digest.hexdigest()
