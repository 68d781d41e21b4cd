"""Log records are single lines without secrets, and repeats are limited."""

import logging as std_logging
import shlex
from collections.abc import Iterator

import pytest
from absl import logging
from attrs import frozen
from hypothesis import given, settings
from hypothesis import strategies as st
from jacinthcroft_daemon.internal.telemetry import (
    LineFormatter,
    RateLimitedLog,
    RepeatLimiter,
    Suppression,
    log_event,
    set_up_logging,
)


@frozen
class CapturedLog:
    """The log lines that the process writes to standard error."""

    _capsys: pytest.CaptureFixture[str]

    def read_new(self) -> str:
        return self._capsys.readouterr().err


@pytest.fixture
def log(capsys: pytest.CaptureFixture[str]) -> Iterator[CapturedLog]:
    """The captured log at debug level."""
    level = logging.get_verbosity()
    set_up_logging('vm1', 'debug')
    yield CapturedLog(capsys)
    logging.set_verbosity(level)
    std_logging.getLogger().removeHandler(logging.get_absl_handler())


def test_event_is_one_line_of_pairs(log: CapturedLog) -> None:
    log_event('warning', 'platform-away', detail='a "b"\nc=d', tries=3)
    time, _, line = log.read_new().partition(' ')
    assert time.startswith('time=')
    assert line == (
        r'level=warning vm=vm1 event=platform-away detail="a \"b\"\nc=d" '
        'tries=3\n'
    )


def test_records_of_libraries_are_one_line(log: CapturedLog) -> None:
    error = ValueError('two\nlines')
    std_logging.getLogger('asyncio').error('it %s', 'failed', exc_info=error)
    line = log.read_new()
    assert line.count('\n') == 1
    assert 'vm=vm1 event=log logger=asyncio text="it failed"' in line
    assert r'trace="ValueError: two\nlines"' in line


def test_events_below_the_level_are_not_logged(
    log: CapturedLog,
) -> None:
    logging.set_verbosity(logging.INFO)
    log_event('debug', 'answered')
    log_event('info', 'started', vm='vm2')
    line = log.read_new()
    assert line.endswith('level=info event=started vm=vm2\n')
    assert line.count('\n') == 1


@pytest.mark.parametrize('name', ['key', 'authorization', 'body'])
def test_fields_that_may_hold_secrets_are_refused(name: str) -> None:
    with pytest.raises(AssertionError, match=name):
        log_event('debug', 'refused', **{name: 'x'})


def _make_record(text: str) -> std_logging.LogRecord:
    return std_logging.LogRecord('a', 20, 'b', 1, text, None, None)


@settings(derandomize=True)
@given(st.text())
def test_any_text_is_formatted_as_one_word_on_one_line(text: str) -> None:
    line = LineFormatter('vm1').format(_make_record(text))
    assert len(line.splitlines()) == 1
    assert len(shlex.split(line)) == 6


def test_repeats_are_suppressed_and_counted() -> None:
    limiter = RepeatLimiter.from_interval(10)
    assert limiter.admit('away', 'vm1', 100).is_admitted
    assert not limiter.admit('away', 'vm1', 101).is_admitted
    assert limiter.admit('away', 'vm2', 101).is_admitted
    assert limiter.admit('back', 'vm1', 101).is_admitted
    assert not limiter.admit('away', 'vm1', 109.9).is_admitted
    assert limiter.admit('away', 'vm1', 110).suppressed == 2
    assert limiter.admit('away', 'vm1', 120).suppressed == 0


def test_suppressed_repeats_are_reported_once_when_overdue() -> None:
    limiter = RepeatLimiter.from_interval(10)
    limiter.admit('away', 'vm1', 100)
    limiter.admit('away', 'vm1', 101)
    assert not limiter.take_overdue(109)
    assert limiter.take_overdue(110) == (Suppression('away', 'vm1', 1),)
    assert not limiter.take_overdue(111)


def test_limiter_remembers_a_bounded_number_of_subjects() -> None:
    limiter = RepeatLimiter.from_interval(10, capacity=2)
    for number in range(100):
        limiter.admit('away', f'vm{number}', 100)
    assert limiter.admit('away', 'vm0', 100).is_admitted
    assert not limiter.admit('away', 'vm99', 100).is_admitted


def test_rate_limited_log_reports_suppressed_counts(log: CapturedLog) -> None:
    rate_limited_log = RateLimitedLog.from_interval(10)
    for now in (100, 101, 102, 110, 111):
        rate_limited_log.log('info', 'away', 'vm2', now, port=1)
    rate_limited_log.log_overdue(120)
    lines = [
        line.partition(' event=')[2] for line in log.read_new().split('\n')
    ]
    assert lines == [
        'away subject=vm2 port=1',
        'away subject=vm2 port=1 suppressed=2',
        'suppressed of=away subject=vm2 count=1',
        '',
    ]
