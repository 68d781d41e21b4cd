"""Scripted disturbances, each the reason for one safeguard."""

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

CALM = Faults(loss=0, duplication=0, slow=0)


def settled_fleet(variant: Variant) -> Simulation:
    """Returns a fleet that has activated list 2 and lost no message."""
    simulation = new_fleet(1, faults=CALM, variant=variant)
    simulation.rng = AlwaysRun(1)
    simulation.advance(12)
    simulation.publish(simulation.published[0].members)
    for name in simulation.published[1].members:
        simulation.adopt(name, 2)
    simulation.advance(8)
    return simulation


class AlwaysRun(random.Random):
    """Makes a claimer run whatever it was granted."""

    def random(self) -> float:
        return 0.5


def isolate(simulation: Simulation, names: Iterable[str]) -> None:
    """Cuts VMs off from all others, in both directions."""
    for name in names:
        for other in simulation.processes:
            simulation.blocked |= {(name, other), (other, name)}


def part(simulation: Simulation, *groups: Iterable[str]) -> None:
    """Cuts the VMs of each group off from all that are not in it."""
    simulation.blocked.clear()
    for group in map(set, groups):
        for name in group:
            for other in set(simulation.processes) - group:
                simulation.blocked |= {(name, other), (other, name)}


def forget_claims(variant: Variant) -> Simulation:
    """Most witnesses of a run key restart, and the key is sent again."""
    simulation = settled_fleet(variant)
    witnesses = simulation.published[1].witnesses(0)
    key = simulation.new_key(age=0)
    isolate(simulation, witnesses[3:])
    simulation.claim(witnesses[0], key)
    simulation.advance(2)
    for name in witnesses[:3]:
        simulation.start(name, 2)
    simulation.blocked.clear()
    simulation.advance(12)
    simulation.claim(witnesses[4], key)
    simulation.advance(2)
    return simulation


def replace_fleet(variant: Variant) -> Simulation:
    """Most VMs change with the list, and some have not seen the new one."""
    simulation = settled_fleet(variant)
    old = simulation.published[1].members
    simulation.publish((old[0], *(f'vm{at}' for at in range(7, 14))))
    for name in simulation.published[2].members[1:]:
        simulation.start(name, 3)
        for revision in (1, 2):
            simulation.adopt(name, revision)
    for name in old[:6]:
        simulation.adopt(name, 3)
    simulation.advance(12)
    key = simulation.new_key(age=0)
    for name in (old[6], 'vm8'):
        simulation.claim(name, key)
    simulation.advance(2)
    return simulation


def forget_a_fence(variant: Variant) -> Simulation:
    """A driver is stuck half-way, and a witness forgets what it had told it.

    List 4's driver has fenced list 3, which was not in force then, and can't
    reach list 2. List 3 comes in force by the vote of a witness that has
    restarted since; afterwards list 4's driver reaches list 2.
    """
    simulation = settled_fleet(variant)
    shared = simulation.published[1].witnesses(0)[0]
    return _forget_a_fence(simulation, shared)


def forget_a_fence_outside(variant: Variant) -> Simulation:
    """The same with a VM that is no witness of list 2, but of list 3."""
    simulation = settled_fleet(variant)
    placement = simulation.published[1]
    outside = set(placement.members).difference(placement.witnesses(0))
    return _forget_a_fence(simulation, min(outside))


def _forget_a_fence(simulation: Simulation, shared: str) -> Simulation:
    old = set(simulation.published[1].members)
    _publish_list_3(simulation, shared)
    near = _near_side(simulation.published[2], shared)
    far = set(simulation.published[2].members) - near
    simulation.publish(tuple(sorted(far)))
    for name in sorted(far | near - {shared}):
        simulation.start(name, 3)
        simulation.adopt(name, 2)
    part(simulation, old - {shared})
    simulation.advance(12)
    part(simulation, old - {shared}, near - {shared})
    for name in far:
        simulation.adopt(name, 4)
    simulation.advance(2)
    simulation.start(shared, 2)
    part(simulation, old, near - {shared})
    simulation.advance(6)
    part(simulation, old | near)
    simulation.advance(12)
    first = simulation.published[2].candidates(0)[0]
    simulation.claim(first, simulation.new_key(age=0))
    simulation.advance(2)
    part(simulation, near)
    simulation.advance(12)
    return simulation


def _publish_list_3(simulation: Simulation, shared: str) -> None:
    """Replaces all VMs but one, which is alone in its zone: a witness."""
    new = [f'vm{number}' for number in range(7, 20)]
    others = [name for name in new if zone_of(name) != zone_of(shared)]
    simulation.publish((shared, *others[:7]))


def _near_side(placement: Placement, shared: str) -> set[str]:
    """Returns the first candidate and a majority of witnesses with one VM."""
    near = {shared, placement.candidates(0)[0]}
    for witness in placement.witnesses(0):
        if len(near.intersection(placement.witnesses(0))) < 3:
            near.add(witness)
    return near
