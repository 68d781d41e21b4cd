"""The messages between witnesses, candidates for holder and claimers.

A shard's witnesses vote on its lease, which makes a candidate its holder, and
on claims, which let a VM run the request with an idempotency key. The driver,
the candidate that activates a new list, fences the witnesses of earlier lists,
which then refuse all lower revisions, and installs the new list's witnesses,
which then serve it. An incarnation of a VM lasts from one start to the next.

Each request names its shard and the list revision under which it was sent. A
reply repeats both, and its `newest` is the highest revision that the witness
knows for the shard, so that a sender with an old list learns of a newer one.
"""

import enum

from attrs import frozen

from jacinthcroft_decisions.internal.coordination.message_kinds import (
    message_kind,
)
from jacinthcroft_decisions.internal.coordination.records import (
    ClaimRecord,
    RecordedAnswer,
)
from jacinthcroft_decisions.internal.coordination.witness_sets import (
    WitnessSet,
)


class Outcome(enum.Enum):
    """The outcome of a request at a witness.

    With `ABSTAINING` (state may be missing), `STALE` (the revision is fenced)
    and `NOT_INSTALLED` the witness did nothing. `HELD` means that another
    candidate has the lease; `FREE` means that no other candidate has it.

    The outcomes from `RUNNING` on answer claims. `UNKNOWN` means that the
    request may have run but its answer is not known, and `NOT_VOUCHED` that
    the witness may have lost the key's record or can't keep one. `RELEASED`
    refuses a late copy of a released claim.
    """

    DONE = 'done'
    ABSTAINING = 'abstaining'
    STALE = 'stale'
    NOT_INSTALLED = 'not-installed'
    HELD = 'held'
    FREE = 'free'
    RUNNING = 'running'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'
    NOT_VOUCHED = 'not-vouched'
    RELEASED = 'released'


class LeaseAction(enum.Enum):
    """What a candidate asks for; `LOOK` only asks whether a lease runs."""

    ACQUIRE = 'acquire'
    LOOK = 'look'
    RELEASE = 'release'


@frozen
class LeaseView:
    """A running lease at a witness; `remaining` is in seconds."""

    holder: str
    incarnation: str
    remaining: float


@frozen
class ShardView:
    """The state of a shard at a witness.

    `fences` are the lists that the witness was fenced for, `installed` is the
    revision that it was last installed at (0 for none), and `vouch_from` is
    the key time in Unix seconds up to which records may be missing.
    `whole_at` holds the list revisions for which the state was read back
    after a restart; `is_whole` tells that the witness has run for so long
    that no read-back is needed.
    """

    fences: tuple[WitnessSet, ...]
    installed: int
    vouch_from: float
    lease: LeaseView | None
    records: tuple[ClaimRecord, ...]
    whole_at: tuple[int, ...] = ()
    is_whole: bool = False

    def is_whole_for(self, revision: int) -> bool:
        """Whether no vote under the revision can have been forgotten."""
        return self.is_whole or revision in self.whole_at


@message_kind('fence-request')
@frozen
class FenceRequest:
    """Asks a witness of an earlier list to serve nothing below `revision`.

    `witnesses` are those of the new revision, for drivers that never receive
    its list. `earlier` is for a witness that has not seen the earlier list
    since its start and has to read back what it may have lost.
    """

    shard: int
    revision: int
    witnesses: tuple[str, ...]
    earlier: WitnessSet


@message_kind('fence-reply')
@frozen
class FenceReply:
    """Returns the fenced witness's state; `view` is None if it refused.

    `earlier` is the revision of the request's earlier list.
    """

    shard: int
    revision: int
    outcome: Outcome
    newest: int
    earlier: int
    view: ShardView | None = None


@message_kind('install-request')
@frozen
class InstallRequest:
    """Asks a witness of `revision` to serve it from now on.

    An installed witness also keeps a lease for the driver. `is_cold` tells
    that earlier records may be lost, so that the witness refuses keys created
    up to now.
    """

    shard: int
    revision: int
    witnesses: tuple[str, ...]
    driver: str
    incarnation: str
    vouch_from: float
    is_cold: bool
    records: tuple[ClaimRecord, ...]


@message_kind('install-reply')
@frozen
class InstallReply:
    """Tells whether the witness was installed."""

    shard: int
    revision: int
    outcome: Outcome
    newest: int


@message_kind('lease-request')
@frozen
class LeaseRequest:
    """Acquires, looks at or releases a lease.

    `sequence` increases with each request of an incarnation, so that a late
    release does not end a lease that was acquired after it.
    """

    shard: int
    revision: int
    holder: str
    incarnation: str
    sequence: int
    action: LeaseAction


@message_kind('lease-reply')
@frozen
class LeaseReply:
    """Answers a lease request; `lease` is the lease that now runs, if any."""

    shard: int
    revision: int
    outcome: Outcome
    newest: int
    lease: LeaseView | None = None


@message_kind('read-back-request')
@frozen
class ReadBackRequest:
    """Asks another witness for the state that the sender may have lost.

    `wants_records` is false if the sender only needs the lists.
    """

    shard: int
    revision: int
    incarnation: str
    witnesses: tuple[str, ...]
    wants_records: bool = True


@message_kind('read-back-reply')
@frozen
class ReadBackReply:
    """Returns a witness's state; `view` is None while it abstains."""

    shard: int
    revision: int
    outcome: Outcome
    newest: int
    incarnation: str
    view: ShardView | None = None


@message_kind('claim-request')
@frozen
class ClaimRequest:
    """Asks a witness to record that `claimer` alone may run the key."""

    shard: int
    revision: int
    key: str
    claimer: str


@message_kind('claim-reply')
@frozen
class ClaimReply:
    """Tells whether the claim was recorded, or why it was not."""

    shard: int
    revision: int
    outcome: Outcome
    newest: int
    claimer: str
    answer: RecordedAnswer | None = None


@message_kind('settle-request')
@frozen
class SettleRequest:
    """Ends a claim with its answer, or without one if it was released."""

    shard: int
    revision: int
    key: str
    claimer: str
    answer: RecordedAnswer | None = None


@message_kind('settle-reply')
@frozen
class SettleReply:
    """Tells whether the witness recorded the end of the claim."""

    shard: int
    revision: int
    outcome: Outcome
    newest: int
