"""Runs this VM's part in leases and witnessing: carries the messages.

All messages of one round for one VM travel in one batch, so traffic grows
with pairs of VMs, not with shards. A reply that does not come is simply not
received; the decisions send again in a later round.
"""

import asyncio
import time
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Final

from attrs import frozen
from jacinthcroft_config import Tunables
from jacinthcroft_decisions.coordination import (
    CoordinationReply,
    CoordinationRequest,
    Coordinator,
    Outgoing,
    Placement,
    Witness,
)
from jacinthcroft_http import now

from jacinthcroft_daemon.internal.fleet.view import FleetView
from jacinthcroft_daemon.internal.peers import (
    NoPeerReply,
    PeerClient,
    PeerRouter,
)
from jacinthcroft_daemon.internal.sharing.tagging import (
    TaggedMessage,
    tag_message,
    untag_message,
)

BATCH_KIND: Final = 'coordination'
_INVITATION_KIND: Final = 'invitation'
_BATCH_TIMEOUT_SECONDS: Final = 1.0
# Longer than a round of news with a silent peer, shorter than the abstention
# that a new witness observes anyway.
_FIRST_LIST_WAIT_SECONDS: Final = 2.5


@frozen
class Batch:
    """Messages of one round to one VM, or the replies in the same order."""

    messages: tuple[TaggedMessage, ...]


@frozen
class Invitation:
    """Shards whose leases the sender has just given up."""

    shards: tuple[int, ...]


@frozen
class InvitationReply:
    """The invitation arrived."""

    vm: str


class CoordinationService:
    """Owns this VM's witness and coordinator."""

    def __init__(
        self,
        view: FleetView,
        tunables: Tunables,
        peers: PeerClient,
        incarnation: str,
        started_at: float,
        on_missing_lists: Callable[[], None],
    ) -> None:
        """Starts as a new incarnation that remembers nothing."""
        self._view = view
        self._tunables = tunables
        self._peers = peers
        self._on_missing_lists = on_missing_lists
        self._started_at = started_at
        self._waiting: tuple[Placement, ...] | None = None
        self._has_adopted = False
        self._coordinator = Coordinator(
            view.vm,
            incarnation,
            started_at,
            view.coordination_config,
        )
        self._witness = Witness(
            view.vm,
            incarnation,
            started_at,
            time.time(),
            view.coordination_config,
        )
        self._sending: set[asyncio.Task[None]] = set()

    @property
    def coordinator(self) -> Coordinator:
        """The shards that this VM holds."""
        return self._coordinator

    @property
    def held_shard_count(self) -> int:
        """How many shards this VM holds now."""
        moment = now()
        return sum(
            self._coordinator.holds(shard, moment)
            for shard in range(self._view.coordination_config.shard_count)
        )

    @property
    def _may_adopt(self) -> bool:
        moment = now()
        has_waited = moment - self._started_at >= _FIRST_LIST_WAIT_SECONDS
        return self._has_adopted or has_waited or self._view.is_fresh(moment)

    def register(self, router: PeerRouter) -> None:
        """Answers peers' batches."""
        router.register(BATCH_KIND, Batch, self._handle_batch)
        router.register(_INVITATION_KIND, Invitation, self._handle_invitation)

    def adopt_lists(self, earlier: tuple[Placement, ...]) -> None:
        """Takes over the view's newest list and the earlier ones.

        The first list waits until peers were heard: a witness refuses every
        revision below its first one, and the platform may offer a stale one.
        """
        if self._may_adopt:
            self._adopt_now(earlier)
        else:
            self._waiting = earlier

    def _adopt_now(self, earlier: tuple[Placement, ...]) -> None:
        moment = now()
        self._has_adopted = True
        self._waiting = None
        self._coordinator.learn_history(earlier, moment)
        self._coordinator.adopt(self._view.placement, moment)
        self._witness.learn_history(earlier)
        self._witness.adopt(self._view.placement, moment)

    async def run(self) -> None:
        """Sends what is due on every interval, for ever."""
        interval = self._tunables.coordination_interval_ms / 1000
        while True:
            moment = now()
            if self._waiting is not None and self._may_adopt:
                self._adopt_now(self._waiting)
            self._spawn(self._coordinator.tick(moment), for_witness=False)
            self._spawn(self._witness.tick(moment), for_witness=True)
            if self._coordinator.missing_revisions:
                self._on_missing_lists()
            await asyncio.sleep(interval)

    async def release_leases(self) -> None:
        """Gives all leases up, so that their shards move without a gap."""
        moment = now()
        shards = range(self._view.coordination_config.shard_count)
        held = [one for one in shards if self._coordinator.holds(one, moment)]
        await asyncio.gather(
            *(
                self._send_batch(vm, messages, for_witness=False)
                for vm, messages in _by_vm(
                    self._coordinator.release(now()),
                ).items()
            )
        )
        await self._invite_successors(held)

    async def _invite_successors(self, shards: list[int]) -> None:
        invited: defaultdict[str, list[int]] = defaultdict(list)
        for shard in shards:
            ranked = self._view.placement.candidates(shard)
            successor = next((vm for vm in ranked if vm != self._view.vm), None)
            if successor is not None:
                invited[successor].append(shard)
        await asyncio.gather(
            *(
                self._peers.send_request(
                    vm,
                    _INVITATION_KIND,
                    Invitation(tuple(given_up)),
                    InvitationReply,
                    _BATCH_TIMEOUT_SECONDS,
                )
                for vm, given_up in invited.items()
            )
        )

    async def _handle_invitation(
        self,
        sender: str,
        invitation: Invitation,
    ) -> InvitationReply:
        for shard in invitation.shards:
            self._coordinator.accept_invitation(shard, now())
        return InvitationReply(self._view.vm)

    async def ask_witness(
        self,
        outgoing: Outgoing,
        timeout: float,
    ) -> CoordinationReply | None:
        """Sends one message at once; None when no reply came."""
        if outgoing.to == self._view.vm:
            return self._witness.handle(outgoing.message, now(), time.time())
        reply = await self._peers.send_request(
            outgoing.to,
            BATCH_KIND,
            Batch((tag_message(outgoing.message),)),
            Batch,
            timeout,
        )
        if isinstance(reply, NoPeerReply) or not reply.messages:
            return None
        received: CoordinationReply | None = untag_message(reply.messages[0])
        return received

    def _spawn(
        self,
        outgoing: Iterable[Outgoing],
        *,
        for_witness: bool,
    ) -> None:
        for vm, messages in _by_vm(outgoing).items():
            sending = asyncio.create_task(
                self._send_batch(vm, messages, for_witness=for_witness),
            )
            self._sending.add(sending)
            sending.add_done_callback(self._sending.discard)

    async def _send_batch(
        self,
        vm: str,
        messages: list[CoordinationRequest],
        *,
        for_witness: bool,
    ) -> None:
        sent_at = now()
        for reply in await self._replies(vm, messages):
            if for_witness:
                self._witness.receive(vm, reply, now())
            else:
                self._coordinator.receive(vm, reply, sent_at, now())

    async def _replies(
        self,
        vm: str,
        messages: list[CoordinationRequest],
    ) -> tuple[CoordinationReply, ...]:
        if vm == self._view.vm:
            return tuple(
                self._witness.handle(message, now(), time.time())
                for message in messages
            )
        reply = await self._peers.send_request(
            vm,
            BATCH_KIND,
            Batch(tuple(tag_message(message) for message in messages)),
            Batch,
            _BATCH_TIMEOUT_SECONDS,
        )
        if isinstance(reply, NoPeerReply):
            return ()
        replies = (untag_message(tagged) for tagged in reply.messages)
        return tuple(received for received in replies if received is not None)

    async def _handle_batch(self, sender: str, batch: Batch) -> Batch:
        return Batch(
            tuple(
                tag_message(
                    self._witness.handle(
                        untag_message(tagged), now(), time.time()
                    ),
                )
                for tagged in batch.messages
            )
        )


def _by_vm(
    outgoing: Iterable[Outgoing],
) -> dict[str, list[CoordinationRequest]]:
    messages: defaultdict[str, list[CoordinationRequest]] = defaultdict(list)
    for one in outgoing:
        messages[one.to].append(one.message)
    return messages
