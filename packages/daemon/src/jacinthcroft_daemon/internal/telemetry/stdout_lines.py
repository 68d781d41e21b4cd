"""Log lines on standard output, bounded and never waited for.

A reader that stops reading costs lines, not requests; so does a flood. What
is left out is counted and told by a line of its own.
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
# Lines of one kind of event a second, and at once. A VM serves some ten
# requests a second; failures may come in larger numbers than successes.
LINES_PER_SECOND: Final = 50.0
LINES_AT_ONCE: Final = 100.0
FAILURE_FACTOR: Final = 4
# Kinds that are counted apart; there are a few dozen.
MAX_KINDS: Final = 128
OTHER_KIND: Final = 'other'
# Longest line in bytes: a pipe takes this much at once or nothing.
MAX_LINE_BYTES: Final = 4096
# Seconds between lines that tell what was left out.
REPORT_SECONDS: Final = 1.0


@define
class LineBudget:
    """A bucket of lines for one kind of event."""

    rate: float
    burst: float
    level: float
    filled_at: float

    def take(self, at: float) -> bool:
        """Takes a line out, if there is one."""
        grown = self.level + (at - self.filled_at) * self.rate
        self.level = min(self.burst, grown)
        self.filled_at = at
        if self.level < 1:
            return False
        self.level -= 1
        return True


class StdoutLines(std_logging.Handler):
    """Writes each record as one line, or counts it as left out."""

    def __init__(self, fd: int) -> None:
        """Writes to a file descriptor and makes it non-blocking."""
        super().__init__()
        os.set_blocking(fd, False)
        self._fd = fd
        self._budgets: dict[str, LineBudget] = {}
        self._left_out: Counter[str] = Counter()
        self._reported_at = 0.0

    @classmethod
    def from_vm(cls, vm: str, fd: int = STDOUT_FD) -> Self:
        """Makes a handler whose lines name the VM."""
        handler = cls(fd)
        handler.setFormatter(LineFormatter(vm))
        return handler

    def emit(self, record: std_logging.LogRecord) -> None:
        """Writes a record unless its kind has had its lines."""
        at = time.monotonic()
        event = record.msg.name if isinstance(record.msg, Event) else 'log'
        if event not in self._budgets and len(self._budgets) >= MAX_KINDS:
            event = OTHER_KIND
        if self._left_out and at > self._reported_at + REPORT_SECONDS:
            self._report(record, at)
        has_room = self._budget(event, record.levelno, at).take(at)
        if not has_room or not self._write(self.format(record)):
            self._left_out[event] += 1

    def _budget(self, event: str, level: int, at: float) -> LineBudget:
        budget = self._budgets.get(event)
        if budget is None:
            is_failure = level >= std_logging.WARNING
            factor = FAILURE_FACTOR if is_failure else 1
            burst = LINES_AT_ONCE * factor
            budget = LineBudget(LINES_PER_SECOND * factor, burst, burst, at)
            self._budgets[event] = budget
        return budget

    def _report(self, record: std_logging.LogRecord, at: float) -> None:
        fields = tuple(sorted(self._left_out.items()))
        told = std_logging.makeLogRecord(record.__dict__)
        told.msg = Event('lines-left-out', fields)
        told.args = None
        told.levelno = std_logging.WARNING
        told.levelname = 'WARNING'
        self._reported_at = at
        if self._write(self.format(told)):
            self._left_out.clear()

    def _write(self, line: str) -> bool:
        encoded = line.encode()[: MAX_LINE_BYTES - 1]
        try:
            os.write(self._fd, b'%b\n' % encoded)
        except OSError:
            # Full or closed: there is nowhere left to tell it but the count.
            return False
        return True


def log_to_stdout(vm: str) -> None:
    """Makes every log record of this process a line on standard output."""
    # The command line is not absl's; its flags keep their defaults.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logger = std_logging.getLogger()
    for handler in tuple(logger.handlers):
        logger.removeHandler(handler)
    logger.addHandler(StdoutLines.from_vm(vm))
    logging.set_verbosity(logging.INFO)
