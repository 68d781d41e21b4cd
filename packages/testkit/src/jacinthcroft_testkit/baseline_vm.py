"""A plain proxy for the bench to compare with.

`python -m jacinthcroft_testkit.baseline_vm --settings FILE` takes a VM's
settings and reads the same platform. Its VMs know nothing of each other:
fixed shares of each team's limit, round robin over the targets, ejection
after consecutive errors, one retry.
"""

import argparse
import asyncio
import json
import pathlib

from jacinthcroft_config import (
    Access,
    Faults,
    RouteMatch,
    Settings,
    hash_key,
    load_settings,
)
from jacinthcroft_http import IncomingRequest, Response, now

from jacinthcroft_testkit.internal.baseline.fleet_state import FleetState
from jacinthcroft_testkit.internal.baseline.forwarding import (
    Failure,
    Forwarder,
)
from jacinthcroft_testkit.internal.baseline.watcher import Watcher
from jacinthcroft_testkit.internal.control import make_pool, serve
from jacinthcroft_testkit.internal.kinds import OPEN_TEAM

_MILLISECONDS_PER_SECOND = 1000
_OK = 200
_UNAUTHORIZED = 401
_NOT_FOUND = 404
_TOO_MANY = 429
_BAD_GATEWAY = 502
_UNAVAILABLE = 503


class BaselineVm:
    """Serves callers and the operators' port."""

    def __init__(self, state: FleetState) -> None:
        """Uses the state that a watcher keeps."""
        self._state = state
        self._pool = make_pool()

    async def handle(self, request: IncomingRequest) -> Response:
        """Answers a caller."""
        match = self._state.routes.find(request.method, request.path)
        if not isinstance(match, RouteMatch):
            return _refuse(_NOT_FOUND, 'unknown-route')
        team = OPEN_TEAM
        if match.route.access is Access.TEAMS:
            key = (request.headers.get('authorization') or '').split()[-1:]
            known = self._state.teams.team_for(
                match.service.name,
                hash_key(''.join(key)),
            )
            if known is None or known.name not in match.route.teams:
                return _refuse(_UNAUTHORIZED, 'key-unknown')
            team = known.name
            share = self._state.share_of(match.service.name, known)
            if not share.spend(now()):
                return _refuse(_TOO_MANY, 'rate-exceeded')
        return await self._forward(request, match, team)

    async def report(self, request: IncomingRequest) -> Response:
        """Answers the operators' port."""
        if request.path == '/status':
            revision = self._state.vm_list.revision
            return Response.json(_OK, {'list_revision': revision})
        status = _OK if self._state.is_ready else _UNAVAILABLE
        return Response.text(status, 'baseline\n')

    async def _forward(
        self,
        request: IncomingRequest,
        match: RouteMatch,
        team: str,
    ) -> Response:
        deadline = match.route.deadline_ms / _MILLISECONDS_PER_SECOND
        forwarder = Forwarder(
            self._pool,
            self._state.rotation_of(match.service),
            team,
            match.route.is_idempotent,
            request.received_at + deadline,
        )
        outcome = await forwarder.forward(request)
        if isinstance(outcome, Failure):
            claim = 'unknown' if outcome.may_have_run else 'not-run'
            return _refuse(_BAD_GATEWAY, 'target-failed', claim)
        return outcome


def _refuse(status: int, reason: str, claim: str = 'not-run') -> Response:
    problem = json.dumps({'outcome': claim, 'reason': reason}).encode()
    headers = [('content-type', 'application/problem+json')]
    return Response(status, headers, problem)


async def _run(settings: Settings) -> None:
    state = FleetState(settings.vm.name, settings.vm.zone)
    watcher = Watcher(state, make_pool(), settings.platform.address)
    vm = BaselineVm(state)
    await serve(vm.handle, settings.listen.callers.port)
    await serve(vm.report, settings.listen.operators.port)
    await asyncio.gather(watcher.watch_list(), watcher.watch_bundle())


def main() -> None:
    """Runs the proxy until it is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--settings', type=pathlib.Path, required=True)
    path = parser.parse_args().settings
    settings = load_settings(path.read_text(), str(path))
    assert not isinstance(settings, Faults), settings
    asyncio.run(_run(settings))


if __name__ == '__main__':
    main()
