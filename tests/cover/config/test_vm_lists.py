"""Tests that a VM list with any fault is rejected as a whole."""

import json
from typing import Any

from jacinthcroft_config import Address, Faults, VmList, VmState, load_vm_list


def make_vm(name: str, **changes: object) -> dict[str, object]:
    """Returns one VM as the platform publishes it."""
    ports = {
        'callers': '127.0.0.1:1',
        'peers': f'127.0.0.1:{ord(name)}',
        'operators': '127.0.0.1:3',
    }
    return {'name': name, 'zone': 'z1', 'state': 'live', **ports, **changes}


def load(**document: Any) -> VmList | Faults:
    """Loads a VM list as revision 7."""
    return load_vm_list(json.dumps(document), 7, 'vms')


def test_a_list_has_its_revision_and_the_zones_out_of_service() -> None:
    vms = load(
        vms=[make_vm('a'), make_vm('b', state='leaving')], zones_out=['z2']
    )

    assert isinstance(vms, VmList)
    assert (vms.revision, vms.zones_out) == (7, frozenset(('z2',)))
    assert vms.vms[0].peers == Address('127.0.0.1', ord('a'))
    assert vms.vms[1].state is VmState.LEAVING


def test_fields_that_the_platform_adds_are_ignored() -> None:
    assert isinstance(load(vms=[make_vm('a', rack=3)], region='south'), VmList)


def test_a_vm_that_is_listed_twice_is_a_fault() -> None:
    vms = load(vms=[make_vm('a'), make_vm('a')])

    assert isinstance(vms, Faults)
    assert 'vms:vms[#2].name: a stands twice' in str(vms)


def test_a_fault_names_the_number_of_its_vm() -> None:
    vms = load(vms=[make_vm('a'), make_vm('b', state='dead'), 'c'])

    assert isinstance(vms, Faults)
    assert 'vms[#2].state' in str(vms)
    assert "vms[#3]: 'c' is not a table" in str(vms)


def test_a_list_without_vms_is_a_fault() -> None:
    assert isinstance(load(zones_out=[]), Faults)
    assert isinstance(load(vms=[]), Faults)
