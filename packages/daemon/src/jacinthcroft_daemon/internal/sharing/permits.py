"""The asking side of dispatch permits: what this VM may dispatch now.

A request takes an idle permit where there is one. Otherwise it waits for
whichever comes first: a permit that another request has finished with, or
the holder's answer to a question of its own.
"""

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import Final, TypeAlias

from attrs import define, field
from jacinthcroft_config import Service
from jacinthcroft_decisions.traffic import (
    HeldPermit,
    PermitPool,
    PermitReport,
    PermitRequest,
    RunOutcome,
)
from jacinthcroft_http import now

from jacinthcroft_daemon.internal.fleet.view import FleetView
from jacinthcroft_daemon.internal.peers import PeerSilent
from jacinthcroft_daemon.internal.sharing.held_cells import (
    PERMIT_REQUEST_KIND,
    REPORTS_KIND,
    HeldCells,
    PermitReply,
    ReportBatch,
    ReportBatchReply,
)
from jacinthcroft_daemon.internal.sharing.holders import (
    HolderFinder,
    HolderRequest,
)

# A holder that freezes is noticed within this time; the next candidate may
# have taken over by then.
_MAX_PATIENCE_SECONDS: Final = 1.0
_REPLY_GRACE_SECONDS: Final = 0.25
_NO_HOLDER_PAUSE_SECONDS: Final = 0.05
_REPORT_TIMEOUT_SECONDS: Final = 1.0
_REPORT_TRIES: Final = 3
_HOUSEKEEPING_SECONDS: Final = 0.1


@dataclass(frozen=True)
class NoPermit:
    """No permit came in time."""


@define
class _Question:
    cell: str
    team: str
    request_class: str
    deadline: float


_Waiter: TypeAlias = asyncio.Future[HeldPermit]


@define
class _CellDesk:
    """What this VM holds of one cell, and who waits for it."""

    pool: PermitPool
    waiters: deque[_Waiter] = field(factory=deque)
    reporting: asyncio.Task[None] | None = None


class PermitService:
    """Acquires permits for requests and reports how they ended."""

    def __init__(
        self,
        view: FleetView,
        cells: HeldCells,
        finder: HolderFinder,
    ) -> None:
        """Asks `cells` directly where this VM is the holder itself."""
        self._view = view
        self._cells = cells
        self._finder = finder
        self._desks: dict[str, _CellDesk] = {}
        self._asking: set[asyncio.Task[None]] = set()
        self._in_use = 0

    @property
    def running_request_count(self) -> int:
        """How many requests of this VM are under way to targets."""
        return self._in_use

    async def acquire(
        self,
        service: Service,
        team: str,
        request_class: str,
        deadline: float,
    ) -> HeldPermit | NoPermit:
        """Returns a permit, waiting for it until `deadline` at the most."""
        desk = self._desk(service.name)
        if not desk.waiters:
            held = self._take(desk)
            if held is not None:
                return held
        loop = asyncio.get_running_loop()
        waiter: _Waiter = loop.create_future()
        desk.waiters.append(waiter)
        question = _Question(service.name, team, request_class, deadline)
        asking = asyncio.create_task(self._ask_until(question, desk, waiter))
        self._asking.add(asking)
        asking.add_done_callback(self._asking.discard)
        try:
            return await self._await_permit(waiter, asking)
        except asyncio.CancelledError:
            self._give_up(service.name, waiter)
            raise
        finally:
            self._leave_queue(desk, waiter)

    def finish_run(
        self,
        cell: str,
        held: HeldPermit,
        outcome: RunOutcome,
        latency: float,
        boot_id: str | None = None,
        *,
        is_draining: bool = False,
    ) -> None:
        """Takes a permit back from a request, and tells the holder."""
        self._in_use -= 1
        desk = self._desk(cell)
        desk.pool.finish_run(
            held.permit_id,
            outcome,
            latency,
            boot_id,
            is_draining,
            bool(desk.waiters),
            now(),
        )
        self._serve_waiters(desk)
        if desk.pool.has_urgent_report:
            # A slot waits for its next user; what is kept can be told later.
            self._report(cell, desk)

    async def run(self) -> None:
        """Lets unused permits expire and reports them, for ever."""
        while True:
            for cell, desk in self._desks.items():
                desk.pool.return_unusable(now())
                self._report(cell, desk)
            await asyncio.sleep(_HOUSEKEEPING_SECONDS)

    def _desk(self, cell: str) -> _CellDesk:
        desk = self._desks.get(cell)
        if desk is None:
            desk = _CellDesk(PermitPool(self._view.vm))
            self._desks[cell] = desk
        return desk

    async def _await_permit(
        self,
        waiter: _Waiter,
        asking: asyncio.Task[None],
    ) -> HeldPermit | NoPermit:
        await asyncio.wait(
            (waiter, asking),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if waiter.done():
            return waiter.result()
        return NoPermit()

    def _give_up(self, cell: str, waiter: _Waiter) -> None:
        # The caller may leave in the moment between the permit's arrival and
        # its use; nobody else would ever finish it.
        if waiter.done() and not waiter.cancelled():
            held = waiter.result()
            self.finish_run(cell, held, RunOutcome.UNUSED, 0)

    def _leave_queue(self, desk: _CellDesk, waiter: _Waiter) -> None:
        if waiter in desk.waiters:
            desk.waiters.remove(waiter)
        waiter.cancel()

    def _take(self, desk: _CellDesk) -> HeldPermit | None:
        held = desk.pool.take_permit(now())
        if held is not None:
            self._in_use += 1
        return held

    def _serve_waiters(self, desk: _CellDesk) -> None:
        while desk.waiters:
            held = self._take(desk)
            if held is None:
                return
            desk.waiters.popleft().set_result(held)
        desk.pool.return_surplus(now())

    async def _ask_until(
        self,
        question: _Question,
        desk: _CellDesk,
        waiter: _Waiter,
    ) -> None:
        while now() < question.deadline and not waiter.done():
            asked_at = now()
            reply = await self._ask_holder(question)
            if reply.permit is not None:
                desk.pool.add_permit(reply.permit, asked_at, now())
                self._serve_waiters(desk)
                self._report(question.cell, desk)
                if waiter.done():
                    return
            elif reply.refusal is not None:
                return
            else:
                await asyncio.sleep(_NO_HOLDER_PAUSE_SECONDS)

    async def _ask_holder(self, question: _Question) -> PermitReply:
        thing = f'cell:{question.cell}'
        for vm in self._finder.likely_holders(thing):
            reply = await self._ask_one(vm, question)
            if reply.permit is not None or reply.refusal is not None:
                self._finder.record_holder(thing, vm)
                return reply
        return PermitReply()

    async def _ask_one(self, vm: str, question: _Question) -> PermitReply:
        patience = min(question.deadline - now(), _MAX_PATIENCE_SECONDS)
        if patience <= 0:
            return PermitReply()
        ask = PermitRequest(
            cell=question.cell,
            vm=self._view.vm,
            zone=self._view.zone,
            team=question.team,
            request_class=question.request_class,
            patience=patience,
        )
        asked = HolderRequest(
            PERMIT_REQUEST_KIND,
            ask,
            PermitReply,
            patience + _REPLY_GRACE_SECONDS,
            self._cells.handle_permit_request,
        )
        reply = await self._finder.send_request(vm, asked)
        return PermitReply() if isinstance(reply, PeerSilent) else reply

    def _report(self, cell: str, desk: _CellDesk) -> None:
        # One batch at a time for each cell; what comes up meanwhile joins
        # the next one.
        if desk.reporting is not None and not desk.reporting.done():
            return
        reports = desk.pool.take_reports(now())
        if reports:
            desk.reporting = asyncio.create_task(
                self._send_reports(cell, desk, reports),
            )

    async def _send_reports(
        self,
        cell: str,
        desk: _CellDesk,
        reports: tuple[PermitReport, ...],
    ) -> None:
        batch = ReportBatch(cell, reports)
        for _ in range(_REPORT_TRIES):
            sent_at = now()
            answered = await self._send_batch(batch)
            if answered.reply is not None:
                desk.pool.apply_renewals(
                    answered.reply.renewals,
                    answered.reply.recalled,
                    sent_at,
                    now(),
                )
                break
        further = desk.pool.take_reports(now())
        if further:
            await self._send_reports(cell, desk, further)

    async def _send_batch(self, batch: ReportBatch) -> ReportBatchReply:
        question = HolderRequest(
            REPORTS_KIND,
            batch,
            ReportBatchReply,
            _REPORT_TIMEOUT_SECONDS,
            self._cells.handle_report_batch,
        )
        for vm in self._finder.likely_holders(f'cell:{batch.cell}'):
            reply = await self._finder.send_request(vm, question)
            if isinstance(reply, ReportBatchReply) and reply.reply is not None:
                return reply
        return ReportBatchReply(None)
