"""Logs, metrics and traces of one VM.

None of them contains a caller's key or data: log events reject fields with
such names, metrics are labelled with teams and classes only, and traces are
kept by request id. The metrics must be imported from their own module, because
loading OpenTelemetry takes longer than a restarted VM may be unavailable.
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
    LogDecision,
    RateLimitedLog,
    RepeatLimiter,
    Suppression,
)
from jacinthcroft_daemon.internal.telemetry.traces import (
    TraceEvent,
    TraceStore,
)

__all__ = (
    'Count',
    'Level',
    'LineFormatter',
    'LogDecision',
    'RateLimitedLog',
    'RepeatLimiter',
    'Suppression',
    'TraceStore',
    'TraceEvent',
    'log_event',
    'set_up_logging',
)
