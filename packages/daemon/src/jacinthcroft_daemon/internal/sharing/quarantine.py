"""Quarantines requests that crash targets, on all VMs.

A request is known by its fingerprint. The fingerprint's holder is the VM that
has the lease on its shard; it counts the targets that the request crashed. If
they are too many, it notifies all VMs at once, since the next resend of the
request may reach any of them.
"""

import asyncio
from typing import Final

from attrs import frozen
from jacinthcroft_decisions.traffic import (
    CrashReport,
    Quarantine,
    QuarantineCache,
)
from jacinthcroft_http import now

from jacinthcroft_daemon.internal.fleet.view import FleetView
from jacinthcroft_daemon.internal.peers import (
    NoPeerReply,
    PeerClient,
    PeerRouter,
)
from jacinthcroft_daemon.internal.sharing.coordination import (
    CoordinationService,
)
from jacinthcroft_daemon.internal.sharing.holders import (
    HolderFinder,
    HolderRequest,
)
from jacinthcroft_daemon.internal.telemetry import log_event

_CRASH_REPORT_KIND: Final = 'strike'
_QUARANTINE_NOTICE_KIND: Final = 'quarantine'
_REPLY_TIMEOUT_SECONDS: Final = 0.5


@frozen
class CrashReportReply:
    """Whether to refuse the request; None if the VM is not the holder."""

    is_quarantined: bool | None


@frozen
class QuarantineNotice:
    """Tells a VM to refuse a request for `remaining` seconds."""

    fingerprint: str
    remaining: float


@frozen
class QuarantineNoticeReply:
    """Confirms that the notice arrived."""

    vm: str


class QuarantineService:
    """Reports and counts crashes, and knows which requests to refuse."""

    def __init__(
        self,
        view: FleetView,
        coordination: CoordinationService,
        finder: HolderFinder,
        peers: PeerClient,
    ) -> None:
        """Starts without crashes; `coordination` has this VM's leases."""
        self._view = view
        self._coordination = coordination
        self._finder = finder
        self._peers = peers
        self._quarantine = Quarantine()
        self._cache = QuarantineCache()
        self._notify_tasks: set[
            asyncio.Task[QuarantineNoticeReply | NoPeerReply]
        ] = set()

    def register(self, router: PeerRouter) -> None:
        """Registers the handlers of crash reports and quarantine notices."""
        router.register(
            _CRASH_REPORT_KIND, CrashReport, self._handle_crash_report
        )
        router.register(
            _QUARANTINE_NOTICE_KIND,
            QuarantineNotice,
            self._handle_quarantine_notice,
        )

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether this VM refuses the request."""
        return self._cache.is_quarantined(fingerprint, now())

    async def report_crash(self, fingerprint: str, target: str) -> bool:
        """Reports a crash; returns whether the request is now quarantined."""
        crash = CrashReport(fingerprint, target)
        holder_request = HolderRequest(
            _CRASH_REPORT_KIND,
            crash,
            CrashReportReply,
            _REPLY_TIMEOUT_SECONDS,
            self._handle_crash_report,
        )
        for vm in self._finder.likely_holders(f'fingerprint:{fingerprint}'):
            reply = await self._finder.send_request(vm, holder_request)
            if (
                isinstance(reply, CrashReportReply)
                and reply.is_quarantined is not None
            ):
                return reply.is_quarantined
        # Without a holder this VM counts the crashes that it observes itself.
        # Otherwise a request could crash targets until the shard has a holder.
        return self._record_crash(crash)

    def _record_as_holder(self, crash: CrashReport) -> bool | None:
        resource = f'fingerprint:{crash.fingerprint}'
        shard = self._view.placement.shard_of(resource)
        if not self._coordination.coordinator.holds(shard, now()):
            return None
        return self._record_crash(crash)

    def _record_crash(self, crash: CrashReport) -> bool:
        remaining = self._quarantine.record_crash(crash, now())
        if remaining > 0:
            log_event('warning', 'quarantined', fingerprint=crash.fingerprint)
            self._notify_all(QuarantineNotice(crash.fingerprint, remaining))
        return remaining > 0

    def _notify_all(self, notice: QuarantineNotice) -> None:
        self._cache.record_refusal(notice.fingerprint, notice.remaining, now())
        for vm in self._view.other_vms:
            notify_task = asyncio.create_task(
                self._peers.send_request(
                    vm,
                    _QUARANTINE_NOTICE_KIND,
                    notice,
                    QuarantineNoticeReply,
                    _REPLY_TIMEOUT_SECONDS,
                ),
            )
            self._notify_tasks.add(notify_task)
            notify_task.add_done_callback(self._notify_tasks.discard)

    async def _handle_crash_report(
        self, sender: str, crash: CrashReport
    ) -> CrashReportReply:
        return CrashReportReply(self._record_as_holder(crash))

    async def _handle_quarantine_notice(
        self,
        sender: str,
        notice: QuarantineNotice,
    ) -> QuarantineNoticeReply:
        self._cache.record_refusal(notice.fingerprint, notice.remaining, now())
        return QuarantineNoticeReply(self._view.vm)
