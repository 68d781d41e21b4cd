"""Loads the platform's list of VMs.

Unknown keys are ignored: the platform writes this list, and a field that it
adds must not stop the fleet.
"""

from typing import Any

from jacinthcroft_config.internal.checkers import (
    AddressText,
    Choice,
    ListOf,
    Name,
)
from jacinthcroft_config.internal.documents import parse_json
from jacinthcroft_config.internal.faults import FaultCollector, Faults
from jacinthcroft_config.internal.models import Vm, VmList, VmState
from jacinthcroft_config.internal.tables import TableKey, TableReader

_VM_KEYS = (
    TableKey('name', Name(), 'Name of the VM.'),
    TableKey('zone', Name(), 'Availability zone of the VM.'),
    TableKey('state', Choice(VmState), 'Whether the platform keeps the VM.'),
    TableKey('callers', AddressText(), 'Where callers reach the VM.'),
    TableKey('peers', AddressText(), 'Where other VMs reach the VM.'),
    TableKey('operators', AddressText(), 'Where operators reach the VM.'),
)
_ZONES_OUT = TableKey(
    'zones_out',
    ListOf(Name()),
    'Availability zones out of service.',
    default=(),
)


def load_vm_list(text: str, revision: int, source: str) -> VmList | Faults:
    """Returns a list of VMs, or every fault in it.

    `source` is the name of the text in the messages of faults.
    """
    collector = FaultCollector(source)
    document = parse_json(collector, text)
    if not collector.is_empty:
        return collector.faults
    reader = TableReader(collector, ignores_unknown=True)
    zones = reader.read('', document, (_ZONES_OUT,))
    vms = _read_vms(reader, document)
    if not collector.is_empty:
        return collector.faults
    return VmList(
        revision=revision,
        vms=tuple(Vm(**vm) for vm in vms),
        zones_out=frozenset(zones['zones_out']),
    )


def _read_vms(reader: TableReader, document: object) -> list[dict[str, Any]]:
    raw = document.get('vms') if isinstance(document, dict) else None
    # The VM that reads the list is itself part of the fleet, so an empty list
    # is wrong.
    if not isinstance(raw, list) or not raw:
        reader.log.report('vms', 'no list of VMs', 'publish every VM')
        return []
    vms = [
        reader.read(f'vms[#{number}]', vm, _VM_KEYS)
        for number, vm in enumerate(raw, start=1)
    ]
    _check_unique(reader.log, vms, 'name')
    _check_unique(reader.log, vms, 'peers')
    return vms


def _check_unique(
    collector: FaultCollector,
    vms: list[dict[str, Any]],
    key: str,
) -> None:
    seen: set[object] = set()
    for number, vm in enumerate(vms, start=1):
        value = vm.get(key)
        if value is not None and value in seen:
            collector.report(
                f'vms[#{number}].{key}',
                f'{value} stands twice',
                'publish each VM once',
            )
        seen.add(value)
