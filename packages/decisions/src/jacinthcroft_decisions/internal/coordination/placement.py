"""The candidates and witnesses of each shard under one list revision.

A shard's candidates may become its holder, the one VM that uses it, and its
witnesses vote on that.

Rendezvous hashing gives every shard its own ranking of the VMs, so a changed
list moves few shards. The ranking takes VMs from the zones in turn: the first
candidates are in different zones, and with three zones or more no zone has a
majority of five witnesses.

Only live VMs outside the zones taken out of service are candidates or
witnesses. A leaving VM soon loses its state, so it is no witness of a new
list. As a witness of earlier lists it answers until they are fenced.
"""

import hashlib
from collections.abc import Iterable

from attrs import field, frozen
from jacinthcroft_config import Vm, VmList, VmState

from jacinthcroft_decisions.internal.coordination.config import (
    CoordinationConfig,
)


@frozen
class Placement:
    """The rankings of one list revision's VMs, one for each shard."""

    revision: int
    members: tuple[str, ...]
    _eligible: tuple[Vm, ...]
    _config: CoordinationConfig
    _rankings: dict[tuple[str, int], tuple[str, ...]] = field(
        factory=dict,
        init=False,
        eq=False,
        repr=False,
    )

    @classmethod
    def from_vm_list(
        cls,
        vm_list: VmList,
        config: CoordinationConfig,
    ) -> 'Placement':
        """Places the shards on the live VMs of the zones in service."""
        eligible = tuple(
            vm
            for vm in vm_list.vms
            if vm.state is VmState.LIVE and vm.zone not in vm_list.zones_out
        )
        members = tuple(vm.name for vm in vm_list.vms)
        return cls(vm_list.revision, members, eligible, config)

    def shard_of(self, resource: str) -> int:
        """Returns the shard of a resource name, the same in every list."""
        digest = hashlib.sha256(resource.encode()).digest()
        return int.from_bytes(digest) % self._config.shard_count

    def candidates(self, shard: int) -> tuple[str, ...]:
        """Returns the VMs that may hold the shard, in order of preference."""
        return self._ranking('holder', shard)

    def witnesses(self, shard: int) -> tuple[str, ...]:
        """Returns the shard's witnesses, fewer if there are too few VMs."""
        return self._ranking('witness', shard)[: self._config.witness_count]

    def _ranking(self, role: str, shard: int) -> tuple[str, ...]:
        ranking = self._rankings.get((role, shard))
        if ranking is None:
            ranking = _rank_vms(self._eligible, f'{role}/{shard}')
            self._rankings[role, shard] = ranking
        return ranking


def _rank_vms(vms: Iterable[Vm], salt: str) -> tuple[str, ...]:
    """Ranks VMs by hash, taking one VM of each zone in each round."""
    ranked_count_by_zone: dict[str, int] = {}
    rounds: list[tuple[int, int]] = []
    by_hash = sorted(vms, key=lambda vm: _hash_vm(salt, vm.name))
    for position, vm in enumerate(by_hash):
        round_number = ranked_count_by_zone.get(vm.zone, 0)
        ranked_count_by_zone[vm.zone] = round_number + 1
        rounds.append((round_number, position))
    return tuple(by_hash[index].name for _, index in sorted(rounds))


def _hash_vm(salt: str, name: str) -> bytes:
    return hashlib.sha256(f'{salt}/{name}'.encode()).digest()
