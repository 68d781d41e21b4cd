"""Requests inside their team's rate are hardly ever refused for it.

Simulates pools and their issuer with message times, Poisson arrivals and
the patience of a request that finds no token. What is refused is compared
with one full bucket for all VMs, which no sharing of a limit can beat.
"""

import itertools
import sched
from collections.abc import Sequence
from random import Random

import pytest
from jacinthcroft_config import Team
from jacinthcroft_decisions.internal.traffic.bucket_limits import (
    SHORT_LIFETIME_SECONDS,
    BucketLimits,
)
from jacinthcroft_decisions.traffic import TokenIssuer, TokenPool, TokenRequest

from tests.cover.traffic.builders import make_team

# docs/DESIGN.md: what sharing a limit may cost, in points over one bucket.
ALLOWED_POINTS = 1.0
INSIDE_SHARE = 0.8
REQUESTS = 2000
TRIP_SECONDS = 0.002
PATIENCE_SECONDS = 0.25
LEASE_SECONDS = 3.0
BEGIN = 60.0
SEEDS = (1, 2, 3)


class Clock:
    """Simulated time."""

    def __init__(self) -> None:
        """Starts when every issuer is full."""
        self.now = BEGIN

    def read(self) -> float:
        return self.now

    def wait(self, seconds: float) -> None:
        self.now += seconds


class TokenFleet:
    """VMs that spend one team's tokens, with one holder that issues them."""

    def __init__(self, team: Team, vms: int) -> None:
        """Starts with a full issuer and empty pools."""
        self.clock = Clock()
        self.schedule = sched.scheduler(self.clock.read, self.clock.wait)
        self.issuer = TokenIssuer.from_config(team, held_since=0)
        self.vms = [SimulatedVm(self, f'vm{number}') for number in range(vms)]
        self.refused = 0

    @property
    def now(self) -> float:
        return self.clock.now

    def run(self, arrivals: Sequence[float], chosen: Sequence[int]) -> float:
        """Returns the percentage of requests that were refused."""
        for at, vm in zip(arrivals, chosen, strict=True):
            self.schedule.enterabs(at, 1, self.vms[vm].arrive)
        self.schedule.run()
        return 100 * self.refused / len(arrivals)


class SimulatedVm:
    """One VM's pool, with at most one question under way."""

    def __init__(self, fleet: TokenFleet, name: str) -> None:
        """Starts with nothing asked for."""
        self.fleet = fleet
        self.name = name
        self.pool = TokenPool()
        self.waiting: list[float] = []
        self.is_asking = False

    def arrive(self) -> None:
        now = self.fleet.now
        self.pool.record_demand(now)
        self.waiting.append(now + PATIENCE_SECONDS)
        self.serve()

    def serve(self) -> None:
        while (
            self.waiting and self.pool.spend_token(self.fleet.now) is not None
        ):
            self.waiting.pop(0)
        self.ask()

    def ask(self) -> None:
        now = self.fleet.now
        ask = (
            None
            if self.is_asking
            else self.pool.build_request('', self.name, now)
        )
        if ask is not None:
            self.is_asking = True
            self.fleet.schedule.enter(TRIP_SECONDS, 1, self.reach, (ask, now))

    def reach(self, ask: TokenRequest, asked_at: float) -> None:
        now = self.fleet.now
        grant = self.fleet.issuer.grant_tokens(ask, now, now + LEASE_SECONDS)
        if grant.tokens:
            answer = (grant, asked_at, now + TRIP_SECONDS)
            self.fleet.schedule.enter(
                TRIP_SECONDS, 1, self.pool.add_grant, answer
            )
        pause = TRIP_SECONDS + grant.retry_after
        self.fleet.schedule.enter(pause, 2, self.resume)

    def resume(self) -> None:
        self.is_asking = False
        now = self.fleet.now
        while self.waiting and self.waiting[0] < now:
            self.waiting.pop(0)
            self.fleet.refused += 1
        if self.waiting:
            self.serve()


def draw_arrivals(rate: float, random: Random) -> list[float]:
    steps = (random.expovariate(rate) for _ in range(REQUESTS))
    return list(itertools.accumulate(steps, initial=BEGIN))[1:]


def refused_by_one_bucket(arrivals: Sequence[float], team: Team) -> float:
    level = float(team.burst)
    refused = 0
    previous = arrivals[0]
    for at in arrivals:
        level = min(team.burst, level + team.rate * (at - previous))
        previous = at
        if level < 1:
            refused += 1
        else:
            level -= 1
    return 100 * refused / len(arrivals)


def excess_points(team: Team, vms: int, weights: Sequence[float]) -> float:
    """Returns by how much the fleet refuses more than one bucket would."""
    excess = 0.0
    for seed in SEEDS:
        random = Random(seed)
        arrivals = draw_arrivals(INSIDE_SHARE * team.rate, random)
        chosen = random.choices(range(vms), weights, k=REQUESTS)
        refused = TokenFleet(team, vms).run(arrivals, chosen)
        excess += refused - refused_by_one_bucket(arrivals, team)
    return excess / len(SEEDS)


@pytest.mark.parametrize('vms', [6, 48])
@pytest.mark.parametrize('first_weight', [1, 11])
@pytest.mark.parametrize(
    ('rate', 'burst'),
    [(0.5, 2), (2, 4), (5, 10), (10, 10), (40, 40), (50, 100)],
)
def test_sharing_a_limit_costs_hardly_any_request(
    rate: float,
    burst: int,
    first_weight: float,
    vms: int,
) -> None:
    """Callers are spread evenly, or most of them come to one VM."""
    rest = 5 / (vms - 1) if first_weight > 1 else 1
    weights = [first_weight, *(rest for _ in range(vms - 1))]
    excess = excess_points(make_team(rate, burst), vms, weights)
    assert excess <= ALLOWED_POINTS


@pytest.mark.parametrize('rate', [0.5, 2, 5])
@pytest.mark.parametrize('burst', [4, 10, 16])
def test_a_small_burst_is_held_back_only_in_part(
    rate: float,
    burst: int,
) -> None:
    limits = BucketLimits.from_config(make_team(rate, burst))
    held_back = rate * SHORT_LIFETIME_SECONDS
    assert limits.capacity == pytest.approx(burst - held_back)
    assert limits.refill_rate == rate
