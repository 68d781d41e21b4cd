"""Stand-ins, load, history checks, demo and bench.

A test enters a `Fleet`, sends requests by a `Caller` that notes them in a
`Recorder`, breaks what it wants to by the fleet's stand-ins, and hands the
`History` of callers and targets to the `find_*` checks.
"""

from jacinthcroft_testkit.fleet import Fleet, FleetPlan
from jacinthcroft_testkit.internal.caller import Caller, Recorder, ResendPolicy
from jacinthcroft_testkit.internal.control import make_pool
from jacinthcroft_testkit.internal.documents import ServicePlan, write_service
from jacinthcroft_testkit.internal.history import (
    History,
    Outcome,
    OutcomeKind,
    Run,
    RunResult,
    Sent,
)
from jacinthcroft_testkit.internal.kinds import kinds_of
from jacinthcroft_testkit.internal.links import Direction, Mode, Setting
from jacinthcroft_testkit.internal.load import (
    OpenLoop,
    run_closed,
    run_mixed,
    run_open,
)
from jacinthcroft_testkit.internal.load_checks import (
    Bearing,
    FloorSample,
    find_breached_floors,
    find_excess_connections,
    find_late_runs_of,
    find_late_runs_on,
    find_overfilled_slots,
    find_overspending,
)
from jacinthcroft_testkit.internal.platform_messages import Availability
from jacinthcroft_testkit.internal.request_checks import (
    find_false_refusals,
    find_foreign_answers,
    find_phantom_answers,
    find_repeated_runs,
    find_seen_credentials,
    find_torn_answers,
    find_wrong_teams,
)
from jacinthcroft_testkit.internal.requests import (
    Balancer,
    Entrance,
    RequestKind,
)
from jacinthcroft_testkit.internal.schedules import make_schedule
from jacinthcroft_testkit.internal.target_messages import (
    Behaviour,
    Faults,
    Traits,
)
from jacinthcroft_testkit.internal.violations import (
    BelowFloor,
    CredentialsSeen,
    FalseNotRun,
    ForeignAnswer,
    LateRun,
    OverConnections,
    OverLimit,
    OverSlots,
    PhantomAnswer,
    RepeatedRun,
    TornAnswer,
    Violation,
    WrongTeam,
)
from jacinthcroft_testkit.internal.waiting import WaitedTooLong, wait_until

__all__ = (
    'Fleet',
    'FleetPlan',
    'Caller',
    'Recorder',
    'ResendPolicy',
    'make_pool',
    'ServicePlan',
    'write_service',
    'kinds_of',
    'Direction',
    'Mode',
    'Setting',
    'OpenLoop',
    'run_closed',
    'run_mixed',
    'run_open',
    'Availability',
    'Balancer',
    'Entrance',
    'RequestKind',
    'make_schedule',
    'Behaviour',
    'Faults',
    'Traits',
    'WaitedTooLong',
    'wait_until',
    'History',
    'Outcome',
    'OutcomeKind',
    'Run',
    'RunResult',
    'Sent',
    'Bearing',
    'FloorSample',
    'find_breached_floors',
    'find_excess_connections',
    'find_late_runs_of',
    'find_late_runs_on',
    'find_overfilled_slots',
    'find_overspending',
    'find_false_refusals',
    'find_foreign_answers',
    'find_phantom_answers',
    'find_repeated_runs',
    'find_seen_credentials',
    'find_torn_answers',
    'find_wrong_teams',
    'BelowFloor',
    'CredentialsSeen',
    'FalseNotRun',
    'ForeignAnswer',
    'LateRun',
    'OverConnections',
    'OverLimit',
    'OverSlots',
    'PhantomAnswer',
    'RepeatedRun',
    'TornAnswer',
    'Violation',
    'WrongTeam',
)
