"""A permit whose asker has gone frees its slot at once."""

import asyncio
from unittest import mock

from jacinthcroft_daemon.internal.fleet.view import FleetView
from jacinthcroft_daemon.internal.peers import PeerClient
from jacinthcroft_daemon.internal.sharing.coordination import (
    CoordinationService,
)
from jacinthcroft_daemon.internal.sharing.held_cells import (
    HeldCells,
    PermitReply,
    ReportBatch,
)
from jacinthcroft_daemon.internal.sharing.probes import Prober
from jacinthcroft_daemon.internal.telemetry.metrics import Metrics
from jacinthcroft_decisions.traffic import PermitReport, RunOutcome
from jacinthcroft_http import now

from tests.cover.traffic.builders import make_ask, make_service

ASK = make_ask(patience=5)


def make_cells() -> HeldCells:
    """Returns the cells of a VM that has held one target's cell for long."""
    view = mock.create_autospec(FleetView, instance=True)
    view.vm = 'vm0'
    view.vm_list.zones_out = ()
    view.placement.shard_of.return_value = 0
    view.find_service.return_value = make_service(targets=1, cold_slots=1)
    coordination = mock.create_autospec(CoordinationService, instance=True)
    held_since = now() - 100
    coordination.coordinator.holds.return_value = True
    coordination.coordinator.held_since.return_value = held_since
    coordination.coordinator.lease_until.side_effect = lambda _: now() + 3
    return HeldCells(
        view,
        coordination,
        mock.create_autospec(Prober, instance=True),
        mock.create_autospec(PeerClient, instance=True),
        mock.create_autospec(Metrics, instance=True),
        'incarnation',
    )


async def give_back(cells: HeldCells, reply: PermitReply) -> None:
    assert reply.permit is not None
    report = PermitReport(
        permit_id=reply.permit.id,
        cell=reply.permit.cell,
        vm='vm1',
        target=reply.permit.target,
        outcome=RunOutcome.UNUSED,
        latency=0,
        is_returned=True,
        boot_id=None,
        is_draining=False,
    )
    await cells.handle_report_batch('vm1', ReportBatch('history', (report,)))


async def leave(asking: asyncio.Task[PermitReply]) -> None:
    asking.cancel()
    await asyncio.wait((asking,))


def test_a_permit_granted_as_its_asker_leaves_goes_to_the_next() -> None:
    async def scenario() -> None:
        cells = make_cells()
        holding = await cells.handle_permit_request('vm1', ASK)
        leaving = asyncio.create_task(cells.handle_permit_request('vm2', ASK))
        await asyncio.sleep(0)
        # The returned slot is granted before the asking task goes on.
        await give_back(cells, holding)
        await leave(leaving)
        reply = await asyncio.wait_for(
            cells.handle_permit_request('vm3', ASK), 0.5
        )
        assert reply.permit is not None

    asyncio.run(scenario())


def test_an_ask_whose_vm_has_left_takes_no_slot() -> None:
    async def scenario() -> None:
        cells = make_cells()
        holding = await cells.handle_permit_request('vm1', ASK)
        waiting = asyncio.create_task(cells.handle_permit_request('vm2', ASK))
        await asyncio.sleep(0)
        await leave(waiting)
        third = asyncio.create_task(cells.handle_permit_request('vm3', ASK))
        await asyncio.sleep(0)
        assert holding.permit is not None
        assert not third.done()
        await leave(third)

    asyncio.run(scenario())
