"""Keeps a baseline VM's state up to date with the platform."""

import asyncio
import json
from collections.abc import Callable

from attrs import frozen
from jacinthcroft_config import (
    Address,
    Faults,
    join_services,
    load_service,
    load_vm_list,
)
from jacinthcroft_http import Answer, ConnectionPool, OutgoingRequest

from jacinthcroft_testkit.internal.baseline.fleet_state import FleetState
from jacinthcroft_testkit.internal.published import Published

_WAIT_SECONDS = 20
_TIMEOUT_SECONDS = 30.0
_PAUSE_SECONDS = 0.2
_VALUE_LIMIT_BYTES = 2_000_000
_OK = 200


@frozen
class Watcher:
    """Reads the list and the bundle for as long as the VM runs."""

    state: FleetState
    pool: ConnectionPool
    platform: Address

    async def watch_list(self) -> None:
        """Adopts every list."""
        await self._watch('vms', self._adopt_list)

    async def watch_bundle(self) -> None:
        """Adopts every bundle whose parts are all sound."""
        revision = 0
        while True:
            bundle = await self._read('bundle', revision)
            if bundle is None:
                await asyncio.sleep(_PAUSE_SECONDS)
                continue
            revision = bundle.revision
            await self._adopt_bundle(bundle)

    async def _watch(
        self,
        name: str,
        adopt: Callable[[Published], None],
    ) -> None:
        revision = 0
        while True:
            published = await self._read(name, revision)
            if published is None:
                await asyncio.sleep(_PAUSE_SECONDS)
                continue
            revision = published.revision
            adopt(published)

    def _adopt_list(self, published: Published) -> None:
        vm_list = load_vm_list(published.value, published.revision, 'vms')
        if not isinstance(vm_list, Faults):
            self.state.adopt_list(vm_list)

    async def _adopt_bundle(self, bundle: Published) -> None:
        services = []
        for name, digest in json.loads(bundle.value)['services'].items():
            part = await self._read(f'part-{digest}', 0)
            service = load_service(part.value, name) if part else None
            if service is None or isinstance(service, Faults):
                return
            services.append((name, service))
        joined = join_services(bundle.revision, services)
        if not isinstance(joined, Faults):
            self.state.adopt_configuration(joined)

    async def _read(self, name: str, after: int) -> Published | None:
        query = f'reader={self.state.vm}&after={after}&wait={_WAIT_SECONDS}'
        request = OutgoingRequest(
            self.platform.host,
            self.platform.port,
            'GET',
            f'/v1/values/{name}?{query}',
        )
        answer = await self.pool.send(request, _TIMEOUT_SECONDS)
        if not isinstance(answer, Answer):
            return None
        body = await answer.read(_VALUE_LIMIT_BYTES)
        if answer.status != _OK or not isinstance(body, bytes):
            return None
        return Published(**json.loads(body))
