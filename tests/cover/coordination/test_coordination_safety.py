"""The safety of coordination under random and scripted faults.

The simulation raises `Violation` when an invariant does not hold, so a test
passes if it does not raise. Variants without a safeguard must raise it, which
shows that the simulation detects a missing safeguard.
"""

import itertools
import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from tests.cover.coordination.broken_variants import BROKEN_VARIANTS
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
VM_PAIRS = tuple(itertools.combinations(NAMES, 2))
SCENARIO_BY_SAFEGUARD = {
    'no fence': replace_fleet,
    'no abstention': forget_claims,
    'no common round': forget_fence_of_witness,
    'no common round, fence of a non-witness': forget_fence_of_non_witness,
    'no vouch limit': forget_claims,
}


@pytest.mark.parametrize('seed', range(6))
def test_no_key_runs_twice_and_no_shard_has_two_holders(seed: int) -> None:
    run_chaos(new_fleet(seed), seed, action_count=200)


@pytest.mark.parametrize('seed', range(6, 10))
def test_the_fleet_recovers_once_the_faults_end(seed: int) -> None:
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


@pytest.mark.parametrize('scenario', SCENARIO_BY_SAFEGUARD.values())
def test_scripted_faults_break_no_invariant(scenario: object) -> None:
    assert callable(scenario)
    simulation = scenario(Variant())
    assert [len(runs) for runs in simulation.runs.values()] == [1]


@pytest.mark.parametrize('name', SCENARIO_BY_SAFEGUARD)
def test_a_scripted_fault_breaks_an_invariant_without_its_safeguard(
    name: str,
) -> None:
    with pytest.raises(Violation):
        SCENARIO_BY_SAFEGUARD[name](BROKEN_VARIANTS[name])


@pytest.mark.parametrize('name', ['no lease majority', 'no claim majority'])
def test_random_faults_break_an_invariant_without_a_majority(
    name: str,
) -> None:
    with pytest.raises(Violation):
        _run_seeds(BROKEN_VARIANTS[name], seed_count=20)


def test_a_fleet_without_faults_grants_claims_and_has_a_holder() -> None:
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
@pytest.mark.parametrize('cut_off', VM_PAIRS)
def test_a_bare_majority_activates_a_new_list(
    cut_off: tuple[str, str],
    removed: str,
) -> None:
    """Two of five VMs are cut off: too few remain to read a state back from.

    A third VM may be a witness of the new list only.
    """
    simulation = new_fleet(1, count=len(NAMES), faults=NO_FAULTS)
    simulation.rng = FixedRandom(1)
    simulation.advance(12)
    isolate_vms(simulation, cut_off)
    reachable = [name for name in NAMES if name not in cut_off]
    simulation.publish(tuple(name for name in NAMES if name != removed))
    for name in reachable:
        simulation.adopt(name, 2)
    simulation.advance(15)
    assert len(simulation.holders()) == 1
    assert (
        set(reachable).difference((removed,)).issuperset(simulation.holders())
    )
    key = simulation.new_key(age=0)
    simulation.claim(reachable[0], key)
    simulation.advance(1)
    assert key in simulation.runs


def _run_seeds(variant: Variant, seed_count: int) -> None:
    for seed in range(seed_count):
        run_chaos(new_fleet(seed, variant=variant), seed, action_count=200)


class FleetMachine(RuleBasedStateMachine):
    """The random actions of `Chaos`, chosen by Hypothesis."""

    def __init__(self) -> None:
        """Starts with a fleet that has settled."""
        super().__init__()
        self.simulation: Simulation = new_fleet(5)
        self.simulation.advance(10)
        self.chaos = Chaos(self.simulation, random.Random(5))

    @rule(steps=st.integers(1, 40))
    def let_time_pass(self, steps: int) -> None:
        self.simulation.advance(steps / 10)

    @rule(is_new=st.booleans(), seed=st.integers(0, 99))
    def send_key(self, is_new: bool, seed: int) -> None:
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
    def let_fleet_recover(self) -> None:
        self.chaos.let_fleet_recover()


FleetMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=25,
    stateful_step_count=30,
    deadline=None,
)
TestFleet = FleetMachine.TestCase
