"""Writes log lines to standard output without blocking, at a bounded rate.

If the reader stops reading, or one kind of event is logged too often, lines
are dropped and requests are not delayed. A separate line reports the number
of dropped lines.
"""

import logging as std_logging
import os
import time
from collections import Counter
from typing import Final, Self

from absl import flags, logging
from attrs import define

from jacinthcroft_daemon.internal.telemetry.events import Event
from jacinthcroft_daemon.internal.telemetry.line_format import LineFormatter

STDOUT_FD: Final = 1
# The rate and the burst of lines for one kind of event. A VM serves about ten
# requests a second. Failures may be more numerous than successes.
LINES_PER_SECOND: Final = 50.0
LINE_BURST: Final = 100.0
FAILURE_FACTOR: Final = 4
# Kinds of events with a budget of their own; there are a few dozen.
MAX_KINDS: Final = 128
OTHER_KIND: Final = 'other'
# Writes of up to this size to a pipe are atomic.
MAX_LINE_BYTES: Final = 4096
# The least time between two reports of dropped lines.
REPORT_INTERVAL_SECONDS: Final = 1.0


@define
class LineBudget:
    """A token bucket that limits the lines of one kind of event."""

    rate: float
    burst: float
    level: float
    filled_at: float

    def spend_line(self, at: float) -> bool:
        """Spends one line; returns False if the budget is empty."""
        refilled = self.level + (at - self.filled_at) * self.rate
        self.level = min(self.burst, refilled)
        self.filled_at = at
        if self.level < 1:
            return False
        self.level -= 1
        return True


class StdoutLines(std_logging.Handler):
    """Writes each record as one line, or counts it as dropped."""

    def __init__(self, fd: int) -> None:
        """Writes to a file descriptor and makes it non-blocking."""
        super().__init__()
        os.set_blocking(fd, False)
        self._fd = fd
        self._budgets: dict[str, LineBudget] = {}
        self._dropped: Counter[str] = Counter()
        self._reported_at = 0.0

    @classmethod
    def from_vm(cls, vm: str, fd: int = STDOUT_FD) -> Self:
        """Creates a handler whose lines name the VM."""
        handler = cls(fd)
        handler.setFormatter(LineFormatter(vm))
        return handler

    def emit(self, record: std_logging.LogRecord) -> None:
        """Writes a record unless the budget of its kind is used up."""
        at = time.monotonic()
        event = record.msg.name if isinstance(record.msg, Event) else 'log'
        if event not in self._budgets and len(self._budgets) >= MAX_KINDS:
            event = OTHER_KIND
        if self._dropped and at > self._reported_at + REPORT_INTERVAL_SECONDS:
            self._report_dropped(record, at)
        has_room = self._get_budget(event, record.levelno, at).spend_line(at)
        if not has_room or not self._write(self.format(record)):
            self._dropped[event] += 1

    def _get_budget(self, event: str, level: int, at: float) -> LineBudget:
        budget = self._budgets.get(event)
        if budget is None:
            is_failure = level >= std_logging.WARNING
            factor = FAILURE_FACTOR if is_failure else 1
            burst = LINE_BURST * factor
            budget = LineBudget(LINES_PER_SECOND * factor, burst, burst, at)
            self._budgets[event] = budget
        return budget

    def _report_dropped(self, record: std_logging.LogRecord, at: float) -> None:
        fields = tuple(sorted(self._dropped.items()))
        report = std_logging.makeLogRecord(record.__dict__)
        report.msg = Event('lines-left-out', fields)
        report.args = None
        report.levelno = std_logging.WARNING
        report.levelname = 'WARNING'
        self._reported_at = at
        if self._write(self.format(report)):
            self._dropped.clear()

    def _write(self, line: str) -> bool:
        encoded = line.encode()[: MAX_LINE_BYTES - 1]
        try:
            os.write(self._fd, b'%b\n' % encoded)
        except OSError:
            # The pipe is full or closed; the caller counts the dropped line.
            return False
        return True


def log_to_stdout(vm: str) -> None:
    """Writes every log record of this process to standard output."""
    # absl does not parse the command line, so its flags keep their defaults.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logger = std_logging.getLogger()
    for handler in tuple(logger.handlers):
        logger.removeHandler(handler)
    logger.addHandler(StdoutLines.from_vm(vm))
    logging.set_verbosity(logging.INFO)
