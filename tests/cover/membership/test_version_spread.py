"""A configuration is in force in time whatever happens to the leader.

In a bench day of ecm-gateway 13 VMs, the leader among them, were cut off 0.2 s
before a configuration was published. Their followers ran requests by the
configuration before it more than two seconds later.

`JACINTHCROFT_ALL_SEEDS=1` plays 1,000 seeds, which takes a minute.
"""

import os
import random
from collections.abc import Iterator

import pytest
from jacinthcroft_decisions.membership import DEPUTY_COUNT

from tests.cover.membership.version_spread import Fault, Play, VersionSpread

# The operators' bound of two seconds, less half a second.
BOUND_SECONDS = 1.5
# Seeds by fleet size: as many as a run of the tests has time for, and all.
QUICK_SEEDS = {12: 60, 44: 16, 292: 2}
ALL_SEEDS = {12: 800, 44: 170, 292: 30}


def _plays(seeds: dict[int, int]) -> Iterator[Play]:
    for count, seed_count in seeds.items():
        for seed in range(seed_count):
            source = random.Random(f'{count} {seed}')
            yield Play(
                count,
                source.choice(list(Fault)),
                source.uniform(-2, 0.5),
                source.choice([0, 0.03]),
                seed,
                source.choice([0, 0.3]),
            )


SEEDS = ALL_SEEDS if 'JACINTHCROFT_ALL_SEEDS' in os.environ else QUICK_SEEDS


@pytest.mark.parametrize('play', list(_plays(SEEDS)), ids=str)
def test_a_version_spreads_in_time(play: Play) -> None:
    assert VersionSpread(play).run() <= BOUND_SECONDS


@pytest.mark.parametrize('count', [12, 44, 292])
def test_only_the_leader_and_its_deputies_read_in_a_calm_fleet(
    count: int,
) -> None:
    after_the_end = 10
    play = Play(count, Fault.KILL, after_the_end, loss=0, seed=1)
    spread = VersionSpread(play)
    assert spread.run() < BOUND_SECONDS
    assert len(spread.readers) == 1 + DEPUTY_COUNT
