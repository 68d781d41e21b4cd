"""Acquires dispatch permits from the holders of the cells, and reports runs.

A cell is the set of targets of one service; its holder issues the permits. A
request takes an idle permit if this VM has one. Otherwise it waits until
another request frees a permit or the holder grants a new one.
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
from jacinthcroft_daemon.internal.peers import NoPeerReply
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

# Limits the wait for a holder that hangs; the next candidate may have taken
# over by then.
_MAX_PATIENCE_SECONDS: Final = 1.0
_REPLY_GRACE_SECONDS: Final = 0.25
_NO_HOLDER_RETRY_SECONDS: Final = 0.05
_REPORT_TIMEOUT_SECONDS: Final = 1.0
_MAX_REPORT_ATTEMPTS: Final = 3
_HOUSEKEEPING_INTERVAL_SECONDS: Final = 0.1


@dataclass(frozen=True)
class NoPermit:
    """No permit was granted before the deadline."""


@define
class _PermitNeed:
    cell: str
    team: str
    request_class: str
    deadline: float


_Waiter: TypeAlias = asyncio.Future[HeldPermit]


@define
class _CellPermits:
    """This VM's permits for one cell and the requests that wait for one."""

    pool: PermitPool
    waiters: deque[_Waiter] = field(factory=deque)
    report_task: asyncio.Task[None] | None = None


class PermitService:
    """Acquires permits for requests and reports how the runs ended."""

    def __init__(
        self,
        view: FleetView,
        cells: HeldCells,
        finder: HolderFinder,
    ) -> None:
        """Calls `cells` directly if this VM is the holder itself."""
        self._view = view
        self._cells = cells
        self._finder = finder
        self._permits_by_cell: dict[str, _CellPermits] = {}
        self._request_tasks: set[asyncio.Task[None]] = set()
        self._running_request_count = 0

    @property
    def running_request_count(self) -> int:
        """How many requests of this VM hold a permit."""
        return self._running_request_count

    async def acquire(
        self,
        service: Service,
        team: str,
        request_class: str,
        deadline: float,
    ) -> HeldPermit | NoPermit:
        """Returns a permit, waiting for it until `deadline` at the latest."""
        cell_permits = self._get_cell_permits(service.name)
        if not cell_permits.waiters:
            permit = self._take_idle_permit(cell_permits)
            if permit is not None:
                return permit
        loop = asyncio.get_running_loop()
        waiter: _Waiter = loop.create_future()
        cell_permits.waiters.append(waiter)
        need = _PermitNeed(service.name, team, request_class, deadline)
        request_task = asyncio.create_task(
            self._request_until_served(need, cell_permits, waiter)
        )
        self._request_tasks.add(request_task)
        request_task.add_done_callback(self._request_tasks.discard)
        try:
            return await self._wait_for_permit(waiter, request_task)
        except asyncio.CancelledError:
            self._return_unused_permit(service.name, waiter)
            raise
        finally:
            self._stop_waiting(cell_permits, waiter)

    def finish_run(
        self,
        cell: str,
        permit: HeldPermit,
        outcome: RunOutcome,
        latency: float,
        boot_id: str | None = None,
        *,
        is_draining: bool = False,
    ) -> None:
        """Takes a permit back from a request and queues a report on the run.

        Args:
            cell: The cell of the permit.
            permit: The permit that the run used.
            outcome: How the run ended.
            latency: The run's duration, in seconds.
            boot_id: The boot ID in the target's response, if any.
            is_draining: Whether the target's response says that it drains.
        """
        self._running_request_count -= 1
        cell_permits = self._get_cell_permits(cell)
        cell_permits.pool.finish_run(
            permit.permit_id,
            outcome,
            latency,
            boot_id,
            is_draining,
            bool(cell_permits.waiters),
            now(),
        )
        self._serve_waiters(cell_permits)
        if cell_permits.pool.has_urgent_report:
            # A returned permit frees a slot at the target, so it is reported
            # at once; reports on permits that are kept can wait.
            self._start_reporting(cell, cell_permits)

    async def run(self) -> None:
        """Returns unusable permits and sends reports until cancelled."""
        while True:
            for cell, cell_permits in self._permits_by_cell.items():
                cell_permits.pool.return_unusable(now())
                self._start_reporting(cell, cell_permits)
            await asyncio.sleep(_HOUSEKEEPING_INTERVAL_SECONDS)

    def _get_cell_permits(self, cell: str) -> _CellPermits:
        cell_permits = self._permits_by_cell.get(cell)
        if cell_permits is None:
            cell_permits = _CellPermits(PermitPool(self._view.vm))
            self._permits_by_cell[cell] = cell_permits
        return cell_permits

    async def _wait_for_permit(
        self,
        waiter: _Waiter,
        request_task: asyncio.Task[None],
    ) -> HeldPermit | NoPermit:
        await asyncio.wait(
            (waiter, request_task),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if waiter.done():
            return waiter.result()
        return NoPermit()

    def _return_unused_permit(self, cell: str, waiter: _Waiter) -> None:
        # If the caller is cancelled after the permit has arrived, nothing
        # else would return the permit.
        if waiter.done() and not waiter.cancelled():
            permit = waiter.result()
            self.finish_run(cell, permit, RunOutcome.UNUSED, 0)

    def _stop_waiting(
        self, cell_permits: _CellPermits, waiter: _Waiter
    ) -> None:
        if waiter in cell_permits.waiters:
            cell_permits.waiters.remove(waiter)
        waiter.cancel()

    def _take_idle_permit(
        self, cell_permits: _CellPermits
    ) -> HeldPermit | None:
        permit = cell_permits.pool.take_permit(now())
        if permit is not None:
            self._running_request_count += 1
        return permit

    def _serve_waiters(self, cell_permits: _CellPermits) -> None:
        while cell_permits.waiters:
            permit = self._take_idle_permit(cell_permits)
            if permit is None:
                return
            cell_permits.waiters.popleft().set_result(permit)
        cell_permits.pool.return_surplus(now())

    async def _request_until_served(
        self,
        need: _PermitNeed,
        cell_permits: _CellPermits,
        waiter: _Waiter,
    ) -> None:
        while now() < need.deadline and not waiter.done():
            asked_at = now()
            reply = await self._request_from_holder(need)
            if reply.permit is not None:
                cell_permits.pool.add_permit(reply.permit, asked_at, now())
                self._serve_waiters(cell_permits)
                self._start_reporting(need.cell, cell_permits)
                if waiter.done():
                    return
            elif reply.refusal is not None:
                return
            else:
                await asyncio.sleep(_NO_HOLDER_RETRY_SECONDS)

    async def _request_from_holder(self, need: _PermitNeed) -> PermitReply:
        resource = f'cell:{need.cell}'
        for vm in self._finder.likely_holders(resource):
            reply = await self._request_from_vm(vm, need)
            if reply.permit is not None or reply.refusal is not None:
                self._finder.record_holder(resource, vm)
                return reply
        return PermitReply()

    async def _request_from_vm(self, vm: str, need: _PermitNeed) -> PermitReply:
        patience = min(need.deadline - now(), _MAX_PATIENCE_SECONDS)
        if patience <= 0:
            return PermitReply()
        permit_request = PermitRequest(
            cell=need.cell,
            vm=self._view.vm,
            zone=self._view.zone,
            team=need.team,
            request_class=need.request_class,
            patience=patience,
        )
        holder_request = HolderRequest(
            PERMIT_REQUEST_KIND,
            permit_request,
            PermitReply,
            patience + _REPLY_GRACE_SECONDS,
            self._cells.handle_permit_request,
        )
        reply = await self._finder.send_request(vm, holder_request)
        return PermitReply() if isinstance(reply, NoPeerReply) else reply

    def _start_reporting(self, cell: str, cell_permits: _CellPermits) -> None:
        # One batch is in flight for each cell; further reports are sent in the
        # next batch.
        if (
            cell_permits.report_task is not None
            and not cell_permits.report_task.done()
        ):
            return
        reports = cell_permits.pool.take_reports(now())
        if reports:
            cell_permits.report_task = asyncio.create_task(
                self._send_reports(cell, cell_permits, reports),
            )

    async def _send_reports(
        self,
        cell: str,
        cell_permits: _CellPermits,
        reports: tuple[PermitReport, ...],
    ) -> None:
        batch = ReportBatch(cell, reports)
        for _ in range(_MAX_REPORT_ATTEMPTS):
            sent_at = now()
            batch_reply = await self._send_batch(batch)
            if batch_reply.reply is not None:
                cell_permits.pool.apply_renewals(
                    batch_reply.reply.renewals,
                    batch_reply.reply.recalled,
                    sent_at,
                    now(),
                )
                break
        new_reports = cell_permits.pool.take_reports(now())
        if new_reports:
            await self._send_reports(cell, cell_permits, new_reports)

    async def _send_batch(self, batch: ReportBatch) -> ReportBatchReply:
        holder_request = HolderRequest(
            REPORTS_KIND,
            batch,
            ReportBatchReply,
            _REPORT_TIMEOUT_SECONDS,
            self._cells.handle_report_batch,
        )
        for vm in self._finder.likely_holders(f'cell:{batch.cell}'):
            reply = await self._finder.send_request(vm, holder_request)
            if isinstance(reply, ReportBatchReply) and reply.reply is not None:
                return reply
        return ReportBatchReply(None)
