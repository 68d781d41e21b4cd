"""Tests the output and the exit code of each command."""

import io
import json
import pathlib
import tomllib

import pytest
from jacinthcroft_cli.main import main
from jacinthcroft_config import MAX_VALUE_BYTES, hash_key
from syrupy.assertion import SnapshotAssertion

EXAMPLES = pathlib.Path(__file__).parents[3] / 'examples'
COMMANDS = ('bundle', 'check', 'explain', 'key', 'settings', 'status')
Capture = pytest.CaptureFixture[str]


@pytest.fixture(name='services')
def _services(tmp_path: pathlib.Path) -> pathlib.Path:
    """Returns a directory tree with two valid service files."""
    directory = tmp_path / 'services'
    (directory / 'nested').mkdir(parents=True)
    for name, location in (('history', 'nested/history'), ('transfers',) * 2):
        text = (EXAMPLES / 'huberbauer' / f'{name}.toml').read_text()
        (directory / f'{location}.toml').write_text(text)
    return directory


@pytest.mark.parametrize('command', ['', *COMMANDS])
def test_help_explains_a_command(
    command: str,
    capsys: Capture,
    monkeypatch: pytest.MonkeyPatch,
    snapshot: SnapshotAssertion,
) -> None:
    monkeypatch.setenv('COLUMNS', '80')
    with pytest.raises(SystemExit) as stopped:
        main([*filter(None, [command]), '--help'])

    assert stopped.value.code == 0
    assert capsys.readouterr().out == snapshot


def test_check_accepts_valid_files(
    services: pathlib.Path,
    capsys: Capture,
) -> None:
    assert main(['check', *map(str, services.rglob('*.toml'))]) == 0
    assert capsys.readouterr().out == '2 services, no faults\n'


def test_check_prints_one_line_for_each_fault(
    services: pathlib.Path,
    capsys: Capture,
    monkeypatch: pytest.MonkeyPatch,
    snapshot: SnapshotAssertion,
) -> None:
    monkeypatch.chdir(services)
    text = pathlib.Path('transfers.toml').read_text()
    pathlib.Path('copy.toml').write_text(text)
    pathlib.Path('bad.toml').write_text('service = "bad"\n[limits]\nslot = 1')

    assert main(['check', 'transfers.toml', 'copy.toml', 'bad.toml']) == 2
    assert capsys.readouterr().out == snapshot


def test_check_names_a_file_that_cannot_be_read(
    tmp_path: pathlib.Path,
    capsys: Capture,
) -> None:
    binary = tmp_path / 'binary.toml'
    binary.write_bytes(b'\xff\xfe')

    assert main(['check', str(tmp_path / 'none.toml'), str(binary)]) == 2
    out = capsys.readouterr().out
    assert 'none.toml: cannot be read' in out
    assert 'binary.toml: not UTF-8' in out


def test_bundle_writes_an_index_and_parts_that_match_it(
    services: pathlib.Path,
    tmp_path: pathlib.Path,
) -> None:
    out = tmp_path / 'out'
    assert main(['bundle', str(services), '--out', str(out)]) == 0

    index = json.loads((out / 'bundle.json').read_text())['services']
    assert sorted(index) == ['history', 'transfers']
    for service, digest in index.items():
        part = (out / f'part-{digest}').read_bytes()
        assert hash_key(part.decode()) == digest
        assert tomllib.loads(part.decode())['service'] == service
        assert len(part) < MAX_VALUE_BYTES


def test_bundle_keeps_earlier_output_if_a_file_has_a_fault(
    services: pathlib.Path,
    tmp_path: pathlib.Path,
) -> None:
    out = tmp_path / 'out'
    main(['bundle', str(services), '--out', str(out)])
    earlier = {path.name: path.read_bytes() for path in out.iterdir()}
    (services / 'bad.toml').write_text('service = 1')

    assert main(['bundle', str(services), '--out', str(out)]) == 2
    later = {path.name: path.read_bytes() for path in out.iterdir()}
    assert later == earlier


def test_bundle_refuses_to_withdraw_every_service(
    tmp_path: pathlib.Path,
    capsys: Capture,
) -> None:
    out = tmp_path / 'out'

    assert main(['bundle', str(tmp_path), '--out', str(out)]) == 2
    assert 'no service file' in capsys.readouterr().out
    assert not out.exists()


def test_bundle_ignores_hidden_directories_and_other_file_names(
    services: pathlib.Path,
    tmp_path: pathlib.Path,
) -> None:
    (services / '.venv').mkdir()
    (services / '.venv' / 'transfers.toml').write_text('not ours')
    (services / 'nested' / 'pyproject.toml').write_text('not ours')
    command = ['bundle', str(services), '--out', str(tmp_path / 'out')]

    assert main([*command, '--pattern', 'transfers.toml']) == 0


def test_a_new_key_matches_the_hash_printed_with_it(capsys: Capture) -> None:
    assert main(['key', 'new']) == 0
    key_line, hash_line = capsys.readouterr().out.splitlines()
    key = key_line.rpartition(' ')[2]

    assert hash_line == f'keys = ["sha256:{hash_key(key)}"]'


@pytest.mark.parametrize(
    ('standard_input', 'code'), [('a key\n', 0), ('\n', 2)]
)
def test_a_key_is_hashed_from_standard_input(
    standard_input: str,
    code: int,
    capsys: Capture,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr('sys.stdin', io.StringIO(standard_input))

    assert main(['key', 'hash']) == code
    assert (hash_key('a key') in capsys.readouterr().out) is (code == 0)
