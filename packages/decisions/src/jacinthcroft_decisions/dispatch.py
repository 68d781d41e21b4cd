"""The decider, which grants each request a target, queues or refuses it.

For fleets without a published VM list, whose leader decides for all VMs.
"""

from jacinthcroft_decisions.internal.dispatch.connection_trust import (
    RESTED_SECONDS,
)
from jacinthcroft_decisions.internal.dispatch.decider import Decider
from jacinthcroft_decisions.internal.dispatch.documents import (
    CallerLimits,
    Configuration,
    FleetDocuments,
    Route,
    ServiceTerms,
    TargetEntry,
    TeamTerms,
)
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
from jacinthcroft_decisions.internal.dispatch.terms import DispatchTerms

__all__ = (
    'RESTED_SECONDS',
    'Ask',
    'AskKey',
    'CallerLimits',
    'Configuration',
    'Decider',
    'Decision',
    'DispatchTerms',
    'FleetDocuments',
    'Grant',
    'Outcome',
    'Refusal',
    'RefusalReason',
    'Report',
    'Route',
    'ServiceTerms',
    'TargetEntry',
    'TeamTerms',
)
