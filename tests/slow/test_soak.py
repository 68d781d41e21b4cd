"""A short soak of the real programs with fixed seeds.

`python -m tests.soak` plays more and longer ones by hand.
"""

import asyncio
import pathlib

import pytest

from tests.soak.run import SoakPlan, play

SEEDS = (
    1,
    2,
    # Two series of faults ended the same VM at once: a fault of the soak.
    15,
)


@pytest.mark.parametrize('seed', SEEDS)
def test_promises_hold_under_faults_in_overlapping_series(
    seed: int,
    tmp_path: pathlib.Path,
) -> None:
    result = asyncio.run(play(SoakPlan(seed, seconds=10), tmp_path))
    assert not result.broken
    assert result.statuses.get(200)
