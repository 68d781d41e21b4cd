"""One line of key=value pairs for each log record, whoever wrote it."""

import datetime
import logging as std_logging
from typing import Final

from absl import flags, logging

from jacinthcroft_daemon.internal.telemetry.events import (
    Event,
    Level,
    format_pairs,
)

_VERBOSITIES: Final = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}


class LineFormatter(std_logging.Formatter):
    """Writes records as `time=... level=... vm=... event=...`."""

    def __init__(self, vm: str) -> None:
        """Names the VM in every line."""
        super().__init__()
        self._vm = vm

    def format(self, record: std_logging.LogRecord) -> str:
        """Returns one line without its end.

        Records of libraries become events named `log`.
        """
        at = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        event = _event_of(record)
        head: list[tuple[str, object]] = [
            ('time', at.isoformat(timespec='milliseconds')),
            ('level', record.levelname.lower()),
        ]
        if 'vm' not in dict(event.fields):
            head.append(('vm', self._vm))
        return f'{format_pairs(tuple(head))} {event}'


def set_up_logging(vm: str, level: Level) -> None:
    """Makes every log record of this process one line on standard error."""
    # The command line is argparse's; absl's own flags keep their defaults,
    # and would otherwise be complained about in a line of their own.
    flags.FLAGS.mark_as_parsed()
    flags.FLAGS['logtostderr'].value = True
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(LineFormatter(vm))
    logging.set_verbosity(_VERBOSITIES[level])


def _event_of(record: std_logging.LogRecord) -> Event:
    if isinstance(record.msg, Event):
        return record.msg
    fields: list[tuple[str, object]] = [
        ('logger', record.name),
        ('text', record.getMessage()),
    ]
    if record.exc_info:
        trace = std_logging.Formatter().formatException(record.exc_info)
        fields.append(('trace', trace))
    return Event('log', tuple(fields))
