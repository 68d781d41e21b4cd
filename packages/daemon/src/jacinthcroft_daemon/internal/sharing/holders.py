"""Finds the VM that holds a shard and sends requests to it.

The holder of a shard is the VM that has the lease on it. The candidates are
tried in the order of their rank, after the VM that last replied as the holder.
A VM that does not hold the shard says so in its reply.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final, Generic, TypeVar

from attrs import frozen

from jacinthcroft_daemon.internal.fleet.view import FleetView
from jacinthcroft_daemon.internal.peers import NoPeerReply, PeerClient

# The holder is nearly always the first candidate, and after a failure the
# second. Trying more candidates would only delay a request further.
_MAX_TRIED_CANDIDATES: Final = 3

Reply = TypeVar('Reply')


@frozen
class HolderRequest(Generic[Reply]):
    """A request to a shard's holder, which may be this VM itself.

    `timeout` is in seconds. `handle_locally` is called with the sender and the
    message if this VM is the receiver.
    """

    kind: str
    message: Any
    reply_type: type[Reply]
    timeout: float
    handle_locally: Callable[[str, Any], Awaitable[Reply]]


class HolderFinder:
    """Ranks the VMs that may hold a shard and remembers the last holders."""

    def __init__(self, view: FleetView, peers: PeerClient) -> None:
        """Takes candidates from the newest placement of `view`."""
        self._view = view
        self._peers = peers
        self._last_holders: dict[int, str] = {}

    def likely_holders(self, resource: str) -> tuple[str, ...]:
        """Returns the VMs to try for a resource, the most likely first."""
        shard = self._view.placement.shard_of(resource)
        candidates = self._view.placement.candidates(shard)
        tried = candidates[:_MAX_TRIED_CANDIDATES]
        last_holder = self._last_holders.get(shard)
        if last_holder not in tried:
            return tried
        return (last_holder, *(vm for vm in tried if vm != last_holder))

    def record_holder(self, resource: str, vm: str) -> None:
        """Remembers the VM that replied as the resource's holder."""
        self._last_holders[self._view.placement.shard_of(resource)] = vm

    async def send_request(
        self,
        vm: str,
        request: HolderRequest[Reply],
    ) -> Reply | NoPeerReply:
        """Sends a request to one VM, or handles it if that is this VM."""
        if vm == self._view.vm:
            return await request.handle_locally(vm, request.message)
        return await self._peers.send_request(
            vm,
            request.kind,
            request.message,
            request.reply_type,
            request.timeout,
        )
