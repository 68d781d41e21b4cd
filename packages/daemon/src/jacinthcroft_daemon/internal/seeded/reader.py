"""Reads the platform while this VM is one of the fleet's readers."""

import asyncio
from collections.abc import Callable
from typing import Final

from attrs import define, field
from jacinthcroft_decisions.membership import Changes
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

# How long a call waits for changes, in seconds. The answer confirms that
# there was none, so this bounds the age of what the fleet knows.
WATCH_SECONDS: Final = 0.6
# Between a change and the next call, in seconds, so that changes that come
# together cost one call.
SETTLE_SECONDS: Final = 0.12
# Wait after a failed call, in seconds; doubled up to the longest.
RETRY_SECONDS: Final = 0.2
MAX_RETRY_SECONDS: Final = 1.6
# How long another VM's wish for a reader holds, in seconds.
ON_BEHALF_SECONDS: Final = 2.5


@define(eq=False)
class PlatformReader:
    """Keeps the copy new while reading is this VM's part."""

    _store: Store
    _copy: DocumentsCopy
    _is_leading: Callable[[], bool]
    _on_change: Callable[[], None]
    _metrics: VmMetrics
    _at: int = 0
    _failures: int = 0
    _on_behalf_until: float = 0
    _wake: asyncio.Event = field(factory=asyncio.Event)

    @property
    def is_failing(self) -> bool:
        """Whether the platform does not answer this VM."""
        return self._failures > 0

    def read_on_behalf(self) -> None:
        """Reads for a while because another VM cannot."""
        if now() > self._on_behalf_until:
            log_event('info', 'reading-on-behalf')
        self._on_behalf_until = now() + ON_BEHALF_SECONDS
        self._wake.set()

    def wake(self) -> None:
        """Looks again whether reading is this VM's part."""
        self._wake.set()

    async def run(self) -> None:
        """Reads as long as it is this VM's part."""
        while True:
            if not self._is_leading() and now() > self._on_behalf_until:
                self._failures = 0
                self._wake.clear()
                await self._wake.wait()
                continue
            pause = await self._read_once()
            if pause:
                await asyncio.sleep(pause)

    async def _read_once(self) -> float:
        begun = now()
        if self._at:
            outcome = await self._store.wait_for_changes(
                max(self._at, self._copy.state.version),
                WATCH_SECONDS,
            )
        else:
            outcome = await self._store.read_all()
        is_failure = isinstance(outcome, ReadFailure)
        label = 'failed' if is_failure else 'answered'
        self._metrics.count(Count.PLATFORM_READS, label)
        if isinstance(outcome, ReadFailure):
            return self._note_failure(outcome)
        if self._failures:
            self._failures = 0
            log_event('info', 'platform-back', at=outcome.at)
        return self._take(outcome, begun)

    def _note_failure(self, failure: ReadFailure) -> float:
        if failure.has_forgotten:
            log_event('info', 'platform-history-gone', at=self._at)
            self._at = 0
            return 0
        if not self._failures:
            log_event(
                'warning',
                'platform-lost',
                detail=failure.detail,
                age=round(self._copy.state.age(now()), 3),
            )
        self._failures += 1
        doubled = RETRY_SECONDS * float(2 ** min(self._failures - 1, 8))
        return min(MAX_RETRY_SECONDS, doubled)

    def _take(self, reading: ReadResult, begun: float) -> float:
        is_empty = not reading.items and not reading.is_whole
        changes = Changes(
            reading.items,
            _newest(reading),
            is_whole=reading.is_whole,
        )
        is_new = self._copy.absorb(changes)
        waited = now() - begun
        if is_empty and waited >= WATCH_SECONDS:
            # The platform answered no sooner than that after the question.
            self._copy.confirm(begun + WATCH_SECONDS)
        else:
            self._copy.confirm(begun)
        self._at = max(self._at, reading.at)
        if is_new:
            self._on_change()
        return 0 if is_empty else SETTLE_SECONDS


def _newest(reading: ReadResult) -> int:
    if reading.is_whole:
        return reading.at
    return max((item.revision for item in reading.items), default=0)
