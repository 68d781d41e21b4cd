"""Every log record is one line, and no secret gets into it."""

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
class Log:
    """What the process writes to standard error."""

    _capsys: pytest.CaptureFixture[str]

    def take(self) -> str:
        return self._capsys.readouterr().err


@pytest.fixture
def log(capsys: pytest.CaptureFixture[str]) -> Iterator[Log]:
    """The log from debug level on."""
    level = logging.get_verbosity()
    set_up_logging('vm1', 'debug')
    yield Log(capsys)
    logging.set_verbosity(level)
    std_logging.getLogger().removeHandler(logging.get_absl_handler())


def test_an_event_is_one_line_of_pairs(log: Log) -> None:
    log_event('warning', 'platform-away', detail='a "b"\nc=d', tries=3)
    time, _, line = log.take().partition(' ')
    assert time.startswith('time=')
    assert line == (
        r'level=warning vm=vm1 event=platform-away detail="a \"b\"\nc=d" '
        'tries=3\n'
    )


def test_records_of_libraries_are_one_line_too(log: Log) -> None:
    error = ValueError('two\nlines')
    std_logging.getLogger('asyncio').error('it %s', 'failed', exc_info=error)
    line = log.take()
    assert line.count('\n') == 1
    assert 'vm=vm1 event=log logger=asyncio text="it failed"' in line
    assert r'trace="ValueError: two\nlines"' in line


def test_less_severe_events_than_the_level_are_left_out(
    log: Log,
) -> None:
    logging.set_verbosity(logging.INFO)
    log_event('debug', 'answered')
    log_event('info', 'started', vm='vm2')
    line = log.take()
    assert line.endswith('level=info event=started vm=vm2\n')
    assert line.count('\n') == 1


@pytest.mark.parametrize('name', ['key', 'authorization', 'body'])
def test_fields_that_may_hold_secrets_are_refused(name: str) -> None:
    with pytest.raises(AssertionError, match=name):
        log_event('debug', 'refused', **{name: 'x'})


def _record(text: str) -> std_logging.LogRecord:
    return std_logging.LogRecord('a', 20, 'b', 1, text, None, None)


@settings(derandomize=True)
@given(st.text())
def test_any_text_stays_one_line_and_one_word(text: str) -> None:
    line = LineFormatter('vm1').format(_record(text))
    assert len(line.splitlines()) == 1
    assert len(shlex.split(line)) == 6


def test_repeats_are_held_back_and_counted() -> None:
    limiter = RepeatLimiter.from_interval(10)
    assert limiter.admit('away', 'vm1', 100).is_admitted
    assert not limiter.admit('away', 'vm1', 101).is_admitted
    assert limiter.admit('away', 'vm2', 101).is_admitted
    assert limiter.admit('back', 'vm1', 101).is_admitted
    assert not limiter.admit('away', 'vm1', 109.9).is_admitted
    assert limiter.admit('away', 'vm1', 110).suppressed == 2
    assert limiter.admit('away', 'vm1', 120).suppressed == 0


def test_repeats_of_an_event_that_ends_are_mentioned_once() -> None:
    limiter = RepeatLimiter.from_interval(10)
    limiter.admit('away', 'vm1', 100)
    limiter.admit('away', 'vm1', 101)
    assert not limiter.take_overdue(109)
    assert limiter.take_overdue(110) == (Suppression('away', 'vm1', 1),)
    assert not limiter.take_overdue(111)


def test_the_limiter_remembers_a_bounded_number_of_subjects() -> None:
    limiter = RepeatLimiter.from_interval(10, capacity=2)
    for number in range(100):
        limiter.admit('away', f'vm{number}', 100)
    assert limiter.admit('away', 'vm0', 100).is_admitted
    assert not limiter.admit('away', 'vm99', 100).is_admitted


def test_a_repeat_log_tells_what_it_held_back(log: Log) -> None:
    repeats = RateLimitedLog.from_interval(10)
    for now in (100, 101, 102, 110, 111):
        repeats.log('info', 'away', 'vm2', now, port=1)
    repeats.log_overdue(120)
    lines = [line.partition(' event=')[2] for line in log.take().split('\n')]
    assert lines == [
        'away subject=vm2 port=1',
        'away subject=vm2 port=1 suppressed=2',
        'suppressed of=away subject=vm2 count=1',
        '',
    ]
