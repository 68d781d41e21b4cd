"""Scripted disturbances, each the reason for one safeguard."""

import random
from collections.abc import Iterable

from tests.cover.coordination.shard_simulation import (
    Faults,
    Simulation,
    Variant,
    new_fleet,
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
