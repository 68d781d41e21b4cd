"""Exchanges the messages by which VMs acquire, witness and release leases.

All messages of one round for one VM are sent in one batch, so the number of
batches grows with the pairs of VMs and not with the shards. Batches are not
retried here: the coordinator and the witness repeat unanswered messages in a
later round.
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
_REPLY_TIMEOUT_SECONDS: Final = 1.0
# Longer than a gossip round in which a peer does not reply, and shorter than
# the time for which a new witness abstains anyway.
_FIRST_LIST_WAIT_SECONDS: Final = 2.5


@frozen
class Batch:
    """One round's messages to one VM, or their replies in the same order."""

    messages: tuple[TaggedMessage, ...]


@frozen
class Invitation:
    """Invites a VM to acquire shards whose leases the sender released."""

    shards: tuple[int, ...]


@frozen
class InvitationReply:
    """Confirms that the invitation arrived."""

    vm: str


class CoordinationService:
    """Runs this VM's coordinator and witness.

    The coordinator acquires leases on shards for this VM. The witness votes on
    leases and on claims of idempotency keys for all VMs.
    """

    def __init__(
        self,
        view: FleetView,
        tunables: Tunables,
        peers: PeerClient,
        incarnation: str,
        started_at: float,
        on_missing_lists: Callable[[], None],
    ) -> None:
        """Starts a new incarnation, without leases or records.

        Args:
            view: This VM's view of the fleet.
            tunables: The interval between rounds.
            peers: Sends messages to the other VMs.
            incarnation: The identity of this run of the process.
            started_at: The start of the process, in boot seconds.
            on_missing_lists: Called when other VMs name VM lists that this VM
                does not know.
        """
        self._view = view
        self._tunables = tunables
        self._peers = peers
        self._on_missing_lists = on_missing_lists
        self._started_at = started_at
        self._deferred_lists: tuple[Placement, ...] | None = None
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
        self._send_tasks: set[asyncio.Task[None]] = set()

    @property
    def coordinator(self) -> Coordinator:
        """Knows the shards that this VM holds."""
        return self._coordinator

    @property
    def held_shard_count(self) -> int:
        """The number of shards that this VM holds now."""
        current_time = now()
        return sum(
            self._coordinator.holds(shard, current_time)
            for shard in range(self._view.coordination_config.shard_count)
        )

    @property
    def _may_adopt_lists(self) -> bool:
        current_time = now()
        has_waited = current_time - self._started_at >= _FIRST_LIST_WAIT_SECONDS
        return (
            self._has_adopted or has_waited or self._view.is_fresh(current_time)
        )

    def register(self, router: PeerRouter) -> None:
        """Registers the handlers of batches and invitations."""
        router.register(BATCH_KIND, Batch, self._handle_batch)
        router.register(_INVITATION_KIND, Invitation, self._handle_invitation)

    def adopt_lists(self, earlier_lists: tuple[Placement, ...]) -> None:
        """Adopts the view's newest VM list and the earlier lists.

        The first list is adopted only once peers have been heard or enough
        time has passed: a witness refuses every revision below its first one,
        and the platform may offer a stale list.
        """
        if self._may_adopt_lists:
            self._adopt_lists_now(earlier_lists)
        else:
            self._deferred_lists = earlier_lists

    def _adopt_lists_now(self, earlier_lists: tuple[Placement, ...]) -> None:
        current_time = now()
        self._has_adopted = True
        self._deferred_lists = None
        self._coordinator.learn_history(earlier_lists, current_time)
        self._coordinator.adopt(self._view.placement, current_time)
        self._witness.learn_history(earlier_lists)
        self._witness.adopt(self._view.placement, current_time)

    async def run(self) -> None:
        """Sends the due messages on every interval until cancelled."""
        interval = self._tunables.coordination_interval_ms / 1000
        while True:
            current_time = now()
            if self._deferred_lists is not None and self._may_adopt_lists:
                self._adopt_lists_now(self._deferred_lists)
            self._start_sending(
                self._coordinator.tick(current_time), for_witness=False
            )
            self._start_sending(
                self._witness.tick(current_time), for_witness=True
            )
            if self._coordinator.missing_revisions:
                self._on_missing_lists()
            await asyncio.sleep(interval)

    async def release_leases(self) -> None:
        """Releases all leases and invites the next candidates to acquire them.

        The invitations let the shards change holders without a gap.
        """
        current_time = now()
        shards = range(self._view.coordination_config.shard_count)
        held_shards = [
            shard
            for shard in shards
            if self._coordinator.holds(shard, current_time)
        ]
        await asyncio.gather(
            *(
                self._send_batch(vm, messages, for_witness=False)
                for vm, messages in _group_by_vm(
                    self._coordinator.release(now()),
                ).items()
            )
        )
        await self._invite_successors(held_shards)

    async def _invite_successors(self, shards: list[int]) -> None:
        shards_by_successor: defaultdict[str, list[int]] = defaultdict(list)
        for shard in shards:
            ranked = self._view.placement.candidates(shard)
            successor = next((vm for vm in ranked if vm != self._view.vm), None)
            if successor is not None:
                shards_by_successor[successor].append(shard)
        await asyncio.gather(
            *(
                self._peers.send_request(
                    vm,
                    _INVITATION_KIND,
                    Invitation(tuple(released)),
                    InvitationReply,
                    _REPLY_TIMEOUT_SECONDS,
                )
                for vm, released in shards_by_successor.items()
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
        """Sends one message to a witness; returns None without a reply."""
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

    def _start_sending(
        self,
        outgoing: Iterable[Outgoing],
        *,
        for_witness: bool,
    ) -> None:
        for vm, messages in _group_by_vm(outgoing).items():
            send_task = asyncio.create_task(
                self._send_batch(vm, messages, for_witness=for_witness),
            )
            self._send_tasks.add(send_task)
            send_task.add_done_callback(self._send_tasks.discard)

    async def _send_batch(
        self,
        vm: str,
        messages: list[CoordinationRequest],
        *,
        for_witness: bool,
    ) -> None:
        sent_at = now()
        for reply in await self._exchange_batch(vm, messages):
            if for_witness:
                self._witness.receive(vm, reply, now())
            else:
                self._coordinator.receive(vm, reply, sent_at, now())

    async def _exchange_batch(
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
            _REPLY_TIMEOUT_SECONDS,
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


def _group_by_vm(
    outgoing: Iterable[Outgoing],
) -> dict[str, list[CoordinationRequest]]:
    messages: defaultdict[str, list[CoordinationRequest]] = defaultdict(list)
    for item in outgoing:
        messages[item.to].append(item.message)
    return messages
