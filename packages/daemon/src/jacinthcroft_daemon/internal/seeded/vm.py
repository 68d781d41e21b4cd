"""Builds, runs and gracefully stops one VM of a seeded fleet."""

import asyncio
import itertools
import random
from collections.abc import Iterable
from typing import Any, Final, Self

from attrs import define, field
from jacinthcroft_decisions.dispatch import Decider, StopPlan
from jacinthcroft_decisions.membership import Leadership, Peer
from jacinthcroft_http import (
    BadRequest,
    BufferBudget,
    ConnectionPool,
    IncomingRequest,
    PoolLimits,
    Response,
    Server,
    ServerLimits,
    now,
)

from jacinthcroft_daemon.internal.pipeline.planned_stop import PlannedStop
from jacinthcroft_daemon.internal.pipeline.refusals import (
    Outcome,
    Reason,
    Refusal,
    make_refusal_response,
)
from jacinthcroft_daemon.internal.seeded.admission import Admission
from jacinthcroft_daemon.internal.seeded.datagrams import Datagrams
from jacinthcroft_daemon.internal.seeded.decision_client import DecisionClient
from jacinthcroft_daemon.internal.seeded.decision_server import DecisionServer
from jacinthcroft_daemon.internal.seeded.deployment import (
    Deployment,
    SeededSettings,
)
from jacinthcroft_daemon.internal.seeded.documents_copy import DocumentsCopy
from jacinthcroft_daemon.internal.seeded.fleet_poller import (
    COPY_AGE_HEADER,
    COPY_PATH,
    FleetPoller,
)
from jacinthcroft_daemon.internal.seeded.held_target_tracker import (
    HeldTargetTracker,
)
from jacinthcroft_daemon.internal.seeded.reader import PlatformReader
from jacinthcroft_daemon.internal.seeded.request_handler import RequestHandler
from jacinthcroft_daemon.internal.seeded.schemas import parse_whole_number
from jacinthcroft_daemon.internal.seeded.sender import Sender
from jacinthcroft_daemon.internal.seeded.vm_metrics import Gauges, VmMetrics
from jacinthcroft_daemon.internal.telemetry.events import log_event

# Idle connections to a target are kept this long unless the target states a
# time. Opening one takes a few round trips, so a longer attempt has failed.
MAX_IDLE_CONNECTIONS_PER_TARGET: Final = 4
TARGET_IDLE_TIMEOUT_SECONDS: Final = 7.5
TARGET_CONNECT_TIMEOUT_SECONDS: Final = 0.3
PEER_CONNECT_TIMEOUT_SECONDS: Final = 0.5
# Longer than any configuration lets the connection of a caller be idle.
CALLER_IDLE_TIMEOUT_SECONDS: Final = 75.0
# A caller that reads nothing of its response for this long has left. Others
# wait for the memory that the response occupies.
CALLER_READ_TIMEOUT_SECONDS: Final = 10.0
MAX_HEAD_BYTES: Final = 65536
METRICS_PATH: Final = '/metrics'
# Reported in place of the infinite age of a copy that was never confirmed.
MAX_AGE_SECONDS: Final = 1e6
_HTTP_OK: Final = 200
_HTTP_NOT_READY: Final = 503
_HTTP_NOT_FOUND: Final = 404
_HTTP_BAD_REQUEST: Final = 400
_RANDOM_BITS: Final = 30


@define(eq=False)
class SeededVm:
    """The process on one VM."""

    _settings: SeededSettings
    _copy: DocumentsCopy
    _leadership: Leadership
    _fleet_poller: FleetPoller
    _datagrams: Datagrams
    _pools: tuple[ConnectionPool, ...]
    _request_handler: RequestHandler
    _metrics: VmMetrics
    _stop: PlannedStop
    _held_targets: HeldTargetTracker
    _servers: dict[str, Server] = field(factory=dict)

    @classmethod
    def from_config(
        cls,
        settings: SeededSettings,
        deployment: Deployment,
        random_source: random.Random,
    ) -> Self:
        """Builds a VM that is not running yet."""
        local_peer = Peer(
            settings.host,
            settings.zone,
            random_source.getrandbits(_RANDOM_BITS),
            (-settings.deciding_capacity, _hash_host(settings.host)),
        )
        leadership = Leadership(local_peer, settings.seeds)
        datagrams = Datagrams.from_port(settings.peer_port)
        documents_copy = DocumentsCopy(
            deployment.translator,
            settings.dispatch_limits.revoke_seconds,
        )
        pools = _make_pools()
        metrics = VmMetrics()
        decision_server = DecisionServer(
            leadership,
            Decider.from_limits(settings.dispatch_limits, settings.host),
            datagrams,
            documents_copy,
            metrics,
        )
        decision_server.client = DecisionClient(
            decision_server.decider,
            leadership,
            datagrams,
            settings.zone,
            itertools.count(random_source.getrandbits(_RANDOM_BITS)),
            decision_server.deliver_decision,
        )
        stop = PlannedStop()
        decision_server.held_targets = HeldTargetTracker(
            decision_server.decider,
            leadership,
            datagrams,
            documents_copy,
        )
        admission = Admission(
            documents_copy,
            deployment.header_names,
            random_source,
            settings.fails_closed,
        )
        return cls(
            settings,
            documents_copy,
            leadership,
            _make_fleet_poller(decision_server, deployment, pools[0]),
            datagrams,
            pools,
            RequestHandler(
                admission,
                decision_server.client,
                Sender(
                    pools[1],
                    deployment.header_names,
                    admission,
                    BufferBudget.from_limit(settings.response_buffer_bytes),
                ),
                settings.host,
                metrics,
                stop,
                decision_server.held_targets,
            ),
            metrics,
            stop,
            decision_server.held_targets,
        )

    @property
    def is_ready(self) -> bool:
        """Whether callers should send requests to this VM."""
        if self._stop.plan is not None or self._copy.configuration is None:
            return False
        if self._leadership.leader is None:
            return False
        return self._copy.is_fresh or not self._settings.fails_closed

    def reload(self, settings: SeededSettings) -> None:
        """Applies new settings; only the seeds may change while a VM runs."""
        self._leadership.seeds = settings.seeds
        self._settings = settings
        log_event('info', 'reloaded', seeds=','.join(settings.seeds))

    async def run(self, stopping: asyncio.Event) -> None:
        """Serves until `stopping` is set, then drains the running requests."""
        await self._start()
        loops = [
            asyncio.create_task(self._fleet_poller.run()),
            asyncio.create_task(self._fleet_poller.reader.run()),
        ]
        stop_task = asyncio.create_task(stopping.wait())
        try:
            done, _ = await asyncio.wait(
                (stop_task, *loops),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for finished in done:
                # A loop ends only by an error, which is a broken invariant
                # and stops the process.
                finished.result()
            await self._drain()
        finally:
            await self._close((stop_task, *loops))

    async def serve_copy(self, request: IncomingRequest) -> Response:
        """Returns the changes of this VM's copy that another VM lacks."""
        if request.path != COPY_PATH:
            return Response(_HTTP_NOT_FOUND)
        _, _, after = request.query.partition('=')
        revision = parse_whole_number(after)
        if revision is None:
            return Response.text(
                _HTTP_BAD_REQUEST, f'after={after!r}: expected a number\n'
            )
        return Response(
            _HTTP_OK,
            [(COPY_AGE_HEADER, self._copy.export_age())],
            self._copy.export_changes(revision),
        )

    async def _close(self, tasks: Iterable[asyncio.Task[Any]]) -> None:
        for task in tasks:
            task.cancel()
        self._datagrams.close()
        for server in self._servers.values():
            await server.drain(0)
        for pool in self._pools:
            await pool.close()

    async def _start(self) -> None:
        settings = self._settings
        self._metrics.read_gauges = self._read_gauges
        await self._datagrams.start(settings.host)
        listeners: tuple[tuple[str, Any, str, int], ...] = (
            (
                'peers',
                self.serve_copy,
                settings.host,
                settings.peer_port,
            ),
            (
                'ready',
                self._serve_readiness,
                settings.ready.host,
                settings.ready.port,
            ),
            (
                'metrics',
                self._serve_metrics,
                settings.host,
                settings.metrics_port,
            ),
            (
                'callers',
                self._request_handler.serve,
                settings.callers.host,
                settings.callers.port,
            ),
        )
        limits = ServerLimits(
            max_head_bytes=MAX_HEAD_BYTES,
            keep_alive_timeout=CALLER_IDLE_TIMEOUT_SECONDS,
            write_timeout=CALLER_READ_TIMEOUT_SECONDS,
        )
        for name, handler, host, port in listeners:
            server = Server.from_limits(
                limits,
                handler,
                _refuse_unreadable,
                self._request_handler.may_start_early,
            )
            await server.start(host, port)
            self._servers[name] = server
        log_event(
            'info',
            'started',
            vm=settings.name,
            zone=settings.zone,
            seeds=','.join(settings.seeds),
        )

    async def _drain(self) -> None:
        name = self._settings.name
        grace = self._settings.grace_seconds
        log_event('info', 'stopping', vm=name, grace=grace)
        plan = StopPlan.from_grace(grace, now())
        self._stop.plan = plan
        callers = self._servers['callers']
        callers.stop_keep_alive()
        self._fleet_poller.hand_over()
        await asyncio.sleep(plan.notice_until - now())
        await callers.stop_accepting()
        await callers.wait_idle(plan.given_up_at - now())
        given_up = self._stop.give_up()
        cut = await callers.drain(plan.responses_until - now())
        log_event('info', 'stopped', vm=name, given_up=given_up, cut=cut)

    async def _serve_readiness(self, _: IncomingRequest) -> Response:
        return Response(_HTTP_OK if self.is_ready else _HTTP_NOT_READY)

    async def _serve_metrics(self, request: IncomingRequest) -> Response:
        if request.path != METRICS_PATH:
            return Response(_HTTP_NOT_FOUND)
        return Response.text(_HTTP_OK, self._metrics.render().decode())

    def _read_gauges(self) -> Gauges:
        configuration = self._copy.configuration
        followers = self._leadership.followers
        state = self._copy.state
        age = min(state.age(now()), MAX_AGE_SECONDS)
        return {
            'configuration_version': (
                configuration.version if configuration else 0
            ),
            'state_version': state.version,
            'state_age_seconds': age,
            'is_leading': int(self._leadership.is_leading),
            'followers': followers.count,
            'known_targets': len(self._copy.documents.targets),
            **self._held_targets.count_held(),
        }


def _make_pools() -> tuple[ConnectionPool, ConnectionPool]:
    """Returns the pools for other VMs and for targets."""
    peers = PoolLimits(connect_timeout=PEER_CONNECT_TIMEOUT_SECONDS)
    targets = PoolLimits(
        MAX_IDLE_CONNECTIONS_PER_TARGET,
        TARGET_IDLE_TIMEOUT_SECONDS,
        TARGET_CONNECT_TIMEOUT_SECONDS,
    )
    return (
        ConnectionPool.from_limits(peers),
        ConnectionPool.from_limits(targets),
    )


def _make_fleet_poller(
    decision_server: DecisionServer,
    deployment: Deployment,
    pool: ConnectionPool,
) -> FleetPoller:
    leadership = decision_server.leadership
    reader = PlatformReader(
        deployment.store,
        decision_server.documents,
        leadership,
        decision_server.apply_documents,
        decision_server.metrics,
    )
    fleet_poller = FleetPoller(
        leadership,
        decision_server.datagrams,
        decision_server.documents,
        pool,
        decision_server,
        reader,
    )
    decision_server.register_handlers()
    fleet_poller.register_handlers()
    return fleet_poller


def _hash_host(host: str) -> int:
    # Ranks equally capable VMs in a fixed order that does not follow the order
    # of their addresses.
    return random.Random(host).getrandbits(_RANDOM_BITS)


def _refuse_unreadable(fault: BadRequest) -> Response:
    reasons = {
        'conflicting-length': Reason.CONFLICTING_LENGTH,
        'head-too-large': Reason.HEAD_TOO_LARGE,
        'head-timeout': Reason.HEAD_TIMEOUT,
    }
    reason = reasons.get(fault.reason, Reason.MALFORMED_REQUEST)
    log_event('info', 'unreadable', reason=fault.reason, detail=fault.detail)
    refusal = Refusal(reason, Outcome.NOT_RUN, fault.detail)
    return make_refusal_response(refusal, '')
