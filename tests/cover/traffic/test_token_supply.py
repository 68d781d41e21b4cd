"""Tokens reach the VMs that need them, and none is wasted for long."""

import pytest
from jacinthcroft_decisions.internal.traffic.bucket_limits import (
    BucketLimits,
)
from jacinthcroft_decisions.traffic import (
    TokenGrant,
    TokenIssuer,
    TokenPool,
    TokenRequest,
    TokenReturn,
)

from tests.cover.traffic.builders import make_team
from tests.cover.traffic.test_token_windows import assert_windows_hold


def ask_of(vm: str, wanted: int, demand: float) -> TokenRequest:
    return TokenRequest('team', vm, wanted, demand)


def test_a_new_holder_has_no_tokens_and_says_when_to_come_back() -> None:
    issuer = TokenIssuer.from_config(make_team(rate=10), held_since=5)
    grant = issuer.grant_tokens(ask_of('vm0', 1, 1), now=5, lease_until=8)
    assert grant.tokens == 0
    assert grant.retry_after == pytest.approx(0.1)


def test_no_token_outlives_the_lease() -> None:
    issuer = TokenIssuer.from_config(make_team(), held_since=0)
    grant = issuer.grant_tokens(ask_of('vm0', 1, 1), now=2, lease_until=2.25)
    assert grant == TokenGrant(1, 0.25, 0, grant.grant_id)
    assert not issuer.grant_tokens(ask_of('vm0', 1, 1), 3, lease_until=3).tokens


@pytest.mark.parametrize('burst', [1, 2, 10, 100])
def test_the_full_rate_is_granted_when_the_burst_allows(burst: int) -> None:
    limits = BucketLimits.from_config(make_team(rate=2, burst=burst))
    assert limits.capacity >= max(1, burst / 2 - 0.001)
    least = 1.8 if burst == 1 else 2
    assert limits.refill_rate >= least


def test_scarce_tokens_are_split_by_demand() -> None:
    issuer = TokenIssuer.from_config(make_team(rate=40, burst=40), held_since=0)
    got = {'vm0': 0, 'vm1': 0, 'vm2': 0}
    demands = {'vm0': 400.0, 'vm1': 40.0, 'vm2': 40.0}
    for step in range(200):
        now = 1 + step * 0.05
        # The greedy VM always comes first and wants all there is.
        for vm, demand in demands.items():
            grant = issuer.grant_tokens(
                ask_of(vm, int(demand), demand), now, now + 3
            )
            got[vm] += grant.tokens
    total = sum(got.values())
    assert total >= 380
    assert got['vm1'] >= 0.07 * total
    assert got['vm2'] >= 0.07 * total
    assert got['vm0'] >= 0.7 * total


def test_a_vm_alone_gets_all_that_its_team_may_spend() -> None:
    issuer = TokenIssuer.from_config(make_team(rate=40, burst=40), held_since=0)
    got = 0
    for step in range(200):
        now = 1 + step * 0.05
        got += issuer.grant_tokens(ask_of('vm0', 2, 40), now, now + 3).tokens
    assert got >= 395


def test_tokens_that_expired_unspent_are_granted_again() -> None:
    team = make_team(rate=2, burst=20)
    issuer = TokenIssuer.from_config(team, held_since=0)
    first = issuer.grant_tokens(ask_of('vm0', 10, 2), now=60, lease_until=70)
    unused = (TokenReturn(first.grant_id, first.tokens),)
    again = issuer.grant_tokens(
        TokenRequest('team', 'vm0', 17, 2, unused),
        now=61.1,
        lease_until=70,
    )
    assert first.tokens == 10
    assert again.tokens == 17


def test_a_doubled_or_foreign_return_gives_nothing() -> None:
    issuer = TokenIssuer.from_config(make_team(rate=1, burst=20), held_since=0)
    first = issuer.grant_tokens(ask_of('vm0', 18, 1), now=60, lease_until=70)
    issuer.reclaim_tokens(2, now=60, grant_id=first.grant_id)
    issuer.reclaim_tokens(2, now=60, grant_id=first.grant_id)
    issuer.reclaim_tokens(9, now=60, grant_id='another')
    issuer.reclaim_tokens(9, now=60)
    assert issuer.grant_tokens(ask_of('vm0', 18, 1), 60, 70).tokens <= 3


def test_lower_limits_bound_the_windows_after_one_lifetime() -> None:
    issuer = TokenIssuer.from_config(make_team(rate=50, burst=100), 0)
    issuer.grant_tokens(ask_of('vm0', 50, 50), now=10, lease_until=20)
    lower = make_team(rate=2, burst=4)
    issuer.reconfigure(lower, now=10)
    spent: list[float] = []
    for step in range(40):
        now = 11 + step * 0.1
        grant = issuer.grant_tokens(ask_of('vm0', 50, 50), now, now + 3)
        expiry = now + grant.lifetime
        spent.extend(expiry for _ in range(grant.tokens))
    assert spent
    assert_windows_hold(spent, lower)


def test_a_purse_asks_ahead_of_need() -> None:
    pool = TokenPool()
    for step in range(100):
        pool.record_demand(step * 0.05)
    now = 5.0
    wanted = pool.count_wanted(now)
    assert 5 <= wanted <= 15
    pool.add_grant(TokenGrant(wanted, 1, 0), asked_at=now, now=now)
    assert pool.count_wanted(now) == 0


def test_an_idle_purse_asks_for_nothing() -> None:
    pool = TokenPool()
    pool.record_demand(0)
    assert pool.count_wanted(30) == 0
    assert pool.build_request('team', 'vm0', 30) is None


def test_a_request_without_a_token_makes_the_purse_ask_for_one() -> None:
    pool = TokenPool()
    pool.record_demand(100)
    for _ in range(20):
        # One request that tries again and again is one request.
        assert pool.spend_token(100) is None
    ask = pool.build_request('team', 'vm0', 100)
    assert ask is not None
    assert ask.waiting == 1


def test_a_token_counts_from_before_the_question() -> None:
    pool = TokenPool()
    pool.add_grant(TokenGrant(1, 0.5, 0), asked_at=10, now=10.4)
    token = pool.spend_token(10.49)
    assert token is not None
    assert token.is_valid(10.49)
    assert not token.is_valid(10.5)


def test_a_returned_token_can_be_spent_again_until_it_expires() -> None:
    pool = TokenPool()
    pool.add_grant(TokenGrant(1, 1, 0, 'g'), asked_at=10, now=10)
    token = pool.spend_token(10.1)
    assert token is not None
    pool.return_token(token)
    assert pool.spend_token(10.2) == token
    pool.return_token(token)
    assert pool.spend_token(11) is None
    pool.record_demand(11)
    ask = pool.build_request('team', 'vm0', 11)
    assert ask is not None
    assert ask.unused == (TokenReturn('g', 1),)


def test_a_token_that_expired_in_a_queue_goes_back_to_the_holder() -> None:
    issuer = TokenIssuer.from_config(make_team(rate=1, burst=30), held_since=0)
    grant = issuer.grant_tokens(ask_of('vm0', 10, 2), now=60, lease_until=70)
    pool = TokenPool()
    pool.add_grant(grant, asked_at=60, now=60)
    held = [pool.spend_token(60) for _ in range(3)]
    pool.record_demand(61.1)
    assert pool.spend_token(61.1) is None
    first = pool.build_request('team', 'vm0', 61.1)
    for token in held:
        assert token is not None
        pool.return_token(token)
    pool.record_demand(61.2)
    assert pool.spend_token(61.2) is None
    second = pool.build_request('team', 'vm0', 61.2)
    assert first is not None
    assert second is not None
    assert first.unused == (TokenReturn(grant.grant_id, 7),)
    # Counts what was returned before, so that a doubled return is harmless.
    assert second.unused == (TokenReturn(grant.grant_id, 10),)
    full = issuer.grant_tokens(ask_of('vm1', 28, 2), now=61.2, lease_until=70)
    assert full.tokens < 28
    for ask in (second, second, first):
        issuer.reclaim_tokens(
            ask.unused[0].tokens, 61.2, ask.unused[0].grant_id
        )
    again = issuer.grant_tokens(ask_of('vm1', 28, 2), now=61.2, lease_until=70)
    assert full.tokens + again.tokens == 28
