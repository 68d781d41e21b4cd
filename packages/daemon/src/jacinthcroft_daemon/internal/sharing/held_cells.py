"""Grants dispatch permits for the cells that this VM holds.

A cell is the set of targets of one service. Its holder is the VM that has the
lease on the cell's shard. A request for a permit waits in the cell's fair
queue until a permit is granted or the request's `patience` has passed. It is
removed from the queue when its handler is cancelled.
"""

import asyncio
import functools
import random
from collections.abc import Iterable
from dataclasses import asdict
from typing import Final

from attrs import define, field, frozen
from jacinthcroft_config import Service
from jacinthcroft_decisions.traffic import (
    Cell,
    CellEvent,
    CellHandover,
    Permit,
    PermitRefusal,
    PermitRenewal,
    PermitReport,
    PermitRequest,
    QueueFull,
    ReportReply,
    TargetEjected,
    TargetView,
)
from jacinthcroft_http import now

from jacinthcroft_daemon.internal.fleet.view import FleetView
from jacinthcroft_daemon.internal.peers import PeerClient, PeerRouter
from jacinthcroft_daemon.internal.sharing.coordination import (
    CoordinationService,
)
from jacinthcroft_daemon.internal.sharing.probes import Prober, ProbeResult
from jacinthcroft_daemon.internal.telemetry import Count, log_event
from jacinthcroft_daemon.internal.telemetry.metrics import Metrics

PERMIT_REQUEST_KIND: Final = 'permit'
REPORTS_KIND: Final = 'reports'
_HANDOVER_KIND: Final = 'handover'
_HANDOVER_TIMEOUT_SECONDS: Final = 0.5
# Older handovers are ignored: another VM could have held the cell between the
# sender and this VM.
_HANDOVER_MAX_AGE_SECONDS: Final = 1.5
_TICK_INTERVAL_SECONDS: Final = 0.05
_TAKE_OVER_INTERVAL_SECONDS: Final = 0.25
_HANDOVER_RECIPIENTS: Final = 2


@frozen
class PermitReply:
    """A permit or a refusal; both are None if the VM is not the holder."""

    permit: Permit | None = None
    refusal: PermitRefusal | None = None


@frozen
class ReportBatch:
    """One VM's reports on its permits for one cell."""

    cell: str
    reports: tuple[PermitReport, ...]


@frozen
class ReportBatchReply:
    """The holder's reply; None if the VM is not the holder."""

    reply: ReportReply | None


@frozen
class HandoverReply:
    """Confirms that the handover arrived."""

    vm: str


@frozen
class _ReceivedHandover:
    handover: CellHandover
    received_at: float


@define
class _HeldCell:
    held_since: float
    service: Service
    zones_out: frozenset[str]
    cell: Cell
    waiting: dict[int, asyncio.Future[PermitReply]] = field(factory=dict)


class HeldCells:
    """The cells that this VM holds a lease for."""

    def __init__(
        self,
        view: FleetView,
        coordination: CoordinationService,
        prober: Prober,
        peers: PeerClient,
        metrics: Metrics,
        incarnation: str,
    ) -> None:
        """Starts without cells; `coordination` has this VM's leases."""
        self._view = view
        self._coordination = coordination
        self._prober = prober
        self._peers = peers
        self._metrics = metrics
        self._incarnation = incarnation
        self._random = random.Random()
        self._cells: dict[str, _HeldCell] = {}
        self._handovers: dict[str, _ReceivedHandover] = {}
        self._has_stopped_granting = False

    @property
    def target_views(self) -> tuple[tuple[str, TargetView], ...]:
        """The states of the held cells' targets, each with its cell's name."""
        current_time = now()
        return tuple(
            (name, target)
            for name, held_cell in self._cells.items()
            for target in held_cell.cell.view_targets(current_time)
        )

    def register(self, router: PeerRouter) -> None:
        """Registers the handlers of permit requests, reports and handovers."""
        router.register(
            PERMIT_REQUEST_KIND, PermitRequest, self.handle_permit_request
        )
        router.register(REPORTS_KIND, ReportBatch, self.handle_report_batch)
        router.register(_HANDOVER_KIND, CellHandover, self._handle_handover)

    def stop_granting(self) -> tuple[CellHandover, ...]:
        """Drops all cells for good and returns their handovers."""
        self._has_stopped_granting = True
        handovers = tuple(
            held_cell.cell.hand_over(now())
            for held_cell in self._cells.values()
        )
        for name in tuple(self._cells):
            self._drop_cell(name)
        return handovers

    async def send_handovers(self, handovers: Iterable[CellHandover]) -> None:
        """Sends each handover to the next candidates for the cell's shard.

        Call this before the leases are released, so that a successor has the
        handover when it takes the cell over.
        """
        await asyncio.gather(
            *(
                self._peers.send_request(
                    vm,
                    _HANDOVER_KIND,
                    handover,
                    HandoverReply,
                    _HANDOVER_TIMEOUT_SECONDS,
                )
                for handover in handovers
                for vm in self._handover_recipients(handover.cell)
            )
        )

    async def handle_permit_request(
        self, sender: str, request: PermitRequest
    ) -> PermitReply:
        """Waits in the cell's queue for a permit or a refusal."""
        held_cell = self._sync_cell(request.cell)
        if held_cell is None:
            return PermitReply()
        ticket = held_cell.cell.enqueue(request, now())
        if isinstance(ticket, QueueFull):
            return PermitReply(refusal=PermitRefusal('queue-full'))
        reply_future: asyncio.Future[PermitReply] = (
            asyncio.get_running_loop().create_future()
        )
        held_cell.waiting[ticket] = reply_future
        self._serve_queue(request.cell, held_cell)
        try:
            return await reply_future
        except asyncio.CancelledError:
            # The requesting VM closed the connection. The permit may have
            # been granted already, but can no longer be sent.
            _reclaim_unsent_permit(held_cell.cell, reply_future)
            raise
        finally:
            held_cell.waiting.pop(ticket, None)
            held_cell.cell.cancel(ticket)

    async def handle_report_batch(
        self,
        sender: str,
        batch: ReportBatch,
    ) -> ReportBatchReply:
        """Processes reports; renews the permits that the VM may keep."""
        held_cell = self._sync_cell(batch.cell)
        if held_cell is None:
            return ReportBatchReply(None)
        current_time = now()
        lease_until = self._lease_until(batch.cell)
        renewals: list[PermitRenewal] = []
        recalled: list[str] = []
        for report in batch.reports:
            renewal = held_cell.cell.process_report(
                report, current_time, lease_until
            )
            if renewal is not None:
                renewals.append(renewal)
            elif not report.is_returned:
                recalled.append(report.permit_id)
        self._serve_queue(batch.cell, held_cell)
        reply = ReportReply(tuple(renewals), tuple(recalled))
        return ReportBatchReply(reply)

    async def run(self) -> None:
        """Ticks the held cells and takes over new ones until cancelled."""
        took_over_at = 0.0
        while True:
            if now() - took_over_at > _TAKE_OVER_INTERVAL_SECONDS:
                # Cells are taken over without waiting for a permit request,
                # so that the wait for the end of the predecessor's permits is
                # over when the first request arrives.
                took_over_at = now()
                self.take_over_held_cells()
            for name in tuple(self._cells):
                self._tick_cell(name)
            await asyncio.sleep(_TICK_INTERVAL_SECONDS)

    def take_over_held_cells(self) -> None:
        """Takes over the cells whose shards this VM now holds."""
        for service in self._view.configuration.services:
            self._sync_cell(service.name)

    def _handover_recipients(self, cell: str) -> tuple[str, ...]:
        placement = self._view.placement
        ranked = placement.candidates(placement.shard_of(f'cell:{cell}'))
        others = (vm for vm in ranked if vm != self._view.vm)
        return tuple(others)[:_HANDOVER_RECIPIENTS]

    async def _handle_handover(
        self,
        sender: str,
        handover: CellHandover,
    ) -> HandoverReply:
        self._handovers[handover.cell] = _ReceivedHandover(handover, now())
        return HandoverReply(self._view.vm)

    def _pop_recent_handover(
        self, name: str, held_since: float
    ) -> CellHandover | None:
        received = self._handovers.pop(name, None)
        if received is None:
            return None
        age = held_since - received.received_at
        return received.handover if age < _HANDOVER_MAX_AGE_SECONDS else None

    def _tick_cell(self, name: str) -> None:
        held_cell = self._sync_cell(name)
        if held_cell is None:
            return
        held_cell.cell.tick(now())
        cell = held_cell.cell
        trial_target = cell.next_probe_target(now())
        if trial_target is not None:
            record_result = functools.partial(
                _record_trial_result, cell, trial_target
            )
            self._prober.start_probe(
                held_cell.service, trial_target, record_result
            )
        for drain_target in cell.take_due_drain_checks(now()):
            record_state = functools.partial(
                _record_process_state, cell, drain_target
            )
            self._prober.start_probe(
                held_cell.service, drain_target, record_state
            )
        self._serve_queue(name, held_cell)

    def _record_cell_event(self, cell: str, event: CellEvent) -> None:
        if isinstance(event, TargetEjected):
            self._metrics.count(Count.EJECTIONS, cell)
        # The class name is the name of the logged event.
        fields = asdict(event)
        fields.pop('happened_at')
        log_event('warning', type(event).__name__, cell=cell, **fields)

    def _sync_cell(self, name: str) -> _HeldCell | None:
        """Returns the cell if held, taking it over or dropping it if due."""
        shard = self._view.placement.shard_of(f'cell:{name}')
        coordinator = self._coordination.coordinator
        service = self._view.find_service(name)
        is_held = (
            coordinator.holds(shard, now()) and not self._has_stopped_granting
        )
        if service is None or not is_held:
            self._drop_cell(name)
            return None
        held_cell = self._cells.get(name)
        held_since = coordinator.held_since(shard)
        if held_cell is None or held_cell.held_since != held_since:
            self._drop_cell(name)
            held_cell = self._take_over_cell(service, held_since)
        self._reconfigure_if_changed(held_cell, service)
        return held_cell

    def _take_over_cell(self, service: Service, held_since: float) -> _HeldCell:
        zones_out = self._view.vm_list.zones_out
        handover = self._pop_recent_handover(service.name, held_since)
        cell = Cell.from_config(
            service,
            held_since,
            self._incarnation,
            self._random,
            zones_out,
            handover,
        )
        held_cell = _HeldCell(held_since, service, zones_out, cell)
        self._cells[service.name] = held_cell
        log_event(
            'info',
            'cell-held',
            cell=service.name,
            was_handed_over=handover is not None,
        )
        return held_cell

    def _reconfigure_if_changed(
        self, held_cell: _HeldCell, service: Service
    ) -> None:
        zones_out = self._view.vm_list.zones_out
        if held_cell.service != service or held_cell.zones_out != zones_out:
            held_cell.cell.reconfigure(service, zones_out, now())
            held_cell.service = service
            held_cell.zones_out = zones_out

    def _drop_cell(self, name: str) -> None:
        held_cell = self._cells.pop(name, None)
        if held_cell is None:
            return
        log_event('info', 'cell-lost', cell=name)
        for reply_future in held_cell.waiting.values():
            if not reply_future.done():
                reply_future.set_result(PermitReply())

    def _serve_queue(self, name: str, held_cell: _HeldCell) -> None:
        for granted in held_cell.cell.grant_permits(
            now(), self._lease_until(name)
        ):
            reply_future = held_cell.waiting.get(granted.ticket)
            if reply_future is None or reply_future.done():
                held_cell.cell.reclaim_permit(granted.permit)
            else:
                reply_future.set_result(PermitReply(permit=granted.permit))
        for ticket in held_cell.cell.drop_expired(now()):
            reply_future = held_cell.waiting.get(ticket)
            if reply_future is not None and not reply_future.done():
                refusal = PermitRefusal('no-capacity')
                reply_future.set_result(PermitReply(refusal=refusal))
        for event in held_cell.cell.take_events():
            self._record_cell_event(name, event)

    def _lease_until(self, name: str) -> float:
        shard = self._view.placement.shard_of(f'cell:{name}')
        return self._coordination.coordinator.lease_until(shard)


def _record_process_state(cell: Cell, target: str, result: ProbeResult) -> None:
    cell.record_process_state(target, result.boot_id, result.is_draining, now())


def _record_trial_result(cell: Cell, target: str, result: ProbeResult) -> None:
    cell.record_probe_result(target, result.is_ok, now(), result.boot_id)
    # The order matters: the first call starts the trial early if the boot ID
    # is new, and the second call makes the boot ID known.
    _record_process_state(cell, target, result)


def _reclaim_unsent_permit(
    cell: Cell, reply_future: asyncio.Future[PermitReply]
) -> None:
    if not reply_future.done() or reply_future.cancelled():
        return
    permit = reply_future.result().permit
    if permit is not None:
        cell.reclaim_permit(permit)
