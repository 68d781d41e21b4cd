"""A seeded driver that does everything at once to a simulated fleet."""

import itertools
import random
from collections.abc import Callable

from attrs import define

from tests.cover.coordination.shard_simulation import (
    STEP_SECONDS,
    Faults,
    Simulation,
)

POOL = tuple(f'vm{number}' for number in range(14))
LOSSES = (0.02, 0.1, 0.35)
USUAL_WEIGHTS = (3, 6, 2, 0.5, 0.5, 0.5, 1.5, 0.5, 1, 1.5)


@define
class Chaos:
    """Chooses one disturbance at a time, by its own random source.

    Each seed has its own taste: how often it chooses which disturbance, how
    bad its network is and how many VMs change at once. So some seeds reach
    states that an even mixture would hardly ever reach.
    """

    simulation: Simulation
    rng: random.Random
    changes_at_once: int = 1
    weights: tuple[float, ...] = ()

    def __attrs_post_init__(self) -> None:
        """Chooses the seed's taste."""
        rng = self.rng
        self.changes_at_once = rng.choice((1, 2, 4))
        self.weights = tuple(
            usual * rng.choice((0.2, 1, 3)) for usual in USUAL_WEIGHTS
        )
        self.simulation.faults = Faults(loss=rng.choice(LOSSES))

    @property
    def _choices(self) -> list[Callable[[], None]]:
        return [
            self.claim,
            self.resend,
            self.adopt,
            self.publish,
            self.partition,
            self.cut_links,
            self.heal,
            self.pause,
            self.restart,
            self.rest,
        ]

    def step(self) -> None:
        """Disturbs the fleet once and lets some time pass."""
        self.rng.choices(self._choices, self.weights)[0]()
        self.simulation.advance(STEP_SECONDS * self.rng.randint(0, 8))

    def claim(self) -> None:
        """Two callers at once send the same new key to different VMs."""
        key = self.simulation.new_key()
        self._claim_at_some(key)

    def resend(self) -> None:
        if self.simulation.keys:
            self._claim_at_some(self.rng.choice(self.simulation.keys[-12:]))

    def publish(self) -> None:
        simulation = self.simulation
        names = set(simulation.published[-1].members)
        outside = sorted(set(POOL) - names)
        count = min(self.changes_at_once, len(outside))
        names.difference_update(self.rng.sample(sorted(names), count))
        names.update(self.rng.sample(outside, count))
        simulation.publish(tuple(sorted(names)))
        for name in names:
            if name not in simulation.processes:
                simulation.start(name, len(simulation.published))

    def adopt(self) -> None:
        """Some VMs see some list, perhaps not the newest."""
        last = len(self.simulation.published)
        revision = self.rng.randint(max(1, last - 2), last)
        for name in self._some(self.rng.randint(1, 6)):
            self.simulation.adopt(name, revision)

    def partition(self) -> None:
        """Cuts some VMs off, in one direction or in both."""
        inside = set(self._some(self.rng.randint(1, 4)))
        outside = set(self.simulation.processes) - inside
        ways = self.rng.choice(('in', 'out', 'both'))
        for near, far in itertools.product(inside, outside):
            if ways != 'in':
                self.simulation.blocked.add((near, far))
            if ways != 'out':
                self.simulation.blocked.add((far, near))

    def cut_links(self) -> None:
        """Cuts single links, each in one direction."""
        names = sorted(self.simulation.processes)
        share = self.rng.choice((0.1, 0.3, 0.5))
        for link in itertools.permutations(names, 2):
            if self.rng.random() < share:
                self.simulation.blocked.add(link)

    def heal(self) -> None:
        self.simulation.blocked.clear()

    def pause(self) -> None:
        for name in self._some(1):
            self.simulation.pause(name, self.rng.uniform(0.2, 9))

    def restart(self) -> None:
        """Restarts one VM, once all others have their memory back."""
        simulation = self.simulation
        witnesses = simulation.published[-1].witnesses(0)
        if any(simulation.is_forgetful(name) for name in POOL):
            return
        name = self.rng.choice(witnesses)
        known = sorted(simulation.processes[name].lists)
        simulation.start(name, self.rng.choice(known[-3:]))

    def rest(self) -> None:
        """A calm time, in which the fleet can get on."""
        self.heal()
        last = len(self.simulation.published)
        for name in self.simulation.processes:
            self.simulation.adopt(name, last)
        self.simulation.advance(self.rng.uniform(1, 8))

    def _some(self, count: int) -> list[str]:
        return self.rng.sample(sorted(self.simulation.processes), count)

    def _claim_at_some(self, key: str) -> None:
        for name in self._some(self.rng.randint(1, 3)):
            self.simulation.claim(name, key)


def run_chaos(simulation: Simulation, seed: int, steps: int) -> None:
    """Disturbs the fleet `steps` times.

    Raises:
        Violation: something that must always hold did not.
    """
    simulation.advance(10)
    chaos = Chaos(simulation, random.Random(seed))
    for _ in range(steps):
        chaos.step()
