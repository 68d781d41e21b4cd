"""Scripted faults, each of which needs one safeguard of the protocol."""

import random
from collections.abc import Iterable

from jacinthcroft_decisions.coordination import Placement

from tests.cover.coordination.shard_simulation import (
    Faults,
    Simulation,
    Variant,
    new_fleet,
    zone_of,
)

NO_FAULTS = Faults(loss=0, duplication=0, slow=0)


def make_settled_fleet(variant: Variant) -> Simulation:
    """Returns a fleet that has activated list 2 over a faultless network."""
    simulation = new_fleet(1, faults=NO_FAULTS, variant=variant)
    simulation.rng = FixedRandom(1)
    simulation.advance(12)
    simulation.publish(simulation.published[0].members)
    for name in simulation.published[1].members:
        simulation.adopt(name, 2)
    simulation.advance(8)
    return simulation


class FixedRandom(random.Random):
    """Always returns 0.5, with which a claimer runs each granted claim."""

    def random(self) -> float:
        return 0.5


def isolate_vms(simulation: Simulation, names: Iterable[str]) -> None:
    """Cuts each VM off from all others, in both directions."""
    for name in names:
        for other in simulation.processes:
            simulation.blocked_links |= {(name, other), (other, name)}


def partition_vms(simulation: Simulation, *groups: Iterable[str]) -> None:
    """Cuts each group of VMs off from all other VMs."""
    simulation.blocked_links.clear()
    for group in map(set, groups):
        for name in group:
            for other in set(simulation.processes) - group:
                simulation.blocked_links |= {(name, other), (other, name)}


def forget_claims(variant: Variant) -> Simulation:
    """Most witnesses of a key that has run restart; it is sent again.

    Restarted witnesses have forgotten the claim, so they must abstain and
    must not vouch for keys created before their start.
    """
    simulation = make_settled_fleet(variant)
    witnesses = simulation.published[1].witnesses(0)
    key = simulation.new_key(age=0)
    isolate_vms(simulation, witnesses[3:])
    simulation.claim(witnesses[0], key)
    simulation.advance(2)
    for name in witnesses[:3]:
        simulation.start(name, 2)
    simulation.blocked_links.clear()
    simulation.advance(12)
    simulation.claim(witnesses[4], key)
    simulation.advance(2)
    return simulation


def replace_fleet(variant: Variant) -> Simulation:
    """A new list replaces most VMs, and one replaced VM does not receive it."""
    simulation = make_settled_fleet(variant)
    old_members = simulation.published[1].members
    simulation.publish(
        (old_members[0], *(f'vm{number}' for number in range(7, 14)))
    )
    for name in simulation.published[2].members[1:]:
        simulation.start(name, 3)
        for revision in (1, 2):
            simulation.adopt(name, revision)
    for name in old_members[:6]:
        simulation.adopt(name, 3)
    simulation.advance(12)
    key = simulation.new_key(age=0)
    for name in (old_members[6], 'vm8'):
        simulation.claim(name, key)
    simulation.advance(2)
    return simulation


def forget_fence_of_witness(variant: Variant) -> Simulation:
    """A witness forgets a fence while the driver's activation is incomplete.

    List 4's driver has fenced list 3, which was not active then, and can't
    reach list 2. The shared VM, a witness of lists 2 and 3, restarts and
    forgets the fence. List 3 becomes active by its vote; afterwards list 4's
    driver reaches list 2.
    """
    simulation = make_settled_fleet(variant)
    shared = simulation.published[1].witnesses(0)[0]
    return _forget_fence(simulation, shared)


def forget_fence_of_non_witness(variant: Variant) -> Simulation:
    """The same with a shared VM that is a witness of list 3 but not of 2."""
    simulation = make_settled_fleet(variant)
    placement = simulation.published[1]
    outside = set(placement.members).difference(placement.witnesses(0))
    return _forget_fence(simulation, min(outside))


def _forget_fence(simulation: Simulation, shared: str) -> Simulation:
    old_members = set(simulation.published[1].members)
    _publish_list_3(simulation, shared)
    majority = _majority_with(simulation.published[2], shared)
    minority = set(simulation.published[2].members) - majority
    simulation.publish(tuple(sorted(minority)))
    for name in sorted(minority | majority - {shared}):
        simulation.start(name, 3)
        simulation.adopt(name, 2)
    partition_vms(simulation, old_members - {shared})
    simulation.advance(12)
    partition_vms(simulation, old_members - {shared}, majority - {shared})
    for name in minority:
        simulation.adopt(name, 4)
    simulation.advance(2)
    simulation.start(shared, 2)
    partition_vms(simulation, old_members, majority - {shared})
    simulation.advance(6)
    partition_vms(simulation, old_members | majority)
    simulation.advance(12)
    first = simulation.published[2].candidates(0)[0]
    simulation.claim(first, simulation.new_key(age=0))
    simulation.advance(2)
    partition_vms(simulation, majority)
    simulation.advance(12)
    return simulation


def _publish_list_3(simulation: Simulation, shared: str) -> None:
    """Replaces all VMs but one.

    That VM is alone in its zone, so list 3 makes it a witness.
    """
    new = [f'vm{number}' for number in range(7, 20)]
    others = [name for name in new if zone_of(name) != zone_of(shared)]
    simulation.publish((shared, *others[:7]))


def _majority_with(placement: Placement, shared: str) -> set[str]:
    """Returns the first candidate and a majority of the witnesses.

    The shared VM is one of that majority.
    """
    majority = {shared, placement.candidates(0)[0]}
    for witness in placement.witnesses(0):
        if len(majority.intersection(placement.witnesses(0))) < 3:
            majority.add(witness)
    return majority
