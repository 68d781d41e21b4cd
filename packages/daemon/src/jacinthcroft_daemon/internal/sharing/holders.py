"""Finds the VM that holds a shard now, and asks it.

The ranked candidates are asked in turn, beginning with the one that answered
last; a VM that does not hold the shard says so.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final, Generic, TypeVar

from attrs import frozen

from jacinthcroft_daemon.internal.fleet.view import FleetView
from jacinthcroft_daemon.internal.peers import NoPeerReply, PeerClient

# The holder is nearly always the first candidate, and after a failure the
# second; further ones would only add to a request's wait.
_TRIED_CANDIDATES: Final = 3

Reply = TypeVar('Reply')


@frozen
class HolderRequest(Generic[Reply]):
    """A question that any VM may be asked, and how this one answers it.

    `timeout` is in seconds; `handle_locally` takes the sender and the message.
    """

    kind: str
    message: Any
    reply_type: type[Reply]
    timeout: float
    handle_locally: Callable[[str, Any], Awaitable[Reply]]


class HolderFinder:
    """Remembers who held each shard when last asked."""

    def __init__(self, view: FleetView, peers: PeerClient) -> None:
        """Asks in the order of the newest placement."""
        self._view = view
        self._peers = peers
        self._last: dict[int, str] = {}

    def likely_holders(self, thing: str) -> tuple[str, ...]:
        """Returns the VMs to ask, the likeliest first."""
        shard = self._view.placement.shard_of(thing)
        candidates = self._view.placement.candidates(shard)
        first = candidates[:_TRIED_CANDIDATES]
        last = self._last.get(shard)
        if last not in first:
            return first
        return (last, *(vm for vm in first if vm != last))

    def record_holder(self, thing: str, vm: str) -> None:
        """Remembers who answered as the holder."""
        self._last[self._view.placement.shard_of(thing)] = vm

    async def send_request(
        self,
        vm: str,
        question: HolderRequest[Reply],
    ) -> Reply | NoPeerReply:
        """Asks one VM; where that is this one, without a message."""
        if vm == self._view.vm:
            return await question.handle_locally(vm, question.message)
        return await self._peers.send_request(
            vm,
            question.kind,
            question.message,
            question.reply_type,
            question.timeout,
        )
