"""Probes the health endpoints of targets.

A cell is the set of targets of one service. A probe occupies a slot of its
target for a tenth of a second or more, so only the VM that holds the cell
probes its targets, and only when the cell's health checks ask for it.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from attrs import frozen
from jacinthcroft_config import Service, Target
from jacinthcroft_http import (
    Answer,
    ConnectionPool,
    Headers,
    OutgoingRequest,
)

_PROBE_TIMEOUT_SECONDS: Final = 1.0
_MAX_PROBE_RESPONSE_BYTES: Final = 65_536
_OK_STATUS: Final = 200


@frozen
class ProbeResult:
    """A probe's result and the process state that the response reports."""

    is_ok: bool
    boot_id: str | None = None
    is_draining: bool = False


class Prober:
    """Runs probes in the background."""

    def __init__(self, pool: ConnectionPool) -> None:
        """Sends probes through `pool`, which requests use as well."""
        self._pool = pool
        self._probe_tasks: set[asyncio.Task[None]] = set()

    def start_probe(
        self,
        service: Service,
        target_name: str,
        on_result: Callable[[ProbeResult], None],
    ) -> None:
        """Starts one probe, if the service has a target of this name.

        Args:
            service: The service of the target.
            target_name: The name of the target to probe.
            on_result: Called with the result when the probe ends.
        """
        matches = (
            target for target in service.targets if target.name == target_name
        )
        target = next(matches, None)
        if target is None:
            return
        probe_task = asyncio.create_task(self._run_probe(target, on_result))
        self._probe_tasks.add(probe_task)
        probe_task.add_done_callback(self._probe_tasks.discard)

    async def _run_probe(
        self,
        target: Target,
        on_result: Callable[[ProbeResult], None],
    ) -> None:
        request = OutgoingRequest(
            host=target.address.host,
            port=target.address.port,
            method='GET',
            target='/health',
            headers=Headers((('host', str(target.address)),)),
            body=None,
        )
        outcome = await self._pool.send(request, _PROBE_TIMEOUT_SECONDS)
        if not isinstance(outcome, Answer):
            on_result(ProbeResult(is_ok=False))
            return
        body = await outcome.read(_MAX_PROBE_RESPONSE_BYTES)
        is_whole = isinstance(body, bytes)
        on_result(
            ProbeResult(
                is_ok=outcome.status == _OK_STATUS and is_whole,
                boot_id=outcome.headers.get('x-boot-id'),
                is_draining=outcome.headers.get('x-draining') == '1',
            ),
        )
