"""The messages about known VM lists, all message unions, and `Outgoing`."""

from typing import TypeAlias

from attrs import frozen

from jacinthcroft_decisions.internal.coordination.message_kinds import (
    message_kind,
)
from jacinthcroft_decisions.internal.coordination.messages import (
    ClaimReply,
    ClaimRequest,
    FenceReply,
    FenceRequest,
    InstallReply,
    InstallRequest,
    LeaseReply,
    LeaseRequest,
    Outcome,
    ReadBackReply,
    ReadBackRequest,
    SettleReply,
    SettleRequest,
)

NO_SHARD = -1


@message_kind('history-request')
@frozen
class HistoryRequest:
    """Asks a VM which list revisions it has seen; applies to no shard."""

    revision: int
    shard: int = NO_SHARD


@message_kind('history-reply')
@frozen
class HistoryReply:
    """Names the list revisions that a VM has seen since its start.

    `newest` is the revision of the newest list that the VM has adopted.
    """

    revision: int
    outcome: Outcome
    newest: int
    revisions: tuple[int, ...] = ()
    shard: int = NO_SHARD


CoordinationRequest: TypeAlias = (
    FenceRequest
    | InstallRequest
    | LeaseRequest
    | ReadBackRequest
    | ClaimRequest
    | SettleRequest
    | HistoryRequest
)

CoordinationReply: TypeAlias = (
    FenceReply
    | InstallReply
    | LeaseReply
    | ReadBackReply
    | ClaimReply
    | SettleReply
    | HistoryReply
)

CoordinationMessage: TypeAlias = CoordinationRequest | CoordinationReply


@frozen
class Outgoing:
    """A request and its recipient, which may be the sending VM itself."""

    to: str
    message: CoordinationRequest
