"""Team tokens, permits, target health, retries and quarantine."""

from jacinthcroft_decisions.internal.traffic.attempt_timeout import (
    AttemptTimeout,
)
from jacinthcroft_decisions.internal.traffic.cell import Cell
from jacinthcroft_decisions.internal.traffic.cell_results import (
    CellEvent,
    ColdStartNoticed,
    EjectionWithheld,
    GrantedPermit,
    PathBlocked,
    QueueFull,
    TargetCondition,
    TargetEjected,
    TargetReadmitted,
    TargetView,
)
from jacinthcroft_decisions.internal.traffic.permit_messages import (
    CellHandover,
    HeldSlot,
    Permit,
    PermitAsk,
    PermitRefusal,
    PermitRenewal,
    PermitReport,
    ReportReply,
    RunOutcome,
    TargetHandover,
)
from jacinthcroft_decisions.internal.traffic.permit_purse import (
    HeldPermit,
    PermitPurse,
)
from jacinthcroft_decisions.internal.traffic.quarantine import (
    Quarantine,
    QuarantineCache,
    Strike,
    fingerprint,
)
from jacinthcroft_decisions.internal.traffic.retry_budget import RetryBudget
from jacinthcroft_decisions.internal.traffic.token_ledger import TeamLedger
from jacinthcroft_decisions.internal.traffic.token_messages import (
    TokenAsk,
    TokenGrant,
    TokenReturn,
)
from jacinthcroft_decisions.internal.traffic.token_purse import (
    SpentToken,
    TokenPurse,
)

__all__ = (
    'AttemptTimeout',
    'Cell',
    'CellEvent',
    'CellHandover',
    'ColdStartNoticed',
    'EjectionWithheld',
    'GrantedPermit',
    'HeldPermit',
    'HeldSlot',
    'PathBlocked',
    'Permit',
    'PermitAsk',
    'PermitPurse',
    'PermitRefusal',
    'PermitRenewal',
    'PermitReport',
    'Quarantine',
    'QuarantineCache',
    'QueueFull',
    'ReportReply',
    'RetryBudget',
    'RunOutcome',
    'SpentToken',
    'Strike',
    'TargetCondition',
    'TargetEjected',
    'TargetHandover',
    'TargetReadmitted',
    'TargetView',
    'TeamLedger',
    'TokenAsk',
    'TokenGrant',
    'TokenPurse',
    'TokenReturn',
    'fingerprint',
)
