"""What must always hold, under everything that may fail, and proof of power.

The simulation raises `Violation` by itself; a test passes when it doesn't.
"""

import itertools
import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from tests.cover.coordination.broken_variants import BROKEN
from tests.cover.coordination.shard_chaos import Chaos, run_chaos
from tests.cover.coordination.shard_scenarios import (
    NO_FAULTS,
    FixedRandom,
    forget_claims,
    forget_fence_of_non_witness,
    forget_fence_of_witness,
    isolate_vms,
    make_settled_fleet,
    replace_fleet,
)
from tests.cover.coordination.shard_simulation import (
    Simulation,
    Variant,
    Violation,
    new_fleet,
)

NAMES = tuple(f'vm{number}' for number in range(6))
PAIRS = tuple(itertools.combinations(NAMES, 2))
SCRIPTS = {
    'no fence': replace_fleet,
    'no abstention': forget_claims,
    'no common round': forget_fence_of_witness,
    'no common round, seen from outside': forget_fence_of_non_witness,
    'no vouching': forget_claims,
}


@pytest.mark.parametrize('seed', range(6))
def test_no_key_runs_twice_and_no_shard_has_two_holders(seed: int) -> None:
    run_chaos(new_fleet(seed), seed, action_count=200)


@pytest.mark.parametrize('seed', range(6, 10))
def test_the_fleet_serves_again_once_the_faults_end(seed: int) -> None:
    simulation = new_fleet(seed)
    run_chaos(simulation, seed, action_count=200)
    simulation.faults = NO_FAULTS
    simulation.rng = FixedRandom(seed)
    simulation.heal_and_adopt_newest()
    simulation.advance(15)
    assert len(simulation.holders()) == 1
    key = simulation.new_key(age=0)
    simulation.claim(simulation.published[-1].members[0], key)
    simulation.advance(1)
    assert key in simulation.runs


@pytest.mark.parametrize('script', SCRIPTS.values())
def test_the_scripted_faults_do_no_harm(script: object) -> None:
    assert callable(script)
    simulation = script(Variant())
    assert [len(runs) for runs in simulation.runs.values()] == [1]


@pytest.mark.parametrize('name', SCRIPTS)
def test_a_scripted_fault_shows_what_a_safeguard_is_for(name: str) -> None:
    with pytest.raises(Violation):
        SCRIPTS[name](BROKEN[name])


@pytest.mark.parametrize('name', ['no lease majority', 'no claim majority'])
def test_the_seeded_driver_catches_a_missing_majority(name: str) -> None:
    with pytest.raises(Violation):
        _run_seeds(BROKEN[name], seeds=20)


def test_a_calm_fleet_grants_claims_and_has_a_holder() -> None:
    simulation = make_settled_fleet(Variant())
    first = simulation.published[1].candidates(0)[0]
    assert simulation.holders() == [first]
    simulation.claim(first, simulation.new_key(age=0))
    simulation.advance(1)
    assert len(simulation.runs) == 1


def test_another_candidate_takes_over_from_a_paused_holder() -> None:
    simulation = make_settled_fleet(Variant())
    first, second = simulation.published[1].candidates(0)[:2]
    simulation.pause(first, 60)
    simulation.advance(12)
    assert simulation.holders() == [second]


def test_a_drained_holder_is_replaced_without_waiting_for_its_lease() -> None:
    simulation = make_settled_fleet(Variant())
    names = simulation.published[1].members
    first = simulation.published[1].candidates(0)[0]
    simulation.drain(first)
    simulation.publish(tuple(name for name in names if name != first))
    for name in names:
        simulation.adopt(name, 3)
    simulation.advance(2)
    assert simulation.holders() == [simulation.published[2].candidates(0)[0]]


@pytest.mark.parametrize('removed', NAMES)
@pytest.mark.parametrize('cut_off', PAIRS)
def test_a_bare_majority_puts_a_new_list_in_force(
    cut_off: tuple[str, str],
    removed: str,
) -> None:
    """Two of five VMs are cut off: too few are left to read back from.

    A third one may be a witness of the new list only.
    """
    simulation = new_fleet(1, count=len(NAMES), faults=NO_FAULTS)
    simulation.rng = FixedRandom(1)
    simulation.advance(12)
    isolate_vms(simulation, cut_off)
    left = [name for name in NAMES if name not in cut_off]
    simulation.publish(tuple(name for name in NAMES if name != removed))
    for name in left:
        simulation.adopt(name, 2)
    simulation.advance(15)
    assert len(simulation.holders()) == 1
    assert set(left).difference((removed,)).issuperset(simulation.holders())
    key = simulation.new_key(age=0)
    simulation.claim(left[0], key)
    simulation.advance(1)
    assert key in simulation.runs


def _run_seeds(variant: Variant, seeds: int) -> None:
    for seed in range(seeds):
        run_chaos(new_fleet(seed, variant=variant), seed, action_count=200)


class FleetMachine(RuleBasedStateMachine):
    """Hypothesis in the place of the seeded driver's choices."""

    def __init__(self) -> None:
        """Starts with a fleet that serves."""
        super().__init__()
        self.simulation: Simulation = new_fleet(5)
        self.simulation.advance(10)
        self.chaos = Chaos(self.simulation, random.Random(5))

    @rule(steps=st.integers(1, 40))
    def let_time_pass(self, steps: int) -> None:
        self.simulation.advance(steps / 10)

    @rule(is_new=st.booleans(), seed=st.integers(0, 99))
    def send(self, is_new: bool, seed: int) -> None:
        self.chaos.rng.seed(seed)
        if is_new:
            self.chaos.claim_new_key()
        else:
            self.chaos.resend_recent_key()

    @rule(is_published=st.booleans(), seed=st.integers(0, 99))
    def change_the_list(self, is_published: bool, seed: int) -> None:
        self.chaos.rng.seed(seed)
        if is_published:
            self.chaos.publish_changed_list()
        self.chaos.adopt_recent_list()

    @rule(is_cut=st.booleans(), seed=st.integers(0, 99))
    def change_the_network(self, is_cut: bool, seed: int) -> None:
        self.chaos.rng.seed(seed)
        if is_cut:
            self.chaos.cut_links()
        else:
            self.chaos.heal_network()

    @rule(is_restart=st.booleans(), seed=st.integers(0, 99))
    def stop_a_vm(self, is_restart: bool, seed: int) -> None:
        self.chaos.rng.seed(seed)
        if is_restart:
            self.chaos.restart_witness()
        else:
            self.chaos.pause_vm()

    @rule()
    def rest(self) -> None:
        self.chaos.let_fleet_recover()


FleetMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=25,
    stateful_step_count=30,
    deadline=None,
)
TestFleet = FleetMachine.TestCase
