"""Random faults, list changes and requests in a simulated fleet."""

import itertools
import random
from collections.abc import Callable

from attrs import define

from tests.cover.coordination.shard_simulation import (
    STEP_SECONDS,
    Faults,
    Simulation,
)

VM_NAMES = tuple(f'vm{number}' for number in range(14))
LOSS_SHARES = (0.02, 0.1, 0.35)
ACTION_WEIGHTS = (3, 6, 2, 0.5, 0.5, 0.5, 1.5, 0.5, 1, 1.5)


@define
class Chaos:
    """Applies one random action at a time, from its own random source.

    Each seed also chooses how often each action occurs, how many messages
    the network loses and how many VMs a new list replaces. So some seeds
    reach states that evenly mixed actions would hardly ever reach.
    """

    simulation: Simulation
    rng: random.Random
    vms_replaced_at_once: int = 1
    weights: tuple[float, ...] = ()

    def __attrs_post_init__(self) -> None:
        """Chooses the seed's weights and faults."""
        rng = self.rng
        self.vms_replaced_at_once = rng.choice((1, 2, 4))
        self.weights = tuple(
            base * rng.choice((0.2, 1, 3)) for base in ACTION_WEIGHTS
        )
        self.simulation.faults = Faults(loss=rng.choice(LOSS_SHARES))

    @property
    def _actions(self) -> list[Callable[[], None]]:
        return [
            self.claim_new_key,
            self.resend_recent_key,
            self.adopt_recent_list,
            self.publish_changed_list,
            self.isolate_vms,
            self.cut_links,
            self.heal_network,
            self.pause_vm,
            self.restart_witness,
            self.let_fleet_recover,
        ]

    def apply_action(self) -> None:
        """Applies one action and lets some time pass."""
        self.rng.choices(self._actions, self.weights)[0]()
        self.simulation.advance(STEP_SECONDS * self.rng.randint(0, 8))

    def claim_new_key(self) -> None:
        """Sends a new key to up to three VMs at once."""
        key = self.simulation.new_key()
        self._claim_at_some_vms(key)

    def resend_recent_key(self) -> None:
        if self.simulation.keys:
            self._claim_at_some_vms(self.rng.choice(self.simulation.keys[-12:]))

    def publish_changed_list(self) -> None:
        simulation = self.simulation
        names = set(simulation.published[-1].members)
        unlisted = sorted(set(VM_NAMES) - names)
        count = min(self.vms_replaced_at_once, len(unlisted))
        names.difference_update(self.rng.sample(sorted(names), count))
        names.update(self.rng.sample(unlisted, count))
        simulation.publish(tuple(sorted(names)))
        for name in names:
            if name not in simulation.processes:
                simulation.start(name, len(simulation.published))

    def adopt_recent_list(self) -> None:
        """Lets some VMs adopt one of the last three lists."""
        last = len(self.simulation.published)
        revision = self.rng.randint(max(1, last - 2), last)
        for name in self._sample_vms(self.rng.randint(1, 6)):
            self.simulation.adopt(name, revision)

    def isolate_vms(self) -> None:
        """Cuts some VMs off from the others, in one or both directions."""
        isolated_vms = set(self._sample_vms(self.rng.randint(1, 4)))
        other_vms = set(self.simulation.processes) - isolated_vms
        direction = self.rng.choice(('in', 'out', 'both'))
        for isolated, other in itertools.product(isolated_vms, other_vms):
            if direction != 'in':
                self.simulation.blocked_links.add((isolated, other))
            if direction != 'out':
                self.simulation.blocked_links.add((other, isolated))

    def cut_links(self) -> None:
        """Cuts a random share of the links, each in one direction."""
        names = sorted(self.simulation.processes)
        share = self.rng.choice((0.1, 0.3, 0.5))
        for link in itertools.permutations(names, 2):
            if self.rng.random() < share:
                self.simulation.blocked_links.add(link)

    def heal_network(self) -> None:
        self.simulation.blocked_links.clear()

    def pause_vm(self) -> None:
        for name in self._sample_vms(1):
            self.simulation.pause(name, self.rng.uniform(0.2, 9))

    def restart_witness(self) -> None:
        """Restarts one witness, unless a VM still reads its state back."""
        simulation = self.simulation
        witnesses = simulation.published[-1].witnesses(0)
        if any(simulation.is_reading_back(name) for name in VM_NAMES):
            return
        name = self.rng.choice(witnesses)
        known = sorted(simulation.processes[name].lists)
        simulation.start(name, self.rng.choice(known[-3:]))

    def let_fleet_recover(self) -> None:
        """Ends all partitions and lets some time pass."""
        self.simulation.heal_and_adopt_newest()
        self.simulation.advance(self.rng.uniform(1, 8))

    def _sample_vms(self, count: int) -> list[str]:
        return self.rng.sample(sorted(self.simulation.processes), count)

    def _claim_at_some_vms(self, key: str) -> None:
        for name in self._sample_vms(self.rng.randint(1, 3)):
            self.simulation.claim(name, key)


def run_chaos(simulation: Simulation, seed: int, action_count: int) -> None:
    """Applies `action_count` random actions to a fleet that has settled.

    Raises:
        Violation: an invariant did not hold.
    """
    simulation.advance(10)
    chaos = Chaos(simulation, random.Random(seed))
    for _ in range(action_count):
        chaos.apply_action()
