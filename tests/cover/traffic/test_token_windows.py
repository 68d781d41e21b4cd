"""A team never spends more in any window than its rate and burst allow.

Replies are late or lost, holders change, and tokens are returned late.
"""

from random import Random
from typing import Self

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from jacinthcroft_config import Team
from jacinthcroft_decisions.internal.traffic import token_issuer
from jacinthcroft_decisions.internal.traffic.bucket_limits import (
    BucketLimits,
)
from jacinthcroft_decisions.internal.traffic.token_bucket import TokenBucket
from jacinthcroft_decisions.traffic import (
    SpentToken,
    TokenIssuer,
    TokenPool,
    TokenRequest,
)

from tests.cover.traffic.builders import make_team

LEASE_SECONDS = 3.0


def assert_windows_hold(spent: list[float], team: Team) -> None:
    """Checks every window that begins and ends with a spent token."""
    times = sorted(spent)
    for first, start in enumerate(times):
        for count, end in enumerate(times[first:], start=1):
            assert count <= team.burst + team.rate * (end - start) + 1e-6


class TokenSimulation:
    """A simulation of one team's holder and of two VMs that spend tokens."""

    def __init__(self, team: Team) -> None:
        """Starts with a full bucket and empty pools."""
        self.now = 1000.0
        self.team = team
        self.issuer = TokenIssuer.from_config(team, held_since=0)
        self.pools = [TokenPool(), TokenPool()]
        self.held: list[tuple[int, SpentToken]] = []
        self.spent: list[float] = []

    def step(self, random: Random) -> None:
        vm = random.randrange(2)
        match random.randrange(12):
            case 0 | 1 | 2:
                self.wait(random.choice((0.01, 0.3, 0.9)))
            case 3 | 4 | 5:
                self.request_tokens(
                    vm,
                    wanted=random.choice((2, 50)),
                    delivery=random.choice(('fast', 'fast', 'slow', 'lost')),
                )
            case 6 | 7 | 8:
                self.spend_tokens(random.choice((1, 200)))
            case 9:
                self.take_token(vm)
            case 10:
                self.use_or_return_held(is_used=random.choice((True, False)))
            case _:
                if not random.randrange(4):
                    self.change_holder()

    def wait(self, seconds: float) -> None:
        self.now += seconds

    def request_tokens(self, vm: int, wanted: int, delivery: str) -> None:
        pool = self.pools[vm]
        pool.record_demand(self.now)
        built = pool.build_request('team', f'vm{vm}', self.now)
        unused = built.unused if built else ()
        token_request = TokenRequest('team', f'vm{vm}', wanted, wanted, unused)
        asked_at = self.now
        self.now += 0.002
        lease_until = self.now + LEASE_SECONDS
        grant = self.issuer.grant_tokens(token_request, self.now, lease_until)
        self.now += 0.2 if delivery == 'slow' else 0
        if delivery != 'lost':
            pool.add_grant(grant, asked_at, self.now)

    def spend_tokens(self, count: int) -> None:
        for pool in self.pools:
            for _ in range(count):
                if pool.spend_token(self.now) is not None:
                    self.spent.append(self.now)

    def change_holder(self) -> None:
        self.now += LEASE_SECONDS
        self.issuer = TokenIssuer.from_config(self.team, self.now)

    def take_token(self, vm: int) -> None:
        token = self.pools[vm].spend_token(self.now)
        if token is not None:
            self.held.append((vm, token))

    def use_or_return_held(self, is_used: bool) -> None:
        for vm, token in self.held:
            if is_used and token.is_valid(self.now):
                self.spent.append(self.now)
            else:
                self.pools[vm].return_token(token)
        self.held.clear()


TEAMS = st.builds(
    make_team,
    rate=st.sampled_from((0.5, 5, 40)),
    burst=st.sampled_from((1, 2, 7, 40)),
)


# Drawing a seed reaches far more interleavings than drawing a list of steps.
@settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    phases=(Phase.generate,),
)
@given(TEAMS, st.randoms(use_true_random=True))
def check_windows(team: Team, random: Random) -> None:
    simulation = TokenSimulation(team)
    for _ in range(40):
        simulation.step(random)
    assert_windows_hold(simulation.spent, team)


def test_no_window_is_overspent() -> None:
    check_windows()


class NaiveLimits(BucketLimits):
    """Faulty: ignores that tokens are spent later than they are issued."""

    @classmethod
    def from_config(cls, team: Team) -> Self:
        return cls(capacity=team.burst, refill_rate=team.rate, lifetime=1)


def spend_after_a_late_return(bucket: TokenBucket) -> int:
    """Reclaims expired tokens after the bucket has been full without them.

    Returns how many tokens can be spent at one time.
    """
    capacity = bucket.count_available(10)
    bucket.issue_tokens('expired', capacity, 10)
    unexpired = 0
    for step, now in enumerate((10.5, 10.99)):
        tokens = bucket.count_available(now)
        bucket.issue_tokens(f'live {step}', tokens, now)
        unexpired += tokens
    bucket.reclaim_tokens('expired', capacity, 10.99)
    return unexpired + bucket.count_available(10.99)


class RefundingBucket(TokenBucket):
    """Faulty: adds reclaimed tokens even if the bucket was full meanwhile."""

    def reclaim_tokens(self, issue_id: str, tokens: int, now: float) -> int:
        self._level = self.compute_level(now) + tokens
        return tokens


def test_a_late_return_adds_nothing_if_the_bucket_was_full_meanwhile() -> None:
    team = make_team(rate=40, burst=40)
    limits = BucketLimits.from_config(team)
    exact = spend_after_a_late_return(TokenBucket(limits, 0))
    faulty = spend_after_a_late_return(RefundingBucket(limits, 0))
    assert exact <= team.burst
    assert faulty > team.burst


def test_the_windows_detect_limits_that_ignore_token_lifetimes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(token_issuer, 'BucketLimits', NaiveLimits)
    with pytest.raises(AssertionError):
        check_windows()
