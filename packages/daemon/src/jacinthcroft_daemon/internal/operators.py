"""The operators' port: liveness, readiness, status and metrics."""

from collections.abc import Callable
from typing import Final

from jacinthcroft_config import VmState
from jacinthcroft_http import IncomingRequest, Response, now

from jacinthcroft_daemon.internal.fleet.view import FleetView
from jacinthcroft_daemon.internal.pipeline.reporting import RequestReporter
from jacinthcroft_daemon.internal.sharing.coordination import (
    CoordinationService,
)
from jacinthcroft_daemon.internal.sharing.held_cells import HeldCells
from jacinthcroft_daemon.internal.sharing.permits import PermitService
from jacinthcroft_daemon.internal.telemetry.metrics import Metrics

_OK: Final = 200
_NOT_FOUND: Final = 404
_UNAVAILABLE: Final = 503
_MS_PER_SECOND: Final = 1000

Answerer = Callable[['OperatorHandler', IncomingRequest], Response]
_ANSWERERS: dict[str, Answerer] = {}


def operator_path(path: str) -> Callable[[Answerer], Answerer]:
    """Registers the answerer of all paths with one first segment."""

    def decorator(answerer: Answerer) -> Answerer:
        _ANSWERERS[path] = answerer
        return answerer

    return decorator


class OperatorHandler:
    """Answers operators and the platform's balancer; it changes nothing."""

    def __init__(
        self,
        view: FleetView,
        coordination: CoordinationService,
        cells: HeldCells,
        permits: PermitService,
        reporter: RequestReporter,
        metrics: Metrics,
    ) -> None:
        """Reads the state of the VM's services."""
        self.view = view
        self.coordination = coordination
        self.cells = cells
        self.permits = permits
        self.reporter = reporter
        self.metrics = metrics
        self.is_draining = False

    @property
    def is_staying(self) -> bool:
        """Whether neither the platform nor an operator stops this VM."""
        return self.view.state is VmState.LIVE and not self.is_draining

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        view = self.view
        is_zone_in = view.zone not in view.vm_list.zones_out
        is_configured = view.configuration.revision > 0
        return (
            is_configured
            and is_zone_in
            and self.is_staying
            and view.is_fresh(now())
        )

    async def handle(self, request: IncomingRequest) -> Response:
        """Returns the answer for one path."""
        first_segment = request.path.split('/')[1]
        answerer = _ANSWERERS.get(f'/{first_segment}')
        if answerer is None:
            return Response.text(_NOT_FOUND, 'unknown path\n')
        return answerer(self, request)


@operator_path('/livez')
def _livez(port: OperatorHandler, request: IncomingRequest) -> Response:
    return Response.text(_OK, 'live\n')


@operator_path('/readyz')
def _readyz(port: OperatorHandler, request: IncomingRequest) -> Response:
    if port.is_ready:
        return Response.text(_OK, 'ready\n')
    return Response.text(_UNAVAILABLE, 'not ready\n')


@operator_path('/metrics')
def _metrics(port: OperatorHandler, request: IncomingRequest) -> Response:
    return Response(
        _OK,
        (('content-type', 'text/plain; version=0.0.4; charset=utf-8'),),
        port.metrics.stream(),
    )


@operator_path('/explain')
def _explain(port: OperatorHandler, request: IncomingRequest) -> Response:
    request_id = request.path.rpartition('/')[2]
    steps = port.reporter.traces.find_steps(request_id)
    if steps is None:
        return Response.text(_NOT_FOUND, 'request not remembered\n')
    begun_at = steps[0].at
    return Response.json(
        _OK,
        {
            'request_id': request_id,
            'events': [
                {
                    'at_ms': round((step.at - begun_at) * _MS_PER_SECOND, 1),
                    'event': step.event,
                    'detail': step.detail,
                }
                for step in steps
            ],
        },
    )


@operator_path('/status')
def _status(port: OperatorHandler, request: IncomingRequest) -> Response:
    view = port.view
    return Response.json(
        _OK,
        {
            'vm': view.vm,
            'zone': view.zone,
            'state': 'live' if port.is_staying else 'leaving',
            'list_revision': view.vm_list.revision,
            'configuration_revision': view.configuration.revision,
            'configuration_age_seconds': round(
                now() - view.configuration_adopted_at, 1
            ),
            'is_fresh': view.is_fresh(now()),
            'leases': port.coordination.held_shard_count,
            'permits': port.permits.running_request_count,
            'teams': [
                {
                    'service': count.service,
                    'team': count.team,
                    'answered': count.answered,
                    'refused': count.refused,
                }
                for count in port.reporter.team_counts
            ],
            'targets': [
                {
                    'service': service,
                    'target': target.name,
                    'state': target.state.value,
                    'running': target.running,
                    'allowed': target.allowed,
                }
                for service, target in port.cells.target_views
            ],
            'refusals': [
                {'reason': reason, 'count': count}
                for reason, count in port.reporter.reason_counts
            ],
        },
    )
