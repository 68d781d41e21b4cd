"""The decider, which grants each request a target, queues or refuses it.

For fleets without a published VM list, whose leader decides for all VMs.
"""

from jacinthcroft_decisions.internal.dispatch.decider import Decider
from jacinthcroft_decisions.internal.dispatch.documents import (
    CallerLimits,
    Configuration,
    FleetDocuments,
    Route,
    ServiceSettings,
    TargetEntry,
    TeamSettings,
)
from jacinthcroft_decisions.internal.dispatch.idle_connections import (
    IDLE_CONNECTION_SECONDS,
)
from jacinthcroft_decisions.internal.dispatch.limits import DispatchLimits
from jacinthcroft_decisions.internal.dispatch.messages import (
    Ask,
    AskKey,
    Decision,
    Grant,
    Outcome,
    Refusal,
    RefusalReason,
    Report,
)
from jacinthcroft_decisions.internal.dispatch.route_sizes import RouteSizes
from jacinthcroft_decisions.internal.dispatch.target_signals import (
    HeldTarget,
    HeldTargets,
    TargetSignal,
    parse_wait,
)
from jacinthcroft_decisions.internal.traffic.stop_plan import StopPlan

__all__ = (
    'IDLE_CONNECTION_SECONDS',
    'Ask',
    'AskKey',
    'CallerLimits',
    'Configuration',
    'Decider',
    'Decision',
    'DispatchLimits',
    'FleetDocuments',
    'Grant',
    'HeldTarget',
    'HeldTargets',
    'Outcome',
    'Refusal',
    'RefusalReason',
    'Report',
    'Route',
    'RouteSizes',
    'ServiceSettings',
    'StopPlan',
    'TargetEntry',
    'TargetSignal',
    'TeamSettings',
    'parse_wait',
)
