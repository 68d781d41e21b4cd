"""Probes a target's health endpoint on behalf of its cell's holder.

A probe costs a target a tenth of a slot-second or more, so only the holder
probes, one target at a time, and only when the cell asks for it.
"""

import asyncio
from typing import Final

from jacinthcroft_config import Service
from jacinthcroft_decisions.traffic import Cell
from jacinthcroft_http import (
    Answer,
    ConnectionPool,
    Headers,
    OutgoingRequest,
    now,
)

_PROBE_TIMEOUT_SECONDS: Final = 1.0
_PROBE_ANSWER_BYTES: Final = 65_536
_OK: Final = 200


class Prober:
    """Runs probes in the background."""

    def __init__(self, pool: ConnectionPool) -> None:
        """Probes over the same pool that requests use."""
        self._pool = pool
        self._running: set[asyncio.Task[None]] = set()

    def start(self, service: Service, target_name: str, cell: Cell) -> None:
        """Starts one probe; the cell hears of its result."""
        probe = asyncio.create_task(self._probe(service, target_name, cell))
        self._running.add(probe)
        probe.add_done_callback(self._running.discard)

    async def _probe(
        self,
        service: Service,
        target_name: str,
        cell: Cell,
    ) -> None:
        named = (one for one in service.targets if one.name == target_name)
        target = next(named, None)
        if target is None:
            return
        started_at = now()
        request = OutgoingRequest(
            host=target.address.host,
            port=target.address.port,
            method='GET',
            target='/health',
            headers=Headers((('host', str(target.address)),)),
            body=None,
        )
        outcome = await self._pool.send(request, _PROBE_TIMEOUT_SECONDS)
        is_ok = False
        boot_id = None
        if isinstance(outcome, Answer):
            body = await outcome.read(_PROBE_ANSWER_BYTES)
            is_ok = outcome.status == _OK and isinstance(body, bytes)
            boot_id = outcome.headers.get('x-boot-id')
        latency = now() - started_at
        cell.probe_result(target_name, is_ok, latency, now(), boot_id)
