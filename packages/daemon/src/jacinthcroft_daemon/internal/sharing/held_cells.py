"""The holder's side of dispatch permits: this VM judges the cells it holds.

A VM that asks waits here, in the cell's fair queue, until a permit is
granted or its patience ends. A question whose asker has gone is forgotten.
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
# A handover speaks of the holder right before; by this age another VM could
# have held the cell in between.
_HANDOVER_MAX_AGE_SECONDS: Final = 1.5
_TICK_SECONDS: Final = 0.05
_ADOPT_SECONDS: Final = 0.25
_TOLD_SUCCESSORS: Final = 2


@frozen
class PermitReply:
    """A permit or a refusal; neither from a VM that is not the holder."""

    permit: Permit | None = None
    refusal: PermitRefusal | None = None


@frozen
class ReportBatch:
    """Reports of one VM on one cell."""

    cell: str
    reports: tuple[PermitReport, ...]


@frozen
class ReportBatchReply:
    """The holder's reply, or None from a VM that is not the holder."""

    reply: ReportReply | None


@frozen
class HandoverReply:
    """The handover arrived."""

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
        """Judges under the coordination service's leases."""
        self._view = view
        self._coordination = coordination
        self._prober = prober
        self._peers = peers
        self._metrics = metrics
        self._incarnation = incarnation
        self._random = random.Random()
        self._cells: dict[str, _HeldCell] = {}
        self._handovers: dict[str, _ReceivedHandover] = {}
        self._is_closed = False

    @property
    def target_views(self) -> tuple[tuple[str, TargetView], ...]:
        """What this VM believes of the targets that it judges."""
        moment = now()
        return tuple(
            (name, target)
            for name, held in self._cells.items()
            for target in held.cell.view_targets(moment)
        )

    def register(self, router: PeerRouter) -> None:
        """Answers peers' questions and reports."""
        router.register(
            PERMIT_REQUEST_KIND, PermitRequest, self.handle_permit_request
        )
        router.register(REPORTS_KIND, ReportBatch, self.handle_report_batch)
        router.register(_HANDOVER_KIND, CellHandover, self._handle_handover)

    def stop_granting(self) -> tuple[CellHandover, ...]:
        """Stops granting for good; returns what the successors need."""
        self._is_closed = True
        handovers = tuple(
            held.cell.hand_over(now()) for held in self._cells.values()
        )
        for name in tuple(self._cells):
            self._drop(name)
        return handovers

    async def send_handovers(self, handovers: Iterable[CellHandover]) -> None:
        """Tells the next candidates, before the leases are given up."""
        await asyncio.gather(
            *(
                self._peers.ask(
                    vm,
                    _HANDOVER_KIND,
                    handover,
                    HandoverReply,
                    _HANDOVER_TIMEOUT_SECONDS,
                )
                for handover in handovers
                for vm in self._successors(handover.cell)
            )
        )

    async def handle_permit_request(
        self, sender: str, ask: PermitRequest
    ) -> PermitReply:
        """Waits for a permit in the cell's queue."""
        held = self._held(ask.cell)
        if held is None:
            return PermitReply()
        ticket = held.cell.enqueue(ask, now())
        if isinstance(ticket, QueueFull):
            return PermitReply(refusal=PermitRefusal('queue-full'))
        waiting: asyncio.Future[PermitReply] = (
            asyncio.get_running_loop().create_future()
        )
        held.waiting[ticket] = waiting
        self._pump(ask.cell, held)
        try:
            return await waiting
        except asyncio.CancelledError:
            # The asker has gone, perhaps in the moment of the grant.
            _take_back_unsent(held.cell, waiting)
            raise
        finally:
            held.waiting.pop(ticket, None)
            held.cell.cancel(ticket)

    async def handle_report_batch(
        self,
        sender: str,
        batch: ReportBatch,
    ) -> ReportBatchReply:
        """Takes reports in and renews what may be kept."""
        held = self._held(batch.cell)
        if held is None:
            return ReportBatchReply(None)
        moment = now()
        lease_until = self._lease_until(batch.cell)
        renewals: list[PermitRenewal] = []
        recalled: list[str] = []
        for report in batch.reports:
            renewal = held.cell.process_report(report, moment, lease_until)
            if renewal is not None:
                renewals.append(renewal)
            elif not report.is_returned:
                recalled.append(report.permit_id)
        self._pump(batch.cell, held)
        reply = ReportReply(tuple(renewals), tuple(recalled))
        return ReportBatchReply(reply)

    async def run(self) -> None:
        """Lets time pass in all held cells, for ever."""
        adopted_at = 0.0
        while True:
            if now() - adopted_at > _ADOPT_SECONDS:
                # A cell that is taken over before anybody asks for it has
                # waited out its predecessor's permits by then.
                adopted_at = now()
                self.take_over_held_cells()
            for name in tuple(self._cells):
                self._tick(name)
            await asyncio.sleep(_TICK_SECONDS)

    def take_over_held_cells(self) -> None:
        """Takes cells over as soon as their shard is held."""
        for service in self._view.configuration.services:
            self._held(service.name)

    def _successors(self, cell: str) -> tuple[str, ...]:
        placement = self._view.placement
        ranked = placement.candidates(placement.shard_of(f'cell:{cell}'))
        others = (vm for vm in ranked if vm != self._view.vm)
        return tuple(others)[:_TOLD_SUCCESSORS]

    async def _handle_handover(
        self,
        sender: str,
        handover: CellHandover,
    ) -> HandoverReply:
        self._handovers[handover.cell] = _ReceivedHandover(handover, now())
        return HandoverReply(self._view.vm)

    def _take_handover(
        self, name: str, held_since: float
    ) -> CellHandover | None:
        received = self._handovers.pop(name, None)
        if received is None:
            return None
        age = held_since - received.received_at
        return received.handover if age < _HANDOVER_MAX_AGE_SECONDS else None

    def _tick(self, name: str) -> None:
        held = self._held(name)
        if held is None:
            return
        held.cell.tick(now())
        cell = held.cell
        tried = cell.next_probe_target(now())
        if tried is not None:
            note_trial = functools.partial(_note_trial, cell, tried)
            self._prober.start_probe(held.service, tried, note_trial)
        for checked in cell.take_due_drain_checks(now()):
            note_signs = functools.partial(_note_signs, cell, checked)
            self._prober.start_probe(held.service, checked, note_signs)
        self._pump(name, held)

    def _tell(self, cell: str, event: CellEvent) -> None:
        if isinstance(event, TargetEjected):
            self._metrics.count(Count.EJECTIONS, cell)
        # The class names read as events: TargetEjected, ColdStartNoticed...
        fields = asdict(event)
        fields.pop('happened_at')
        log_event('warning', type(event).__name__, cell=cell, **fields)

    def _held(self, name: str) -> _HeldCell | None:
        shard = self._view.placement.shard_of(f'cell:{name}')
        coordinator = self._coordination.coordinator
        service = self._view.find_service(name)
        is_held = coordinator.holds(shard, now()) and not self._is_closed
        if service is None or not is_held:
            self._drop(name)
            return None
        held = self._cells.get(name)
        held_since = coordinator.held_since(shard)
        if held is None or held.held_since != held_since:
            self._drop(name)
            held = self._take_over(service, held_since)
        self._refresh(held, service)
        return held

    def _take_over(self, service: Service, held_since: float) -> _HeldCell:
        zones_out = self._view.vm_list.zones_out
        handover = self._take_handover(service.name, held_since)
        cell = Cell.from_config(
            service,
            held_since,
            self._incarnation,
            self._random,
            zones_out,
            handover,
        )
        held = _HeldCell(held_since, service, zones_out, cell)
        self._cells[service.name] = held
        log_event(
            'info',
            'cell-held',
            cell=service.name,
            was_handed_over=handover is not None,
        )
        return held

    def _refresh(self, held: _HeldCell, service: Service) -> None:
        zones_out = self._view.vm_list.zones_out
        if held.service != service or held.zones_out != zones_out:
            held.cell.reconfigure(service, zones_out, now())
            held.service = service
            held.zones_out = zones_out

    def _drop(self, name: str) -> None:
        held = self._cells.pop(name, None)
        if held is None:
            return
        log_event('info', 'cell-lost', cell=name)
        for waiting in held.waiting.values():
            if not waiting.done():
                waiting.set_result(PermitReply())

    def _pump(self, name: str, held: _HeldCell) -> None:
        for granted in held.cell.grant_permits(now(), self._lease_until(name)):
            waiting = held.waiting.get(granted.ticket)
            if waiting is None or waiting.done():
                held.cell.reclaim_permit(granted.permit)
            else:
                waiting.set_result(PermitReply(permit=granted.permit))
        for ticket in held.cell.drop_expired(now()):
            waiting = held.waiting.get(ticket)
            if waiting is not None and not waiting.done():
                refusal = PermitRefusal('no-capacity')
                waiting.set_result(PermitReply(refusal=refusal))
        for event in held.cell.take_events():
            self._tell(name, event)

    def _lease_until(self, name: str) -> float:
        shard = self._view.placement.shard_of(f'cell:{name}')
        return self._coordination.coordinator.lease_until(shard)


def _note_signs(cell: Cell, target: str, answer: ProbeResult) -> None:
    cell.record_process_state(target, answer.boot_id, answer.is_draining, now())


def _note_trial(cell: Cell, target: str, answer: ProbeResult) -> None:
    cell.record_probe_result(target, answer.is_ok, now(), answer.boot_id)
    # The trial that a new boot id begins early is told by its being new.
    _note_signs(cell, target, answer)


def _take_back_unsent(cell: Cell, waiting: asyncio.Future[PermitReply]) -> None:
    if not waiting.done() or waiting.cancelled():
        return
    permit = waiting.result().permit
    if permit is not None:
        cell.reclaim_permit(permit)
