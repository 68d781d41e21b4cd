"""The process on one VM: builds its services, runs and stops them."""

import asyncio
import secrets
from collections.abc import Coroutine
from typing import Final

from jacinthcroft_config import Settings
from jacinthcroft_decisions.coordination import CoordinationConfig
from jacinthcroft_decisions.traffic import StopPlan
from jacinthcroft_http import (
    BadRequest,
    ConnectionPool,
    PoolLimits,
    Response,
    Server,
    ServerLimits,
    now,
)

from jacinthcroft_daemon.internal.fleet.updater import FleetUpdater
from jacinthcroft_daemon.internal.fleet.view import FleetView
from jacinthcroft_daemon.internal.operators import OperatorHandler
from jacinthcroft_daemon.internal.peers import PeerClient, PeerRouter, Signer
from jacinthcroft_daemon.internal.pipeline.admission import Admission
from jacinthcroft_daemon.internal.pipeline.at_most_once import AtMostOnceRunner
from jacinthcroft_daemon.internal.pipeline.attempt import AttemptSender
from jacinthcroft_daemon.internal.pipeline.callers import CallerHandler
from jacinthcroft_daemon.internal.pipeline.planned_stop import PlannedStop
from jacinthcroft_daemon.internal.pipeline.reporting import RequestReporter
from jacinthcroft_daemon.internal.pipeline.runner import RequestRunner
from jacinthcroft_daemon.internal.platform import connect_platform
from jacinthcroft_daemon.internal.sharing.claims import ClaimService
from jacinthcroft_daemon.internal.sharing.coordination import (
    CoordinationService,
)
from jacinthcroft_daemon.internal.sharing.held_cells import HeldCells
from jacinthcroft_daemon.internal.sharing.holders import HolderFinder
from jacinthcroft_daemon.internal.sharing.permits import PermitService
from jacinthcroft_daemon.internal.sharing.probes import Prober
from jacinthcroft_daemon.internal.sharing.quarantine import QuarantineService
from jacinthcroft_daemon.internal.sharing.tokens import TokenService
from jacinthcroft_daemon.internal.telemetry import log_event
from jacinthcroft_daemon.internal.telemetry.metrics import Metrics, VmGauges

_INCARNATION_BYTES: Final = 8
_BAD_REQUEST_STATUS: Final = 400


class VmProcess:
    """The services, servers and background tasks of one VM."""

    def __init__(self, settings: Settings, secret: bytes) -> None:
        """Builds all services without starting any."""
        started_at = now()
        incarnation = secrets.token_hex(_INCARNATION_BYTES)
        self._settings = settings
        signer = Signer(secret)
        self._pool = ConnectionPool.from_limits(PoolLimits())
        self._view = FleetView(
            settings.vm.name,
            settings.vm.zone,
            CoordinationConfig(
                freshness_limit=settings.tunables.freshness_seconds,
            ),
            started_at,
        )
        self._peers = PeerClient(
            settings.vm.name,
            signer,
            self._pool,
            self._view.find_peer_address,
        )
        self._router = PeerRouter(settings.vm.name, signer)
        self._updater = FleetUpdater(
            self._view,
            settings.tunables,
            connect_platform(
                'http',
                settings.platform.address,
                settings.vm.name,
            ),
            self._peers,
            self._adopt_change,
        )
        self._coordination = CoordinationService(
            self._view,
            settings.tunables,
            self._peers,
            incarnation,
            started_at,
            self._updater.request_history,
        )
        self._metrics = Metrics.from_limits(
            settings.tunables.metric_teams,
            self._read_gauges,
        )
        self._stop = PlannedStop()
        self._build_shared_services(incarnation)
        self._build_servers()

    async def run(self, stopping: asyncio.Event) -> None:
        """Serves until `stopping` is set, then drains and stops.

        An exception of a background task ends it without draining and is
        raised.
        """
        await self._start_servers()
        background_tasks = [
            asyncio.create_task(coroutine)
            for coroutine in self._make_background_coroutines()
        ]
        try:
            await self._wait_for_stop(stopping, background_tasks)
            await self._drain()
        finally:
            await _cancel_tasks(background_tasks)
            await self._pool.close()

    def _build_shared_services(self, incarnation: str) -> None:
        view = self._view
        holder_finder = HolderFinder(view, self._peers)
        self._cells = HeldCells(
            view,
            self._coordination,
            Prober(self._pool),
            self._peers,
            self._metrics,
            incarnation,
        )
        self._permits = PermitService(view, self._cells, holder_finder)
        self._tokens = TokenService(view, self._coordination, holder_finder)
        self._quarantine = QuarantineService(
            view,
            self._coordination,
            holder_finder,
            self._peers,
        )
        for service in (
            self._updater,
            self._coordination,
            self._cells,
            self._tokens,
            self._quarantine,
        ):
            service.register(self._router)

    def _build_servers(self) -> None:
        reporter = RequestReporter.from_config(
            self._settings.tunables,
            self._metrics,
        )
        admission = Admission(self._view)
        attempt_sender = AttemptSender(admission, self._permits, self._pool)
        runner = RequestRunner(
            self._tokens,
            self._permits,
            attempt_sender,
            self._quarantine,
            reporter,
        )
        claims = ClaimService(self._view, self._coordination)
        self._at_most_once = AtMostOnceRunner(claims, runner, reporter)
        caller_handler = CallerHandler(
            self._settings,
            admission,
            self._quarantine,
            runner,
            self._at_most_once,
            reporter,
            self._stop,
        )
        self._operators = OperatorHandler(
            self._view,
            self._coordination,
            self._cells,
            self._permits,
            reporter,
            self._metrics,
        )
        limits = ServerLimits(
            max_head_bytes=self._settings.tunables.max_head_bytes,
            head_timeout=self._settings.tunables.head_timeout_ms / 1000,
        )
        self._caller_server = Server.from_limits(
            limits,
            caller_handler.handle,
            caller_handler.refuse_bad_request,
        )
        self._peer_server = Server.from_limits(
            ServerLimits(),
            self._router.handle,
            _refuse_bad_request,
        )
        self._operator_server = Server.from_limits(
            ServerLimits(),
            self._operators.handle,
            _refuse_bad_request,
        )

    async def _start_servers(self) -> None:
        listen = self._settings.listen
        vm = self._settings.vm
        for server, address in (
            (self._peer_server, listen.peers),
            (self._operator_server, listen.operators),
            (self._caller_server, listen.callers),
        ):
            await server.start(address.host, address.port)
        log_event('info', 'started', vm=vm.name, zone=vm.zone)

    def _make_background_coroutines(self) -> list[Coroutine[None, None, None]]:
        return [
            self._updater.run_platform_watch('vms'),
            self._updater.run_platform_watch('bundle'),
            self._updater.run_gossip(),
            self._coordination.run(),
            self._cells.run(),
            self._permits.run(),
        ]

    async def _wait_for_stop(
        self,
        stopping: asyncio.Event,
        background_tasks: list[asyncio.Task[None]],
    ) -> None:
        stop_task = asyncio.create_task(stopping.wait())
        finished_tasks, _ = await asyncio.wait(
            (stop_task, *background_tasks),
            return_when=asyncio.FIRST_COMPLETED,
        )
        stop_task.cancel()
        for task in finished_tasks:
            # A background task ends only with an exception. That is a broken
            # invariant, so it is raised here and stops the process.
            task.result()

    async def _drain(self) -> None:
        self._operators.is_draining = True
        log_event('info', 'draining', vm=self._settings.vm.name)
        tunables = self._settings.tunables
        plan = StopPlan.from_waits(
            tunables.drain_notice_ms / 1000, tunables.drain_seconds, now()
        )
        self._stop.plan = plan
        self._caller_server.stop_keep_alive()
        # The load balancer notices within this time that the VM is not ready.
        # Requests that it sends until then are served.
        await asyncio.sleep(plan.notice_until - now())
        handovers = self._cells.stop_granting()
        await self._cells.send_handovers(handovers)
        await self._coordination.release_leases()
        await self._caller_server.stop_accepting()
        await self._caller_server.wait_idle(plan.given_up_at - now())
        given_up_count = self._stop.give_up()
        aborted_request_count = await self._caller_server.drain(
            plan.responses_until - now()
        )
        await self._at_most_once.wait_until_idle()
        await self._peer_server.drain(1)
        await self._operator_server.drain(1)
        log_event(
            'info',
            'stopped',
            vm=self._settings.vm.name,
            given_up=given_up_count,
            cut=aborted_request_count,
        )

    def _read_gauges(self) -> VmGauges:
        view = self._view
        return VmGauges(
            configuration=view.configuration.revision,
            configuration_age=now() - view.configuration_adopted_at,
            vm_list=view.vm_list.revision,
            held_shards=self._coordination.held_shard_count,
            running_requests=self._permits.running_request_count,
        )

    def _adopt_change(self) -> None:
        self._coordination.adopt_lists(self._view.list_history.placements)
        self._cells.take_over_held_cells()


def _refuse_bad_request(bad_request: BadRequest) -> Response:
    return Response.text(_BAD_REQUEST_STATUS, f'{bad_request.reason}\n')


async def _cancel_tasks(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
