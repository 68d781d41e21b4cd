"""Tests that a VM's settings are checked, loaded and described."""

from jacinthcroft_config import (
    Address,
    Faults,
    LogLevel,
    Settings,
    Tunables,
    describe_service_file,
    describe_settings,
    load_settings,
)
from syrupy.assertion import SnapshotAssertion

SETTINGS = """
[vm]
name = "vm-01"
zone = "muc1"
[listen]
callers = "10.0.0.1:8080"
peers = "[::1]:8081"
operators = "10.0.0.1:8082"
[platform]
address = "10.0.0.9:80"
[fleet]
secret_file = "/run/fleet-secret"
"""


def test_only_keys_that_differ_between_vms_are_required() -> None:
    settings = load_settings(SETTINGS, 'vm.toml')

    assert isinstance(settings, Settings)
    assert settings.listen.callers == Address('10.0.0.1', 8080)
    assert str(settings.listen.peers) == '[::1]:8081'
    assert settings.log.level is LogLevel.INFO
    assert settings.tunables == Tunables()


def test_a_tunable_in_the_file_replaces_its_default() -> None:
    text = f'{SETTINGS}[tunables]\ndrain_seconds = 3\n[log]\nlevel = "debug"\n'
    settings = load_settings(text, 'vm.toml')

    assert isinstance(settings, Settings)
    assert settings.tunables == Tunables(drain_seconds=3.0)
    assert settings.log.level is LogLevel.DEBUG


def test_every_fault_of_settings_is_reported_at_once(
    snapshot: SnapshotAssertion,
) -> None:
    text = """
    tunables = { gossip_interval = 500, drain_seconds = -1 }
    [lissen]
    [listen]
    callers = "10.0.0.1:0"
    peers = "10.0.0.1:81"
    operators = "10.0.0.1:81"
    [vm]
    name = 7
    """
    outcome = load_settings(text, 'vm.toml')

    assert isinstance(outcome, Faults)
    assert str(outcome) == snapshot


def test_every_key_is_described(
    snapshot: SnapshotAssertion,
) -> None:
    assert describe_settings() == snapshot(name='settings')
    assert describe_service_file() == snapshot(name='service file')
