"""Tests that a service file is loaded, or all its faults are reported."""

import pathlib

import pytest
from jacinthcroft_config import (
    MAX_VALUE_BYTES,
    Access,
    Faults,
    Service,
    TargetState,
    hash_key,
    load_service,
)
from syrupy.assertion import SnapshotAssertion

EXAMPLES = pathlib.Path(__file__).parents[3] / 'examples'
TRANSFERS = (EXAMPLES / 'huberbauer' / 'transfers.toml').read_text()

FAULTY = """
service = "Transfers"
owner = "payments"

[limits]
slots = 2
cold_slots = 3
connection = 300
floor = 1.5
cold_start_seconds = nan

[[routes]]
name = "book"
methods = ["POST", "FETCH"]
path = "/transfers/"
teams = ["ap", "web"]
idempotent = "no"
deadline_ms = 0

[[routes]]
name = "list"
methods = ["GET"]
path = "/pots/{pot}"
teams = []
idempotent = true
deadline_ms = 1000

[[routes]]
name = "list"
methods = ["GET", "GET"]
path = "/pots/{other}"
access = "open"
teams = ["web"]
idempotent = true
deadline_ms = 1000

[[routes]]
name = "other"
methods = ["GET"]
path = "/pots/{other}"
access = "open"
idempotent = true
deadline_ms = 1000

[teams.web]
rate = 0
burst = true
keys = ["example-key-web"]

[teams.app]
rate = 10
burst = 1
keys = ["sha256:{hash}"]

[teams.desk]
rate = 10
burst = 1
keys = ["sha256:{hash}"]

[targets.t1]
address = "localhost:80"
zone = "muc1"

[targets.t2]
address = "127.0.0.1:65536"
zone = "muc1"
state = "gone"

[targets.t3]
address = "127.0.0.1:80"
zone = "muc1"

[targets.t4]
address = "127.0.0.1:80"
zone = "muc1"
"""


def format_faults(text: str) -> str:
    """Returns the faults of a service file, one line each."""
    outcome = load_service(text, 'service.toml')
    assert isinstance(outcome, Faults), outcome
    return str(outcome)


def test_every_fault_of_a_file_is_reported_at_once(
    snapshot: SnapshotAssertion,
) -> None:
    assert format_faults(FAULTY.replace('{hash}', 'ab' * 32)) == snapshot


def test_a_file_without_faults_is_loaded_as_a_service() -> None:
    service = load_service(TRANSFERS, 'transfers.toml')

    assert isinstance(service, Service)
    assert service.limits.slots == 2
    assert service.targets[0].state is TargetState.ACTIVE
    book = service.routes[0]
    assert (book.name, book.methods) == ('book', ('POST',))
    assert book.access is Access.TEAMS
    assert not book.is_idempotent


@pytest.mark.parametrize(
    ('old', 'new', 'fault'),
    [
        ('slots = 2', 'slots = 0', 'limits.slots: 0 is not accepted'),
        ('slots = 2', 'slots = 2.0', 'limits.slots: 2.0 is not accepted'),
        ('floor = 0.5', 'floor = -0.1', 'limits.floor: -0.1'),
        ('floor = 0.5', 'floor = inf', 'limits.floor: inf'),
        ('floor = 0.5', 'flor = 0.5', 'limits.flor: unknown key, write floor'),
        ('rate = 50.0', 'rate = -1', 'teams.app.rate: -1 is not accepted'),
        ('burst = 100', 'burst = 0', 'teams.app.burst: 0 is not accepted'),
        ('[teams.app]', '[teams."a/b"]', 'teams.a/b: not a name'),
        ('[teams.app]', '[teams."a\x5cnb"]', 'teams.a?b: not a name'),
        ('"/transfers"', '"/a//b"', 'routes[book].path'),
        ('"/transfers"', '"/../b"', 'routes[book].path'),
        ('[limits]', '[limits', 'service.toml: not TOML'),
        ('slots = 2', f'slots = {"9" * 5000}', 'service.toml: not TOML'),
        ('slots = 2', f'slots = 0x{"f" * 5000}', 'limits.slots: a number'),
        ('slots = 2', f'slots = {"[" * 2000}', 'service.toml: not TOML'),
    ],
)
def test_a_fault_names_its_key_and_what_to_write(
    old: str,
    new: str,
    fault: str,
) -> None:
    assert fault in format_faults(TRANSFERS.replace(old, new, 1))


def test_a_syntax_error_names_its_line() -> None:
    assert 'at line 2' in format_faults('service = "a"\nlimits = \n')


def test_a_file_too_large_for_the_platform_is_a_fault() -> None:
    large = TRANSFERS + '#' * MAX_VALUE_BYTES

    assert 'too large for a published value' in format_faults(large)


@pytest.mark.parametrize('written', ['"my-secret"', '["my-secret"]'])
def test_a_key_written_in_place_of_its_hash_is_not_repeated(
    written: str,
) -> None:
    text = f'[teams.app]\nkeys = {written}'

    assert 'my-secret' not in format_faults(text)


def test_the_hash_of_an_empty_key_is_rejected() -> None:
    text = f'[teams.app]\nkeys = ["sha256:{hash_key("")}"]'

    assert 'teams.app.keys: this is the hash of an empty key' in format_faults(
        text
    )


def test_a_service_needs_a_route_and_a_target() -> None:
    faults = format_faults('service = "empty"\nroutes = []\n')

    assert 'routes: nothing is written there' in faults
    assert 'targets: nothing is written there' in faults
