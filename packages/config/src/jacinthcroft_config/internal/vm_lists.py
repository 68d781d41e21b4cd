"""Loads the platform's list of VMs.

Keys that are not known are ignored here: the platform writes this list, and
a field that it adds must not stop the fleet.
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
from jacinthcroft_config.internal.tables import Key, TableReader

_VM_KEYS = (
    Key('name', Name(), 'Name of the VM.'),
    Key('zone', Name(), 'Availability zone of the VM.'),
    Key('state', Choice(VmState), 'Whether the platform keeps the VM.'),
    Key('callers', AddressText(), 'Where callers reach the VM.'),
    Key('peers', AddressText(), 'Where other VMs reach the VM.'),
    Key('operators', AddressText(), 'Where operators reach the VM.'),
)
_ZONES_OUT = Key(
    'zones_out',
    ListOf(Name()),
    'Availability zones out of service.',
    default=(),
)


def load_vm_list(text: str, revision: int, source: str) -> VmList | Faults:
    """Reads a list of VMs, or tells every fault in it.

    `source` names in the faults where the text came from.
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
    # A fleet without VMs has nobody to read this.
    if not isinstance(raw, list) or not raw:
        reader.collector.report('vms', 'no list of VMs', 'publish every VM')
        return []
    vms = [
        reader.read(f'vms[#{number}]', vm, _VM_KEYS)
        for number, vm in enumerate(raw, start=1)
    ]
    _check_unique(reader.collector, vms, 'name')
    _check_unique(reader.collector, vms, 'peers')
    return vms


def _check_unique(
    collector: FaultCollector,
    vms: list[dict[str, Any]],
    key: str,
) -> None:
    met: set[object] = set()
    for number, vm in enumerate(vms, start=1):
        found = vm.get(key)
        if found is not None and found in met:
            collector.report(
                f'vms[#{number}].{key}',
                f'{found} stands twice',
                'publish each VM once',
            )
        met.add(found)
