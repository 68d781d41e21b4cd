"""Shard leases, claims of idempotency keys, and freshness.

They need a published VM list, which places the shards on the VMs.
"""

from jacinthcroft_decisions.internal.coordination.claims import (
    Claim,
    ClaimAnswered,
    ClaimGranted,
    ClaimRunning,
    ClaimUnavailable,
    ClaimUnknown,
    ClaimVerdict,
)
from jacinthcroft_decisions.internal.coordination.config import (
    CoordinationConfig,
)
from jacinthcroft_decisions.internal.coordination.coordinator import (
    Coordinator,
)
from jacinthcroft_decisions.internal.coordination.freshness import (
    Freshness,
    LastContact,
)
from jacinthcroft_decisions.internal.coordination.history_messages import (
    CoordinationMessage,
    CoordinationReply,
    CoordinationRequest,
    HistoryReply,
    HistoryRequest,
    Outgoing,
)
from jacinthcroft_decisions.internal.coordination.idempotency_keys import (
    KeyAccepted,
    KeyCheckResult,
    KeyInFuture,
    KeyInvalid,
    KeyTooOld,
    check_idempotency_key,
)
from jacinthcroft_decisions.internal.coordination.message_kinds import (
    MESSAGE_KINDS,
    kind_of,
)
from jacinthcroft_decisions.internal.coordination.messages import (
    ClaimReply,
    ClaimRequest,
    FenceReply,
    FenceRequest,
    InstallReply,
    InstallRequest,
    LeaseAction,
    LeaseReply,
    LeaseRequest,
    LeaseView,
    Outcome,
    ReadBackReply,
    ReadBackRequest,
    SettleReply,
    SettleRequest,
    ShardView,
)
from jacinthcroft_decisions.internal.coordination.placement import Placement
from jacinthcroft_decisions.internal.coordination.records import (
    ClaimRecord,
    ClaimState,
    Header,
    RecordedAnswer,
)
from jacinthcroft_decisions.internal.coordination.witness import Witness
from jacinthcroft_decisions.internal.coordination.witness_sets import (
    WitnessSet,
)

__all__ = (
    'Claim',
    'ClaimAnswered',
    'ClaimGranted',
    'ClaimRunning',
    'ClaimUnavailable',
    'ClaimUnknown',
    'ClaimVerdict',
    'Coordinator',
    'Freshness',
    'LastContact',
    'CoordinationMessage',
    'CoordinationReply',
    'CoordinationRequest',
    'HistoryReply',
    'HistoryRequest',
    'Outgoing',
    'KeyAccepted',
    'KeyInFuture',
    'KeyInvalid',
    'KeyCheckResult',
    'KeyTooOld',
    'check_idempotency_key',
    'MESSAGE_KINDS',
    'kind_of',
    'ClaimReply',
    'ClaimRequest',
    'FenceReply',
    'FenceRequest',
    'InstallReply',
    'InstallRequest',
    'LeaseAction',
    'LeaseReply',
    'LeaseRequest',
    'LeaseView',
    'Outcome',
    'ReadBackReply',
    'ReadBackRequest',
    'SettleReply',
    'SettleRequest',
    'ShardView',
    'Placement',
    'ClaimRecord',
    'ClaimState',
    'Header',
    'RecordedAnswer',
    'CoordinationConfig',
    'Witness',
    'WitnessSet',
)
