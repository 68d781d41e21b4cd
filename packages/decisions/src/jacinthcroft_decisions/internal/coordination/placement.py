"""Where each shard lives under one revision of the VM list.

Rendezvous hashing gives every shard its own ranking of the VMs, so a changed
list moves few shards. The ranking takes the zones in turn: the first
candidates lie in different zones, and with three zones or more no zone has a
majority of five witnesses.

Only live VMs outside the zones taken out are candidates or witnesses. A VM
about to leave would take its memory along, so it is no witness of a new
list; as a witness of earlier lists it still answers until they are fenced.
"""

import hashlib
from collections.abc import Iterable

from attrs import field, frozen
from jacinthcroft_config import Vm, VmList, VmState

from jacinthcroft_decisions.internal.coordination.parameters import (
    CoordinationParameters,
)


@frozen
class Placement:
    """Ranks the VMs of one list revision for each shard."""

    revision: int
    members: tuple[str, ...]
    _eligible: tuple[Vm, ...]
    _parameters: CoordinationParameters
    _ranked: dict[tuple[str, int], tuple[str, ...]] = field(
        factory=dict,
        init=False,
        eq=False,
        repr=False,
    )

    @classmethod
    def from_vm_list(
        cls,
        vm_list: VmList,
        parameters: CoordinationParameters,
    ) -> 'Placement':
        """Places the shards on the VMs that the list keeps in service."""
        eligible = tuple(
            vm
            for vm in vm_list.vms
            if vm.state is VmState.LIVE and vm.zone not in vm_list.zones_out
        )
        members = tuple(vm.name for vm in vm_list.vms)
        return cls(vm_list.revision, members, eligible, parameters)

    def shard_of(self, thing: str) -> int:
        """Returns the shard of a named thing, the same in every list."""
        digest = hashlib.sha256(thing.encode()).digest()
        return int.from_bytes(digest) % self._parameters.shard_count

    def candidates(self, shard: int) -> tuple[str, ...]:
        """Returns all VMs that may hold the shard, the first choice first."""
        return self._ranking('holder', shard)

    def witnesses(self, shard: int) -> tuple[str, ...]:
        """Returns the shard's witnesses, fewer when there are few VMs."""
        return self._ranking('witness', shard)[: self._parameters.witness_count]

    def _ranking(self, role: str, shard: int) -> tuple[str, ...]:
        known = self._ranked.get((role, shard))
        if known is None:
            known = _rank(self._eligible, f'{role}/{shard}')
            self._ranked[role, shard] = known
        return known


def _rank(vms: Iterable[Vm], salt: str) -> tuple[str, ...]:
    """Ranks VMs by weight, taking one of each zone in each round."""
    taken: dict[str, int] = {}
    rounds: list[tuple[int, int]] = []
    by_weight = sorted(vms, key=lambda vm: _weight(salt, vm.name))
    for position, vm in enumerate(by_weight):
        turn = taken.get(vm.zone, 0)
        taken[vm.zone] = turn + 1
        rounds.append((turn, position))
    return tuple(by_weight[place].name for _, place in sorted(rounds))


def _weight(salt: str, name: str) -> bytes:
    return hashlib.sha256(f'{salt}/{name}'.encode()).digest()
