"""Bad settings and service files: a line for each fault, and exit code 2."""

import pathlib
import subprocess
import sys

import pytest

_SETTINGS = """
[vm]
name = "vm1"
zone = "muc1"
[listen]
callers = "127.0.0.1:1"
peers = "127.0.0.1:2"
operators = "127.0.0.1:3"
[platform]
address = "127.0.0.1:4"
[fleet]
secret_file = "secret"
"""
_EXIT_BAD_INPUT = 2


@pytest.mark.parametrize(
    ('old', 'new', 'key'),
    [
        ('name = "vm1"', 'name = 7', 'vm.name'),
        ('"127.0.0.1:2"', '"127.0.0.1:1"', 'listen.peers'),
        ('"127.0.0.1:4"', '"somewhere"', 'platform.address'),
        ('zone = "muc1"', 'zone = "muc1"\nsize = 1', 'vm.size'),
        ('"secret"', '"no/such/file"', 'fleet.secret_file'),
    ],
)
def test_bad_settings_end_the_daemon_with_one_line(
    tmp_path: pathlib.Path,
    old: str,
    new: str,
    key: str,
) -> None:
    settings = tmp_path / 'vm1.toml'
    settings.write_text(_SETTINGS.replace(old, new))
    ended = subprocess.run(
        (
            sys.executable,
            '-m',
            'jacinthcroft_daemon',
            '--settings',
            str(settings),
        ),
        capture_output=True,
        text=True,
        check=False,
        timeout=30,
    )
    assert ended.returncode == _EXIT_BAD_INPUT
    lines = ended.stderr.splitlines()
    assert len(lines) == 1
    assert lines[0].startswith(f'{settings}:{key}: ')
    assert ', ' in lines[0]
