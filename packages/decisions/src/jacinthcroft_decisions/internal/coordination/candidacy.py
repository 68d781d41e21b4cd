"""A VM's candidacy for one shard under one list revision.

A shard's candidates ask its witnesses for the lease, which lets one VM at a
time use the shard. Witnesses vote only once they are installed, that is, once
they serve the revision. Where they are not, the candidate first runs an
activation, which installs them.
"""

from collections.abc import Iterator

from attrs import define, field

from jacinthcroft_decisions.internal.coordination.activation import Activation
from jacinthcroft_decisions.internal.coordination.candidate_lease import (
    CandidateLease,
)
from jacinthcroft_decisions.internal.coordination.history_messages import (
    CoordinationReply,
    Outgoing,
)
from jacinthcroft_decisions.internal.coordination.messages import (
    FenceReply,
    InstallReply,
    LeaseAction,
    LeaseReply,
    LeaseRequest,
)
from jacinthcroft_decisions.internal.coordination.placement import Placement
from jacinthcroft_decisions.internal.coordination.placement_history import (
    PlacementHistory,
)

_WITNESSES_PER_LOOK = 2


@define
class Candidacy:
    """One shard's lease and activation on the candidate's side.

    `sequence` numbers the lease requests of the VM's incarnation.
    """

    shard: int
    placement: Placement
    lease: CandidateLease
    vm: str
    incarnation: str
    sequence: Iterator[int]
    _activation: Activation | None = field(default=None, init=False)

    @property
    def needs_history(self) -> bool:
        """Whether an activation needs lists that this VM may not know.

        It does if none of the known earlier lists was ever active.
        """
        return self._activation is not None and self._activation.needs_history

    def start_due_requests(
        self,
        history: PlacementHistory,
        is_history_complete: bool,
        now: float,
    ) -> tuple[Outgoing, ...]:
        """Returns the lease and activation requests that are due."""
        due: tuple[Outgoing, ...] = ()
        may_acquire = self.lease.may_acquire(now)
        if self.lease.start_request_if_due(now):
            due = (
                self._acquire_requests()
                if may_acquire
                else self._look_requests()
            )
        if not may_acquire:
            return due
        activation = self._current_activation()
        if activation is None:
            return due
        return due + activation.start_due_requests(
            history, is_history_complete, now
        )

    def receive(
        self,
        sender: str,
        reply: CoordinationReply,
        sent_at: float,
        now: float,
    ) -> None:
        """Processes a witness's reply to a request sent at `sent_at`."""
        activation = self._activation
        if isinstance(reply, LeaseReply):
            self.lease.receive(sender, reply, sent_at, now)
        elif activation is None:
            return
        elif isinstance(reply, FenceReply):
            activation.receive_fence(sender, reply, sent_at, now)
        elif isinstance(reply, InstallReply):
            activation.receive_install(sender, reply)
            self._request_lease_once_active(activation, now)

    def release(self, now: float) -> tuple[Outgoing, ...]:
        """Releases the lease; returns the requests that tell witnesses."""
        may_have_votes = self.lease.may_have_votes
        self.lease.release(now)
        if not may_have_votes:
            return ()
        return self._lease_requests(LeaseAction.RELEASE, self.lease.witnesses)

    def _current_activation(self) -> Activation | None:
        """Returns the activation, if any; starts or ends it as needed."""
        if not self.lease.needs_activation:
            return None
        if self._activation is None:
            self._activation = Activation(
                self.shard,
                self.placement,
                self.vm,
                self.incarnation,
                self.lease.config,
            )
        if self._activation.is_finished:
            self.lease.needs_activation = False
            self._activation = None
        return self._activation

    def _request_lease_once_active(
        self, activation: Activation, now: float
    ) -> None:
        """Asks for the lease at once when a majority can grant it."""
        if activation.is_active and not self.lease.is_held(now):
            self.lease.request_at_once()

    def _acquire_requests(self) -> tuple[Outgoing, ...]:
        return self._lease_requests(LeaseAction.ACQUIRE, self.lease.witnesses)

    def _look_requests(self) -> tuple[Outgoing, ...]:
        """Asks a few witnesses, in rotation, whether a lease is running."""
        witnesses = self.lease.next_witnesses(_WITNESSES_PER_LOOK)
        return self._lease_requests(LeaseAction.LOOK, witnesses)

    def _lease_requests(
        self,
        action: LeaseAction,
        witnesses: tuple[str, ...],
    ) -> tuple[Outgoing, ...]:
        message = LeaseRequest(
            self.shard,
            self.placement.revision,
            self.vm,
            self.incarnation,
            next(self.sequence),
            action,
        )
        return tuple(Outgoing(vm, message) for vm in witnesses)
