"""Team tokens, permits, target health, retries and quarantine.

Tokens and permits are for fleets with a published VM list, whose VMs decide
for themselves; fleets without one use the retries and the quarantine too.
"""

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
    PermitRefusal,
    PermitRenewal,
    PermitReport,
    PermitRequest,
    ReportReply,
    RunOutcome,
    TargetHandover,
)
from jacinthcroft_decisions.internal.traffic.permit_pool import (
    HeldPermit,
    PermitPool,
)
from jacinthcroft_decisions.internal.traffic.quarantine import (
    CrashReport,
    Quarantine,
    QuarantineCache,
    fingerprint,
)
from jacinthcroft_decisions.internal.traffic.retry_budget import RetryBudget
from jacinthcroft_decisions.internal.traffic.stop_plan import StopPlan
from jacinthcroft_decisions.internal.traffic.token_issuer import TokenIssuer
from jacinthcroft_decisions.internal.traffic.token_messages import (
    TokenGrant,
    TokenRequest,
    TokenReturn,
)
from jacinthcroft_decisions.internal.traffic.token_pool import (
    SpentToken,
    TokenPool,
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
    'PermitRequest',
    'PermitPool',
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
    'CrashReport',
    'TargetCondition',
    'TargetEjected',
    'TargetHandover',
    'TargetReadmitted',
    'TargetView',
    'TokenIssuer',
    'TokenRequest',
    'TokenGrant',
    'TokenPool',
    'TokenReturn',
    'StopPlan',
    'fingerprint',
)
