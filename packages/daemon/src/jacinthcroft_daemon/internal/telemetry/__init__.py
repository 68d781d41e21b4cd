"""Logs, metrics and traces of one VM.

None of them ever holds a caller's key or data: events refuse fields under
such names, metrics know teams and classes only, traces request ids.
The metrics are imported from their own module: OpenTelemetry takes longer to
load than a restarted VM may be away.
"""

from jacinthcroft_daemon.internal.telemetry.counts import Count
from jacinthcroft_daemon.internal.telemetry.events import (
    Level,
    log_event,
)
from jacinthcroft_daemon.internal.telemetry.line_format import (
    LineFormatter,
    set_up_logging,
)
from jacinthcroft_daemon.internal.telemetry.repeats import (
    Admission,
    RateLimitedLog,
    RepeatLimiter,
    Suppression,
)
from jacinthcroft_daemon.internal.telemetry.traces import (
    TraceBook,
    TraceEvent,
)

__all__ = (
    'Admission',
    'Count',
    'Level',
    'LineFormatter',
    'RepeatLimiter',
    'RateLimitedLog',
    'Suppression',
    'TraceBook',
    'TraceEvent',
    'log_event',
    'set_up_logging',
)
