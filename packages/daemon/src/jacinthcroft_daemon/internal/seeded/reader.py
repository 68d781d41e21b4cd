"""Reads the platform while this VM is one of the fleet's readers."""

import asyncio
from collections.abc import Callable
from typing import Final

from attrs import define, field
from jacinthcroft_decisions.membership import Changes, Leadership
from jacinthcroft_http import now

from jacinthcroft_daemon.internal.seeded.deployment import (
    ReadFailure,
    ReadResult,
    Store,
)
from jacinthcroft_daemon.internal.seeded.documents_copy import DocumentsCopy
from jacinthcroft_daemon.internal.seeded.vm_metrics import VmMetrics
from jacinthcroft_daemon.internal.telemetry.counts import Count
from jacinthcroft_daemon.internal.telemetry.events import log_event

# How long a call waits for changes. A response without changes confirms that
# there were none, so this bounds the age of the fleet's copies.
WATCH_TIMEOUT_SECONDS: Final = 0.6
# The same for the first call after a change: the call that returned the change
# confirms the copy only as of its start.
CONFIRM_TIMEOUT_SECONDS: Final = 0.15
# Delay between a change and the next call, so that changes in quick succession
# cost one call.
SETTLE_DELAY_SECONDS: Final = 0.12
# Delay after a failed call; doubled for each further one up to the maximum.
RETRY_DELAY_SECONDS: Final = 0.2
MAX_RETRY_DELAY_SECONDS: Final = 1.6
# The delays of a VM that reads for itself are longer by this factor: while the
# platform is away, all VMs do.
OWN_RETRY_FACTOR: Final = 4.0
# How long this VM reads after another VM last asked it to.
ON_BEHALF_SECONDS: Final = 2.5


@define(eq=False)
class PlatformReader:
    """Updates the copy from the platform while this VM is a reader.

    A VM is a reader while its membership says so or another VM has asked it to.
    `_revision` is the platform's revision of the last response.
    `_must_read_all` is set if changes after the copy's version do not suffice.
    """

    _store: Store
    _copy: DocumentsCopy
    _leadership: Leadership
    _on_change: Callable[[], None]
    _metrics: VmMetrics
    _revision: int = 0
    _must_read_all: bool = False
    _has_changed: bool = False
    _failures: int = 0
    _on_behalf_until: float = 0
    _wake_event: asyncio.Event = field(factory=asyncio.Event)

    @property
    def is_reading(self) -> bool:
        """Whether this VM reads now, for others or for itself."""
        at = now()
        return (
            self._reads_for_others
            or self._leadership.sources.reads_platform(
                self._copy.state.age(at), at
            )
        )

    @property
    def is_failing(self) -> bool:
        """Whether the last call to the platform failed."""
        return self._failures > 0

    @property
    def _reads_for_others(self) -> bool:
        leadership = self._leadership
        return (
            leadership.is_leading
            or leadership.sources.is_appointed
            or now() <= self._on_behalf_until
        )

    def read_on_behalf(self) -> None:
        """Reads for `ON_BEHALF_SECONDS` because another VM gets no response."""
        if now() > self._on_behalf_until:
            log_event('info', 'reading-on-behalf')
        self._on_behalf_until = now() + ON_BEHALF_SECONDS
        self._wake_event.set()

    def wake(self) -> None:
        """Checks again whether this VM is a reader."""
        self._wake_event.set()

    async def run(self) -> None:
        """Reads while this VM is a reader, until cancelled."""
        while True:
            if not self.is_reading:
                self._failures = 0
                self._wake_event.clear()
                await self._wake_event.wait()
                continue
            pause = await self._read_once()
            if pause:
                await asyncio.sleep(pause)

    async def _read_once(self) -> float:
        started_at = now()
        timeout = WATCH_TIMEOUT_SECONDS
        if self._has_changed:
            timeout = CONFIRM_TIMEOUT_SECONDS
        # A copy that came from another VM is complete up to its version.
        revision = max(self._revision, self._copy.state.version)
        if self._must_read_all or not revision:
            outcome = await self._store.read_all()
        else:
            outcome = await self._store.wait_for_changes(revision, timeout)
        is_failure = isinstance(outcome, ReadFailure)
        label = 'failed' if is_failure else 'answered'
        self._metrics.count(Count.PLATFORM_READS, label)
        if isinstance(outcome, ReadFailure):
            return self._record_failure(outcome)
        if self._failures:
            self._failures = 0
            log_event('info', 'platform-back', at=outcome.at)
        return self._apply_result(outcome, started_at, timeout)

    def _record_failure(self, failure: ReadFailure) -> float:
        if failure.has_forgotten:
            log_event('info', 'platform-history-gone', at=self._revision)
            self._must_read_all = True
            return 0
        if not self._failures:
            log_event(
                'warning',
                'platform-lost',
                detail=failure.detail,
                age=round(self._copy.state.age(now()), 3),
            )
        self._failures += 1
        delay = RETRY_DELAY_SECONDS * float(2 ** min(self._failures - 1, 8))
        delay = min(MAX_RETRY_DELAY_SECONDS, delay)
        return delay if self._reads_for_others else delay * OWN_RETRY_FACTOR

    def _apply_result(
        self, result: ReadResult, started_at: float, timeout: float
    ) -> float:
        is_empty = not result.items and not result.is_whole
        changes = Changes(
            result.items,
            _find_newest_revision(result),
            is_whole=result.is_whole,
        )
        has_changed = self._copy.merge_changes(changes)
        waited = now() - started_at
        if is_empty and waited >= timeout:
            # The platform made this response no earlier than this time.
            self._copy.mark_confirmed(started_at + timeout)
        else:
            self._copy.mark_confirmed(started_at)
        self._revision = max(self._revision, result.at)
        self._has_changed = not is_empty
        if result.is_whole:
            self._must_read_all = False
        if has_changed:
            self._on_change()
        return 0 if is_empty else SETTLE_DELAY_SECONDS


def _find_newest_revision(result: ReadResult) -> int:
    if result.is_whole:
        return result.at
    return max((item.revision for item in result.items), default=0)
