"""Log lines on standard output are limited and never block."""

import logging
import os

from jacinthcroft_daemon.internal.telemetry.events import Event
from jacinthcroft_daemon.internal.telemetry.stdout_lines import (
    LINE_BURST,
    StdoutLines,
)


def _record(name: str, level: int = logging.INFO) -> logging.LogRecord:
    event = Event(name, (('n', 1),))
    return logging.LogRecord('x', level, 'f', 1, event, None, None)


def _read(fd: int) -> list[str]:
    os.set_blocking(fd, False)
    received = b''
    try:
        while chunk := os.read(fd, 65536):
            received += chunk
    except BlockingIOError:
        return received.decode().splitlines()
    return received.decode().splitlines()


def test_a_reader_that_stops_reading_does_not_block_the_writer() -> None:
    reader, writer = os.pipe()
    lines = StdoutLines.from_vm('vm', writer)
    for number in range(4000):
        # A write that waited for the reader would block here forever.
        lines.emit(_record(f'kind{number}', logging.ERROR))
    written = _read(reader)
    assert 0 < len(written) < 4000
    assert all(line.startswith('time=') for line in written)


def test_a_flood_of_one_kind_leaves_room_for_the_others() -> None:
    reader, writer = os.pipe()
    lines = StdoutLines.from_vm('vm', writer)
    for _ in range(500):
        lines.emit(_record('flood'))
    lines.emit(_record('rare', logging.WARNING))
    written = _read(reader)
    assert sum('event=flood' in line for line in written) <= LINE_BURST + 5
    assert any('event=rare' in line for line in written)


def test_a_line_reports_the_number_of_dropped_lines() -> None:
    reader, writer = os.pipe()
    lines = StdoutLines.from_vm('vm', writer)
    for _ in range(500):
        lines.emit(_record('flood'))
    lines.emit(_record('rare'))
    reports = [line for line in _read(reader) if 'lines-left-out' in line]
    assert reports
    assert 'flood=' in reports[0]
