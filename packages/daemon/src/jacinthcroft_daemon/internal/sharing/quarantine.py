"""Requests that crash targets: strikes, and refusing them everywhere.

The fingerprint's holder counts the targets that one request has lost. Its
verdict goes to all VMs at once, since the next resend may reach any of them.
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
_TIMEOUT_SECONDS: Final = 0.5


@frozen
class CrashReportReply:
    """Whether to refuse the request; None from a VM that is not the holder."""

    is_quarantined: bool | None


@frozen
class QuarantineNotice:
    """A request that every VM refuses for `remaining` seconds."""

    fingerprint: str
    remaining: float


@frozen
class QuarantineNoticeReply:
    """The verdict arrived."""

    vm: str


class QuarantineService:
    """Both sides of the quarantine at one VM."""

    def __init__(
        self,
        view: FleetView,
        coordination: CoordinationService,
        finder: HolderFinder,
        peers: PeerClient,
    ) -> None:
        """Counts strikes for the fingerprints whose shards this VM holds."""
        self._view = view
        self._coordination = coordination
        self._finder = finder
        self._peers = peers
        self._quarantine = Quarantine()
        self._cache = QuarantineCache()
        self._telling: set[
            asyncio.Task[QuarantineNoticeReply | NoPeerReply]
        ] = set()

    def register(self, router: PeerRouter) -> None:
        """Answers peers' strikes and verdicts."""
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
        """Reports a lost target; returns whether to refuse from now on."""
        strike = CrashReport(fingerprint, target)
        question = HolderRequest(
            _CRASH_REPORT_KIND,
            strike,
            CrashReportReply,
            _TIMEOUT_SECONDS,
            self._handle_crash_report,
        )
        for vm in self._finder.likely_holders(f'fingerprint:{fingerprint}'):
            reply = await self._finder.send_request(vm, question)
            if (
                isinstance(reply, CrashReportReply)
                and reply.is_quarantined is not None
            ):
                return reply.is_quarantined
        # Without a holder each VM counts what it lost itself; else a request
        # could go on crashing targets for as long as the shard has none.
        return self._judge(strike)

    def _count(self, strike: CrashReport) -> bool | None:
        thing = f'fingerprint:{strike.fingerprint}'
        shard = self._view.placement.shard_of(thing)
        if not self._coordination.coordinator.holds(shard, now()):
            return None
        return self._judge(strike)

    def _judge(self, strike: CrashReport) -> bool:
        remaining = self._quarantine.record_crash(strike, now())
        if remaining > 0:
            log_event('warning', 'quarantined', fingerprint=strike.fingerprint)
            self._tell_all(QuarantineNotice(strike.fingerprint, remaining))
        return remaining > 0

    def _tell_all(self, verdict: QuarantineNotice) -> None:
        self._cache.record_refusal(
            verdict.fingerprint, verdict.remaining, now()
        )
        for vm in self._view.other_vms:
            telling = asyncio.create_task(
                self._peers.send_request(
                    vm,
                    _QUARANTINE_NOTICE_KIND,
                    verdict,
                    QuarantineNoticeReply,
                    _TIMEOUT_SECONDS,
                ),
            )
            self._telling.add(telling)
            telling.add_done_callback(self._telling.discard)

    async def _handle_crash_report(
        self, sender: str, strike: CrashReport
    ) -> CrashReportReply:
        return CrashReportReply(self._count(strike))

    async def _handle_quarantine_notice(
        self,
        sender: str,
        verdict: QuarantineNotice,
    ) -> QuarantineNoticeReply:
        self._cache.record_refusal(
            verdict.fingerprint, verdict.remaining, now()
        )
        return QuarantineNoticeReply(self._view.vm)
