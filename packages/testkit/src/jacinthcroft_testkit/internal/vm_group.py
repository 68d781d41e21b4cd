"""The VM processes of a fleet under test."""

import asyncio
import json
import signal
from collections.abc import Iterable, Mapping
from typing import Any

from attrs import define, evolve, field
from jacinthcroft_config import Address, Vm, VmState
from jacinthcroft_http import (
    Answer,
    ConnectionPool,
    OutgoingRequest,
    now,
)

from jacinthcroft_testkit.internal.documents import write_settings
from jacinthcroft_testkit.internal.network import Network
from jacinthcroft_testkit.internal.processes import (
    READY_TIMEOUT_SECONDS,
    ManagedProcess,
    ProcessError,
    ProcessGroup,
)

_POLL_SECONDS = 0.05
_ASK_TIMEOUT_SECONDS = 2.0
_READ_LIMIT_BYTES = 16_000_000
_OK = 200
_SECRET = 'secret of the fleet under test'


@define(eq=False)
class VmGroup:
    """Starts, stops and asks VMs by name.

    A VM's place in the published list is its own matter: `entries` is what
    the list says, whatever the processes do.
    """

    _processes: ProcessGroup
    _network: Network
    _pool: ConnectionPool
    _platform: Address
    _tunables: Mapping[str, float]
    entries: dict[str, Vm] = field(factory=dict, init=False)
    _running: dict[str, ManagedProcess] = field(factory=dict, init=False)

    def names(self, zone: str = '') -> list[str]:
        """Returns the names of all VMs, or of those in a zone."""
        return [
            vm.name
            for vm in self.entries.values()
            if not zone or vm.zone == zone
        ]

    def process(self, name: str) -> ManagedProcess:
        """Returns a VM's latest process."""
        return self._running[name]

    def mark(self, name: str, state: VmState) -> None:
        """Changes what the list will say of a VM."""
        self.entries[name] = evolve(self.entries[name], state=state)

    async def start(self, name: str) -> None:
        """Starts a VM's process, without waiting until it is ready."""
        vm = self.entries[name]
        folder = self._processes.folder
        secret = folder / 'secret'
        # Written once: another VM that starts now would read a file that is
        # being rewritten as empty.
        if not secret.exists():
            secret.write_text(_SECRET)
        settings = folder / f'{name}.toml'
        settings.write_text(
            write_settings(vm, self._platform, str(secret), self._tunables),
        )
        self._running[name] = await self._processes.start(
            name,
            (*self._network.launch(name), '--settings', str(settings)),
            has_ready_line=False,
        )

    async def kill(self, name: str) -> None:
        """Ends a VM at once, as a crash would."""
        self._running[name].signal(signal.SIGKILL)
        await self._running[name].wait()

    async def stop(self, name: str) -> int:
        """Stops a VM gracefully and returns its exit code."""
        self._running[name].signal(signal.SIGTERM)
        return await self._running[name].wait()

    def pause(self, name: str) -> None:
        """Suspends a VM's process."""
        self._running[name].signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Lets a suspended process go on."""
        self._running[name].signal(signal.SIGCONT)

    async def read(self, name: str, path: str) -> tuple[int, bytes]:
        """Asks a VM's operators' port; status 0 if there is no answer."""
        address = self.entries[name].operators
        request = OutgoingRequest(address.host, address.port, 'GET', path)
        answer = await self._pool.send(request, _ASK_TIMEOUT_SECONDS)
        if not isinstance(answer, Answer):
            return 0, b''
        body = await answer.read(_READ_LIMIT_BYTES)
        return answer.status, body if isinstance(body, bytes) else b''

    async def read_status(self, name: str) -> Any:
        """Returns a VM's status document, None if it does not answer."""
        status, body = await self.read(name, '/status')
        return json.loads(body) if status else None

    async def wait_ready(
        self,
        names: Iterable[str] = (),
        timeout: float = READY_TIMEOUT_SECONDS,
    ) -> None:
        """Waits until the named VMs, or all, say they are ready.

        Raises:
            ProcessError: If one ends, or is not ready in time.
        """
        until = now() + timeout
        for name in tuple(names) or self.names():
            while not await self._is_ready(name):
                if now() > until:
                    tail = self._running[name].log_tail()
                    raise ProcessError(f'{name} is not ready: {tail}')
                await asyncio.sleep(_POLL_SECONDS)

    async def _is_ready(self, name: str) -> bool:
        process = self._running[name]
        if process.has_ended:
            raise ProcessError(f'{name} ended: {process.log_tail()}')
        status, _ = await self.read(name, '/readyz')
        return status == _OK
