"""Passes over the tests that KNOWN-RED.txt lists, and prints them.

Every entry is a block of `key: value` lines with the keys test, command,
seed, seen and issue. A listed test still runs; its failure is reported as
expected, and a listed test that passes is reported as well.
"""

import pathlib

import pytest

_KNOWN_RED = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'


def read_known_red() -> dict[str, str]:
    """Returns what was seen, by test id."""
    entries: dict[str, str] = {}
    for block in _KNOWN_RED.read_text().split('\n\n'):
        pairs = [
            line.split(': ', maxsplit=1)
            for line in block.strip().splitlines()
            if not line.startswith('#')
        ]
        fields = dict(pairs)
        if fields:
            entries[fields['test']] = fields['seen']
    return entries


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the listed tests as expected to fail."""
    known_red = read_known_red()
    for test in items:
        seen = known_red.get(test.nodeid)
        if seen is not None:
            test.add_marker(pytest.mark.xfail(reason=seen, strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Prints the known-red tests, and how those of this run failed."""
    for test_id, seen in read_known_red().items():
        terminalreporter.write_line(f'KNOWN-RED {test_id}: {seen}')
    for report in terminalreporter.stats.get('xfailed', ()):
        terminalreporter.write_line(
            f'KNOWN-RED failed in this run: {report.nodeid}\n'
            f'{report.longreprtext}',
        )
