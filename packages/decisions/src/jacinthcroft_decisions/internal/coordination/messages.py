"""What holders, witnesses and claimers say to each other.

Each message names its shard and the list revision under which it was sent.
A reply repeats both, and `newest` tells the highest revision that the
witness has met for the shard, so that a sender with an old list learns of
it.
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
    """What a witness made of a request.

    `ABSTAINING` (memory may be missing), `STALE` (the revision is fenced)
    and `NOT_INSTALLED` mean that the witness did nothing. `HELD` names
    another live lease, `FREE` answers a look that found none. The last five
    are about claims.
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
    """What a candidate wants of a lease."""

    ACQUIRE = 'acquire'
    LOOK = 'look'
    RELEASE = 'release'


@frozen
class LeaseView:
    """A lease as its witness sees it; `remaining` is in seconds."""

    holder: str
    incarnation: str
    remaining: float


@frozen
class ShardView:
    """All that a witness knows of a shard.

    `fences` are the lists it was fenced for, `installed` the revision it
    last answered for (0 for none), `vouch_from` the key time in unix seconds
    up to which records may be missing. `whole_at` names the list revisions
    for which an earlier incarnation's memory was read back; `is_whole` says
    that the witness is up so long that it need not be.
    """

    fences: tuple[WitnessSet, ...]
    installed: int
    vouch_from: float
    lease: LeaseView | None
    records: tuple[ClaimRecord, ...]
    whole_at: tuple[int, ...] = ()
    is_whole: bool = False

    def is_whole_for(self, revision: int) -> bool:
        """Whether nothing is lost that the revision's witnesses knew."""
        return self.is_whole or revision in self.whole_at


@message_kind('fence-request')
@frozen
class FenceRequest:
    """Asks a witness of an earlier list to serve nothing below `revision`.

    `witnesses` are those of the new revision, for drivers that never meet
    its list. `earlier` is for a witness that has not met the earlier list in
    its lifetime and has to read back what it may have lost.
    """

    shard: int
    revision: int
    witnesses: tuple[str, ...]
    earlier: WitnessSet


@message_kind('fence-reply')
@frozen
class FenceReply:
    """Tells what the fenced witness knew; `view` is None if it refused."""

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

    An installed witness also keeps a lease for the driver. `is_cold` says
    that earlier records may be lost: keys up to now are not vouched for.
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
    """Tells whether the witness is installed."""

    shard: int
    revision: int
    outcome: Outcome
    newest: int


@message_kind('lease-request')
@frozen
class LeaseRequest:
    """Asks for a lease, looks at it or gives it up.

    `sequence` rises with each request of an incarnation, so that a late
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
    """Answers a lease request; `lease` is what the witness now keeps."""

    shard: int
    revision: int
    outcome: Outcome
    newest: int
    lease: LeaseView | None = None


@message_kind('read-back-request')
@frozen
class ReadBackRequest:
    """A restarted witness asks another one for what it has lost.

    One that only wants to know of lists needs no records.
    """

    shard: int
    revision: int
    incarnation: str
    witnesses: tuple[str, ...]
    wants_records: bool = True


@message_kind('read-back-reply')
@frozen
class ReadBackReply:
    """Hands a restarted witness the other's knowledge."""

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
    """Tells whether the claim was recorded, or what stands in its way."""

    shard: int
    revision: int
    outcome: Outcome
    newest: int
    claimer: str
    answer: RecordedAnswer | None = None


@message_kind('settle-request')
@frozen
class SettleRequest:
    """Ends a claim: by its answer, or without one when it was released."""

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
