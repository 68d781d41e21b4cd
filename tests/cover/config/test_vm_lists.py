"""The platform's list of VMs is taken whole or not at all."""

import json
from typing import Any

from jacinthcroft_config import Address, Faults, VmList, VmState, load_vm_list


def vm(name: str, **changes: object) -> dict[str, object]:
    """Returns one VM of a published list."""
    ports = {
        'callers': '127.0.0.1:1',
        'peers': f'127.0.0.1:{ord(name)}',
        'operators': '127.0.0.1:3',
    }
    return {'name': name, 'zone': 'z1', 'state': 'live', **ports, **changes}


def load(**document: Any) -> VmList | Faults:
    """Loads a published list at revision 7."""
    return load_vm_list(json.dumps(document), 7, 'vms')


def test_a_list_carries_its_revision_and_the_zones_out() -> None:
    vms = load(vms=[vm('a'), vm('b', state='leaving')], zones_out=['z2'])

    assert isinstance(vms, VmList)
    assert (vms.revision, vms.zones_out) == (7, frozenset(('z2',)))
    assert vms.vms[0].peers == Address('127.0.0.1', ord('a'))
    assert vms.vms[1].state is VmState.LEAVING


def test_fields_that_the_platform_adds_are_ignored() -> None:
    assert isinstance(load(vms=[vm('a', rack=3)], region='south'), VmList)


def test_a_vm_that_stands_twice_is_a_fault() -> None:
    vms = load(vms=[vm('a'), vm('a')])

    assert isinstance(vms, Faults)
    assert 'vms:vms[#2].name: a stands twice' in str(vms)


def test_a_bad_entry_is_named_by_its_number() -> None:
    vms = load(vms=[vm('a'), vm('b', state='dead'), 'c'])

    assert isinstance(vms, Faults)
    assert 'vms[#2].state' in str(vms)
    assert "vms[#3]: 'c' is not a table" in str(vms)


def test_a_list_without_vms_is_a_fault() -> None:
    assert isinstance(load(zones_out=[]), Faults)
    assert isinstance(load(vms=[]), Faults)
