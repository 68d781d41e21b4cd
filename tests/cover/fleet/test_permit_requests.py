"""A permit whose requesting VM has disconnected frees its slot at once."""

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

PERMIT_REQUEST = make_ask(patience=5)


def make_cells() -> HeldCells:
    """Returns the cells of a VM that has long held a cell with one target."""
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


async def return_permit(cells: HeldCells, reply: PermitReply) -> None:
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


async def disconnect(handling: asyncio.Task[PermitReply]) -> None:
    """Cancels the handling of a request, as a closed connection does."""
    handling.cancel()
    await asyncio.wait((handling,))


def test_permit_granted_to_a_disconnected_vm_goes_to_the_next() -> None:
    async def scenario() -> None:
        cells = make_cells()
        first_reply = await cells.handle_permit_request('vm1', PERMIT_REQUEST)
        disconnecting = asyncio.create_task(
            cells.handle_permit_request('vm2', PERMIT_REQUEST)
        )
        await asyncio.sleep(0)
        # The freed slot is granted before the waiting task runs again.
        await return_permit(cells, first_reply)
        await disconnect(disconnecting)
        reply = await asyncio.wait_for(
            cells.handle_permit_request('vm3', PERMIT_REQUEST), 0.5
        )
        assert reply.permit is not None

    asyncio.run(scenario())


def test_request_of_a_disconnected_vm_takes_no_slot() -> None:
    async def scenario() -> None:
        cells = make_cells()
        first_reply = await cells.handle_permit_request('vm1', PERMIT_REQUEST)
        waiting = asyncio.create_task(
            cells.handle_permit_request('vm2', PERMIT_REQUEST)
        )
        await asyncio.sleep(0)
        await disconnect(waiting)
        third = asyncio.create_task(
            cells.handle_permit_request('vm3', PERMIT_REQUEST)
        )
        await asyncio.sleep(0)
        assert first_reply.permit is not None
        assert not third.done()
        await disconnect(third)

    asyncio.run(scenario())
