"""Requests within their team's rate are rarely refused for lack of a token.

Simulates token pools and their issuer with message delays, Poisson arrivals
and requests that wait a limited time for a token. The share of refused
requests is compared with that of one bucket for all VMs, which is the best
that any way of sharing the limit can reach.
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

# By how many percentage points sharing a limit may raise the share of refused
# requests above that of one bucket; docs/DESIGN.md states it.
ALLOWED_EXCESS_POINTS = 1.0
LOAD_SHARE_OF_RATE = 0.8
REQUEST_COUNT = 2000
TRIP_SECONDS = 0.002
PATIENCE_SECONDS = 0.25
LEASE_SECONDS = 3.0
BEGIN_SECONDS = 60.0
SEEDS = (1, 2, 3)


class SimulatedClock:
    """Simulated time in seconds."""

    def __init__(self) -> None:
        """Starts at a time at which the bucket of a new issuer is full."""
        self.now = BEGIN_SECONDS

    def read(self) -> float:
        return self.now

    def wait(self, seconds: float) -> None:
        self.now += seconds


class TokenFleet:
    """The VMs that spend one team's tokens, and the holder that issues them."""

    def __init__(self, team: Team, vms: int) -> None:
        """Starts with a full bucket and empty pools."""
        self.clock = SimulatedClock()
        self.schedule = sched.scheduler(self.clock.read, self.clock.wait)
        self.issuer = TokenIssuer.from_config(team, held_since=0)
        self.vms = [SimulatedVm(self, f'vm{number}') for number in range(vms)]
        self.refused = 0

    @property
    def now(self) -> float:
        return self.clock.now

    def run(
        self,
        arrivals: Sequence[float],
        vm_numbers: Sequence[int],
    ) -> float:
        """Runs one request per arrival; returns the percentage refused."""
        for at, vm in zip(arrivals, vm_numbers, strict=True):
            self.schedule.enterabs(at, 1, self.vms[vm].receive_request)
        self.schedule.run()
        return 100 * self.refused / len(arrivals)


class SimulatedVm:
    """One VM's token pool, with at most one token request in flight."""

    def __init__(self, fleet: TokenFleet, name: str) -> None:
        """Starts without a token request in flight."""
        self.fleet = fleet
        self.name = name
        self.pool = TokenPool()
        self.waiting: list[float] = []
        self.has_request_in_flight = False

    def receive_request(self) -> None:
        now = self.fleet.now
        self.pool.record_demand(now)
        self.waiting.append(now + PATIENCE_SECONDS)
        self.serve_waiting()

    def serve_waiting(self) -> None:
        while (
            self.waiting and self.pool.spend_token(self.fleet.now) is not None
        ):
            self.waiting.pop(0)
        self.request_tokens()

    def request_tokens(self) -> None:
        now = self.fleet.now
        token_request = (
            None
            if self.has_request_in_flight
            else self.pool.build_request('', self.name, now)
        )
        if token_request is not None:
            self.has_request_in_flight = True
            self.fleet.schedule.enter(
                TRIP_SECONDS, 1, self.deliver_request, (token_request, now)
            )

    def deliver_request(
        self, token_request: TokenRequest, asked_at: float
    ) -> None:
        now = self.fleet.now
        grant = self.fleet.issuer.grant_tokens(
            token_request, now, now + LEASE_SECONDS
        )
        if grant.tokens:
            reply = (grant, asked_at, now + TRIP_SECONDS)
            self.fleet.schedule.enter(
                TRIP_SECONDS, 1, self.pool.add_grant, reply
            )
        pause = TRIP_SECONDS + grant.retry_after
        self.fleet.schedule.enter(pause, 2, self.end_pause)

    def end_pause(self) -> None:
        self.has_request_in_flight = False
        now = self.fleet.now
        while self.waiting and self.waiting[0] < now:
            self.waiting.pop(0)
            self.fleet.refused += 1
        if self.waiting:
            self.serve_waiting()


def draw_arrivals(rate: float, random: Random) -> list[float]:
    steps = (random.expovariate(rate) for _ in range(REQUEST_COUNT))
    return list(itertools.accumulate(steps, initial=BEGIN_SECONDS))[1:]


def measure_one_bucket(arrivals: Sequence[float], team: Team) -> float:
    """Returns the percentage of requests that one bucket refuses."""
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


def measure_excess_points(
    team: Team, vms: int, weights: Sequence[float]
) -> float:
    """Returns the difference to one bucket, in percentage points."""
    excess = 0.0
    for seed in SEEDS:
        random = Random(seed)
        arrivals = draw_arrivals(LOAD_SHARE_OF_RATE * team.rate, random)
        vm_numbers = random.choices(range(vms), weights, k=REQUEST_COUNT)
        refused = TokenFleet(team, vms).run(arrivals, vm_numbers)
        excess += refused - measure_one_bucket(arrivals, team)
    return excess / len(SEEDS)


@pytest.mark.parametrize('vms', [6, 48])
@pytest.mark.parametrize('first_weight', [1, 11])
@pytest.mark.parametrize(
    ('rate', 'burst'),
    [(0.5, 2), (2, 4), (5, 10), (10, 10), (40, 40), (50, 100)],
)
def test_sharing_a_limit_refuses_hardly_any_more_requests(
    rate: float,
    burst: int,
    first_weight: float,
    vms: int,
) -> None:
    """Requests are spread evenly, or most of them arrive at one VM."""
    rest = 5 / (vms - 1) if first_weight > 1 else 1
    weights = [first_weight, *(rest for _ in range(vms - 1))]
    excess = measure_excess_points(make_team(rate, burst), vms, weights)
    assert excess <= ALLOWED_EXCESS_POINTS


@pytest.mark.parametrize('rate', [0.5, 2, 5])
@pytest.mark.parametrize('burst', [4, 10, 16])
def test_a_small_burst_is_reduced_only_by_a_short_lifetime(
    rate: float,
    burst: int,
) -> None:
    limits = BucketLimits.from_config(make_team(rate, burst))
    reduction = rate * SHORT_LIFETIME_SECONDS
    assert limits.capacity == pytest.approx(burst - reduction)
    assert limits.refill_rate == rate
