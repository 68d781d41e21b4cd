"""Settings files, VM lists and service files as the harness writes them."""

import json
from collections.abc import Iterable, Mapping

from attrs import frozen
from jacinthcroft_config import Address, Vm, hash_key

EXAMPLE_KEY = 'example-key-'
_TARGETS_BEGIN = '[targets.'


@frozen
class ServicePlan:
    """A service file with one idempotent and one non-idempotent route.

    `limits` holds rate and burst of each team; the teams' keys are
    `example-key-<team>`.
    """

    name: str
    limits: Mapping[str, tuple[float, int]]
    slots: int = 2
    cold_slots: int = 1
    cold_start_seconds: float = 3
    floor: float = 0.5
    deadline_ms: int = 1000


@frozen
class TargetEntry:
    """One target as a service file names it."""

    name: str
    address: str
    zone: str
    state: str = 'active'


def write_settings(
    vm: Vm,
    platform: Address,
    secret_file: str,
    tunables: Mapping[str, float],
) -> str:
    """Returns the settings of one VM."""
    lines = [
        '[vm]',
        f'name = "{vm.name}"',
        f'zone = "{vm.zone}"',
        '[listen]',
        f'callers = "{vm.callers}"',
        f'peers = "{vm.peers}"',
        f'operators = "{vm.operators}"',
        '[platform]',
        f'address = "{platform}"',
        '[fleet]',
        f'secret_file = "{secret_file}"',
        '[tunables]',
    ]
    lines.extend(f'{name} = {number}' for name, number in tunables.items())
    return '\n'.join((*lines, ''))


def write_vm_list(vms: Iterable[Vm], zones_out: Iterable[str]) -> str:
    """Returns the platform's list of VMs."""
    entries = [
        {
            'name': vm.name,
            'zone': vm.zone,
            'state': vm.state.value,
            'callers': str(vm.callers),
            'peers': str(vm.peers),
            'operators': str(vm.operators),
        }
        for vm in vms
    ]
    return json.dumps({'vms': entries, 'zones_out': sorted(zones_out)})


def write_service(plan: ServicePlan) -> str:
    """Returns a service file without targets."""
    teams = json.dumps(list(plan.limits))
    lines = [
        f'service = "{plan.name}"',
        '[limits]',
        f'slots = {plan.slots}',
        f'cold_slots = {plan.cold_slots}',
        f'cold_start_seconds = {plan.cold_start_seconds}',
        'connections = 300',
        f'floor = {plan.floor}',
    ]
    for name, method, path, is_idempotent in (
        ('read', 'GET', 'items/{item}', 'true'),
        ('book', 'POST', 'orders', 'false'),
    ):
        lines.extend(
            (
                '[[routes]]',
                f'name = "{name}"',
                f'methods = ["{method}"]',
                f'path = "/{plan.name}/{path}"',
                f'teams = {teams}',
                f'idempotent = {is_idempotent}',
                f'class = "{plan.name}"',
                f'deadline_ms = {plan.deadline_ms}',
            )
        )
    for team, (rate, burst) in plan.limits.items():
        lines.extend(
            (
                f'[teams.{team}]',
                f'rate = {rate}',
                f'burst = {burst}',
                f'keys = ["sha256:{hash_key(EXAMPLE_KEY + team)}"]',
            )
        )
    return '\n'.join((*lines, ''))


def replace_targets(text: str, targets: Iterable[TargetEntry]) -> str:
    """Returns a service file with other targets.

    The targets' tables must be the last ones of the file.
    """
    head, _, _ = text.partition(_TARGETS_BEGIN)
    tables = [_write_target(target) for target in targets]
    return '\n'.join((head, *tables))


def _write_target(target: TargetEntry) -> str:
    return '\n'.join(
        (
            f'{_TARGETS_BEGIN}{target.name}]',
            f'address = "{target.address}"',
            f'zone = "{target.zone}"',
            f'state = "{target.state}"',
            '',
        )
    )
