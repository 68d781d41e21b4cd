"""Serves operators: liveness, readiness, status, metrics and traces."""

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

PathHandler = Callable[['OperatorHandler', IncomingRequest], Response]
_HANDLERS: dict[str, PathHandler] = {}


def operator_path(path: str) -> Callable[[PathHandler], PathHandler]:
    """Registers the handler of all paths with one first segment."""

    def decorator(path_handler: PathHandler) -> PathHandler:
        _HANDLERS[path] = path_handler
        return path_handler

    return decorator


class OperatorHandler:
    """Answers operators and the platform's balancer; changes no state."""

    def __init__(
        self,
        view: FleetView,
        coordination: CoordinationService,
        cells: HeldCells,
        permits: PermitService,
        reporter: RequestReporter,
        metrics: Metrics,
    ) -> None:
        """Creates a handler that reads the state of these services."""
        self.view = view
        self.coordination = coordination
        self.cells = cells
        self.permits = permits
        self.reporter = reporter
        self.metrics = metrics
        self.is_draining = False

    @property
    def is_staying(self) -> bool:
        """Whether this VM is live and not being stopped."""
        return self.view.state is VmState.LIVE and not self.is_draining

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send callers to this VM."""
        view = self.view
        is_zone_in_service = view.zone not in view.vm_list.zones_out
        is_configured = view.configuration.revision > 0
        return (
            is_configured
            and is_zone_in_service
            and self.is_staying
            and view.is_fresh(now())
        )

    async def handle(self, request: IncomingRequest) -> Response:
        """Returns the response for one path."""
        first_segment = request.path.split('/')[1]
        path_handler = _HANDLERS.get(f'/{first_segment}')
        if path_handler is None:
            return Response.text(_NOT_FOUND, 'unknown path\n')
        return path_handler(self, request)


@operator_path('/livez')
def _livez(handler: OperatorHandler, request: IncomingRequest) -> Response:
    return Response.text(_OK, 'live\n')


@operator_path('/readyz')
def _readyz(handler: OperatorHandler, request: IncomingRequest) -> Response:
    if handler.is_ready:
        return Response.text(_OK, 'ready\n')
    return Response.text(_UNAVAILABLE, 'not ready\n')


@operator_path('/metrics')
def _metrics(handler: OperatorHandler, request: IncomingRequest) -> Response:
    return Response(
        _OK,
        (('content-type', 'text/plain; version=0.0.4; charset=utf-8'),),
        handler.metrics.stream(),
    )


@operator_path('/explain')
def _explain(handler: OperatorHandler, request: IncomingRequest) -> Response:
    request_id = request.path.rpartition('/')[2]
    steps = handler.reporter.traces.find_steps(request_id)
    if steps is None:
        return Response.text(_NOT_FOUND, 'request not remembered\n')
    started_at = steps[0].at
    return Response.json(
        _OK,
        {
            'request_id': request_id,
            'events': [
                {
                    'at_ms': round((step.at - started_at) * _MS_PER_SECOND, 1),
                    'event': step.event,
                    'detail': step.detail,
                }
                for step in steps
            ],
        },
    )


@operator_path('/status')
def _status(handler: OperatorHandler, request: IncomingRequest) -> Response:
    view = handler.view
    return Response.json(
        _OK,
        {
            'vm': view.vm,
            'zone': view.zone,
            'state': 'live' if handler.is_staying else 'leaving',
            'list_revision': view.vm_list.revision,
            'configuration_revision': view.configuration.revision,
            'configuration_age_seconds': round(
                now() - view.configuration_adopted_at, 1
            ),
            'is_fresh': view.is_fresh(now()),
            'leases': handler.coordination.held_shard_count,
            'permits': handler.permits.running_request_count,
            'teams': [
                {
                    'service': count.service,
                    'team': count.team,
                    'answered': count.answered,
                    'refused': count.refused,
                }
                for count in handler.reporter.team_counts
            ],
            'targets': [
                {
                    'service': service,
                    'target': target.name,
                    'state': target.state.value,
                    'running': target.running,
                    'allowed': target.allowed,
                }
                for service, target in handler.cells.target_views
            ],
            'refusals': [
                {'reason': reason, 'count': count}
                for reason, count in handler.reporter.reason_counts
            ],
        },
    )
