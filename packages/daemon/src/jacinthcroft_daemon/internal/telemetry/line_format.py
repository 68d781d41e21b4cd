"""Formats every log record, also of libraries, as a line of key=value pairs."""

import datetime
import logging as std_logging
from typing import Final

from absl import flags, logging

from jacinthcroft_daemon.internal.telemetry.events import (
    Event,
    Level,
    format_pairs,
)

_ABSL_VERBOSITIES: Final = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}


class LineFormatter(std_logging.Formatter):
    """Formats records as `time=... level=... vm=... event=...`."""

    def __init__(self, vm: str) -> None:
        """Creates a formatter that writes the VM's name into every line."""
        super().__init__()
        self._vm = vm

    def format(self, record: std_logging.LogRecord) -> str:
        """Returns a record as one line without a line break.

        Records of libraries become events named `log`.
        """
        created_at = datetime.datetime.fromtimestamp(
            record.created, datetime.UTC
        )
        event = _convert_record(record)
        leading_pairs: list[tuple[str, object]] = [
            ('time', created_at.isoformat(timespec='milliseconds')),
            ('level', record.levelname.lower()),
        ]
        if 'vm' not in dict(event.fields):
            leading_pairs.append(('vm', self._vm))
        return f'{format_pairs(tuple(leading_pairs))} {event}'


def set_up_logging(vm: str, level: Level) -> None:
    """Writes every log record of this process as a line to standard error."""
    # argparse parses the command line, so absl's flags keep their defaults.
    # Without this mark, absl writes a warning that they are not parsed.
    flags.FLAGS.mark_as_parsed()
    flags.FLAGS['logtostderr'].value = True
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(LineFormatter(vm))
    logging.set_verbosity(_ABSL_VERBOSITIES[level])


def _convert_record(record: std_logging.LogRecord) -> Event:
    if isinstance(record.msg, Event):
        return record.msg
    fields: list[tuple[str, object]] = [
        ('logger', record.name),
        ('text', record.getMessage()),
    ]
    if record.exc_info:
        traceback = std_logging.Formatter().formatException(record.exc_info)
        fields.append(('trace', traceback))
    return Event('log', tuple(fields))
