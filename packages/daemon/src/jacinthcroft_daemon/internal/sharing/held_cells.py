"""The holder's side of dispatch permits: this VM judges the cells it holds.

A VM that asks waits here, in the cell's fair queue, until a permit is
granted or its patience ends. A question whose asker has gone is forgotten.
"""

import asyncio
import random
from typing import Final

from attrs import define, field, frozen
from jacinthcroft_config import Service
from jacinthcroft_decisions.traffic import (
    Cell,
    Permit,
    PermitAsk,
    PermitRefusal,
    PermitRenewal,
    PermitReport,
    QueueFull,
    ReportReply,
    TargetView,
)
from jacinthcroft_http import now

from jacinthcroft_daemon.internal.fleet.view import FleetView
from jacinthcroft_daemon.internal.peers import PeerRouter
from jacinthcroft_daemon.internal.sharing.coordination import (
    CoordinationService,
)
from jacinthcroft_daemon.internal.sharing.probes import Prober
from jacinthcroft_daemon.internal.telemetry import log_event

ASK_KIND: Final = 'permit'
REPORT_KIND: Final = 'reports'
_TICK_SECONDS: Final = 0.05


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
        incarnation: str,
    ) -> None:
        """Judges under the coordination service's leases."""
        self._view = view
        self._coordination = coordination
        self._prober = prober
        self._incarnation = incarnation
        self._random = random.Random()
        self._cells: dict[str, _HeldCell] = {}

    @property
    def target_views(self) -> tuple[tuple[str, TargetView], ...]:
        """What this VM believes of the targets that it judges."""
        moment = now()
        return tuple(
            (name, target)
            for name, held in self._cells.items()
            for target in held.cell.health_view(moment)
        )

    def register(self, router: PeerRouter) -> None:
        """Answers peers' questions and reports."""
        router.register(ASK_KIND, PermitAsk, self.answer_ask)
        router.register(REPORT_KIND, ReportBatch, self.answer_reports)

    async def answer_ask(self, sender: str, ask: PermitAsk) -> PermitReply:
        """Waits for a permit in the cell's queue."""
        held = self._held(ask.cell)
        if held is None:
            return PermitReply()
        ticket = held.cell.ask(ask, now())
        if isinstance(ticket, QueueFull):
            return PermitReply(refusal=PermitRefusal('queue-full'))
        waiting: asyncio.Future[PermitReply] = (
            asyncio.get_running_loop().create_future()
        )
        held.waiting[ticket] = waiting
        self._pump(ask.cell, held)
        try:
            return await waiting
        finally:
            # Also when the asker has gone: nobody would take the permit.
            held.waiting.pop(ticket, None)
            held.cell.forget(ticket)

    async def answer_reports(
        self,
        sender: str,
        batch: ReportBatch,
    ) -> ReportBatchReply:
        """Takes reports in and renews what may be kept."""
        held = self._held(batch.cell)
        if held is None:
            return ReportBatchReply(None)
        moment = now()
        renewals: list[PermitRenewal] = []
        recalled: list[str] = []
        for report in batch.reports:
            renewal = held.cell.report(report, moment)
            if renewal is not None:
                renewals.append(renewal)
            elif not report.is_returned:
                recalled.append(report.permit_id)
        self._pump(batch.cell, held)
        reply = ReportReply(tuple(renewals), tuple(recalled))
        return ReportBatchReply(reply)

    async def run(self) -> None:
        """Lets time pass in all held cells, for ever."""
        while True:
            for name in tuple(self._cells):
                self._tick(name)
            await asyncio.sleep(_TICK_SECONDS)

    def adopt(self) -> None:
        """Takes cells over as soon as their shard is held."""
        for service in self._view.configuration.services:
            self._held(service.name)

    def _tick(self, name: str) -> None:
        held = self._held(name)
        if held is None:
            return
        held.cell.tick(now())
        wanted = held.cell.probe_wanted(now())
        if wanted is not None:
            self._prober.start(held.service, wanted, held.cell)
        self._pump(name, held)

    def _held(self, name: str) -> _HeldCell | None:
        shard = self._view.placement.shard_of(f'cell:{name}')
        coordinator = self._coordination.coordinator
        service = self._view.service(name)
        if service is None or not coordinator.holds(shard, now()):
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
        cell = Cell.from_config(
            service,
            held_since,
            self._incarnation,
            self._random,
            zones_out,
        )
        held = _HeldCell(held_since, service, zones_out, cell)
        self._cells[service.name] = held
        log_event('info', 'cell-held', cell=service.name)
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
        shard = self._view.placement.shard_of(f'cell:{name}')
        lease_until = self._coordination.coordinator.lease_until(shard)
        for granted in held.cell.grants(now(), lease_until):
            waiting = held.waiting.get(granted.ticket)
            if waiting is not None and not waiting.done():
                waiting.set_result(PermitReply(permit=granted.permit))
        for ticket in held.cell.expired(now()):
            waiting = held.waiting.get(ticket)
            if waiting is not None and not waiting.done():
                refusal = PermitRefusal('no-capacity')
                waiting.set_result(PermitReply(refusal=refusal))
        for event in held.cell.events():
            log_event(
                'warning',
                type(event).__name__,
                cell=name,
                target=event.target,
            )
