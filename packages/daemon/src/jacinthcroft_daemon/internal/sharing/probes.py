"""Probes a target's health endpoint on behalf of its cell's holder.

A probe costs a target a tenth of a slot-second or more, so only the holder
probes, and only when the cell asks for it.
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
_PROBE_ANSWER_BYTES: Final = 65_536
_OK: Final = 200


@frozen
class ProbeResult:
    """What a probe found, with the signs that any answer carries."""

    is_ok: bool
    boot_id: str | None = None
    is_draining: bool = False


class Prober:
    """Runs probes in the background."""

    def __init__(self, pool: ConnectionPool) -> None:
        """Probes over the same pool that requests use."""
        self._pool = pool
        self._running: set[asyncio.Task[None]] = set()

    def start_probe(
        self,
        service: Service,
        target_name: str,
        on_result: Callable[[ProbeResult], None],
    ) -> None:
        """Starts one probe and tells its result, if the target is listed."""
        named = (one for one in service.targets if one.name == target_name)
        target = next(named, None)
        if target is None:
            return
        probe = asyncio.create_task(self._probe(target, on_result))
        self._running.add(probe)
        probe.add_done_callback(self._running.discard)

    async def _probe(
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
        body = await outcome.read(_PROBE_ANSWER_BYTES)
        is_whole = isinstance(body, bytes)
        on_result(
            ProbeResult(
                is_ok=outcome.status == _OK and is_whole,
                boot_id=outcome.headers.get('x-boot-id'),
                is_draining=outcome.headers.get('x-draining') == '1',
            ),
        )
