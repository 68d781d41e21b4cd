"""The thinnest pass through placement, activation, lease and claim."""

import uuid

from jacinthcroft_config import Address, Vm, VmList, VmState
from jacinthcroft_decisions.coordination import (
    Claim,
    ClaimGranted,
    CoordinationTerms,
    Coordinator,
    Placement,
    Witness,
)


def _vm(name: str, zone: str) -> Vm:
    address = Address('127.0.0.1', 1)
    return Vm(name, zone, VmState.LIVE, address, address, address)


def test_a_cold_fleet_elects_a_holder_and_grants_a_claim() -> None:
    terms = CoordinationTerms(shard_count=2)
    names = [f'vm{number}' for number in range(6)]
    vm_list = VmList(
        7, tuple(_vm(name, f'z{at % 3}') for at, name in enumerate(names))
    )
    placement = Placement.from_vm_list(vm_list, terms)
    witnesses = {name: Witness(name, 'i1', 0, 1000, terms) for name in names}
    coordinators = {name: Coordinator(name, 'i1', 0, terms) for name in names}
    for name in names:
        witnesses[name].adopt(placement, 0)
        coordinators[name].adopt(placement, 0)
    now: float = 0
    while now < 12:
        for name in names:
            for out in witnesses[name].tick(now):
                reply = witnesses[out.to].handle(out.message, now, 1000 + now)
                witnesses[name].receive(out.to, reply, now)
            for out in coordinators[name].tick(now):
                reply = witnesses[out.to].handle(out.message, now, 1000 + now)
                coordinators[name].receive(out.to, reply, now, now)
        now += 0.1
    for shard in range(2):
        holders = [n for n in names if coordinators[n].holds(shard, now)]
        assert holders == [placement.candidates(shard)[0]]
    key_id = uuid.UUID(
        int=(1011000 << 80) | (7 << 76) | (2 << 62) | 5,
    )
    claim = Claim.start(f'key:s/t/{key_id}', 'c1', placement, terms, now)
    for out in claim.requests():
        reply = witnesses[out.to].handle(out.message, now, 1000 + now)
        claim.receive(out.to, reply, now)
    assert claim.verdict(now) == ClaimGranted()
