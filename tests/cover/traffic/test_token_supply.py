"""Tokens go to the VMs that need them, and unspent ones are granted again."""

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


def make_request(vm: str, wanted: int, demand: float) -> TokenRequest:
    return TokenRequest('team', vm, wanted, demand)


def test_a_new_holder_has_no_tokens_and_returns_a_retry_after() -> None:
    issuer = TokenIssuer.from_config(make_team(rate=10), held_since=5)
    grant = issuer.grant_tokens(make_request('vm0', 1, 1), now=5, lease_until=8)
    assert grant.tokens == 0
    assert grant.retry_after == pytest.approx(0.1)


def test_no_token_is_valid_beyond_the_lease() -> None:
    issuer = TokenIssuer.from_config(make_team(), held_since=0)
    grant = issuer.grant_tokens(
        make_request('vm0', 1, 1), now=2, lease_until=2.25
    )
    assert grant == TokenGrant(1, 0.25, 0, grant.grant_id)
    assert not issuer.grant_tokens(
        make_request('vm0', 1, 1), 3, lease_until=3
    ).tokens


@pytest.mark.parametrize('burst', [1, 2, 10, 100])
def test_the_refill_rate_is_the_full_rate_if_the_burst_allows(
    burst: int,
) -> None:
    limits = BucketLimits.from_config(make_team(rate=2, burst=burst))
    assert limits.capacity >= max(1, burst / 2 - 0.001)
    min_refill_rate = 1.8 if burst == 1 else 2
    assert limits.refill_rate >= min_refill_rate


def test_scarce_tokens_are_shared_by_demand() -> None:
    issuer = TokenIssuer.from_config(make_team(rate=40, burst=40), held_since=0)
    granted = {'vm0': 0, 'vm1': 0, 'vm2': 0}
    demands = {'vm0': 400.0, 'vm1': 40.0, 'vm2': 40.0}
    for step in range(200):
        now = 1 + step * 0.05
        # vm0 always asks first and asks for more than there is.
        for vm, demand in demands.items():
            grant = issuer.grant_tokens(
                make_request(vm, int(demand), demand), now, now + 3
            )
            granted[vm] += grant.tokens
    total = sum(granted.values())
    assert total >= 380
    assert granted['vm1'] >= 0.07 * total
    assert granted['vm2'] >= 0.07 * total
    assert granted['vm0'] >= 0.7 * total


def test_a_single_vm_gets_all_that_its_team_may_spend() -> None:
    issuer = TokenIssuer.from_config(make_team(rate=40, burst=40), held_since=0)
    granted = 0
    for step in range(200):
        now = 1 + step * 0.05
        granted += issuer.grant_tokens(
            make_request('vm0', 2, 40), now, now + 3
        ).tokens
    assert granted >= 395


def test_tokens_that_expired_unspent_are_granted_again() -> None:
    team = make_team(rate=2, burst=20)
    issuer = TokenIssuer.from_config(team, held_since=0)
    first = issuer.grant_tokens(
        make_request('vm0', 10, 2), now=60, lease_until=70
    )
    unused = (TokenReturn(first.grant_id, first.tokens),)
    again = issuer.grant_tokens(
        TokenRequest('team', 'vm0', 17, 2, unused),
        now=61.1,
        lease_until=70,
    )
    assert first.tokens == 10
    assert again.tokens == 17


def test_a_duplicated_or_foreign_return_has_no_effect() -> None:
    issuer = TokenIssuer.from_config(make_team(rate=1, burst=20), held_since=0)
    first = issuer.grant_tokens(
        make_request('vm0', 18, 1), now=60, lease_until=70
    )
    issuer.reclaim_tokens(2, now=60, grant_id=first.grant_id)
    issuer.reclaim_tokens(2, now=60, grant_id=first.grant_id)
    issuer.reclaim_tokens(9, now=60, grant_id='another')
    issuer.reclaim_tokens(9, now=60)
    assert issuer.grant_tokens(make_request('vm0', 18, 1), 60, 70).tokens <= 3


def test_lower_limits_hold_in_windows_that_begin_a_lifetime_later() -> None:
    issuer = TokenIssuer.from_config(make_team(rate=50, burst=100), 0)
    issuer.grant_tokens(make_request('vm0', 50, 50), now=10, lease_until=20)
    lower = make_team(rate=2, burst=4)
    issuer.reconfigure(lower, now=10)
    spent: list[float] = []
    for step in range(40):
        now = 11 + step * 0.1
        grant = issuer.grant_tokens(make_request('vm0', 50, 50), now, now + 3)
        expiry = now + grant.lifetime
        spent.extend(expiry for _ in range(grant.tokens))
    assert spent
    assert_windows_hold(spent, lower)


def test_a_pool_requests_tokens_ahead_of_need() -> None:
    pool = TokenPool()
    for step in range(100):
        pool.record_demand(step * 0.05)
    now = 5.0
    wanted = pool.count_wanted(now)
    assert 5 <= wanted <= 15
    pool.add_grant(TokenGrant(wanted, 1, 0), asked_at=now, now=now)
    assert pool.count_wanted(now) == 0


def test_an_idle_pool_requests_no_tokens() -> None:
    pool = TokenPool()
    pool.record_demand(0)
    assert pool.count_wanted(30) == 0
    assert pool.build_request('team', 'vm0', 30) is None


def test_a_pool_requests_a_token_for_a_request_that_found_none() -> None:
    pool = TokenPool()
    pool.record_demand(100)
    for _ in range(20):
        # A request that tries repeatedly needs only one token.
        assert pool.spend_token(100) is None
    token_request = pool.build_request('team', 'vm0', 100)
    assert token_request is not None
    assert token_request.waiting == 1


def test_the_lifetime_of_a_token_counts_from_before_the_request() -> None:
    pool = TokenPool()
    pool.add_grant(TokenGrant(1, 0.5, 0), asked_at=10, now=10.4)
    token = pool.spend_token(10.49)
    assert token is not None
    assert token.is_valid(10.49)
    assert not token.is_valid(10.5)


def test_a_token_that_was_put_back_can_be_spent_until_it_expires() -> None:
    pool = TokenPool()
    pool.add_grant(TokenGrant(1, 1, 0, 'g'), asked_at=10, now=10)
    token = pool.spend_token(10.1)
    assert token is not None
    pool.return_token(token)
    assert pool.spend_token(10.2) == token
    pool.return_token(token)
    assert pool.spend_token(11) is None
    pool.record_demand(11)
    token_request = pool.build_request('team', 'vm0', 11)
    assert token_request is not None
    assert token_request.unused == (TokenReturn('g', 1),)


def test_a_token_that_expired_in_a_queue_is_granted_again() -> None:
    issuer = TokenIssuer.from_config(make_team(rate=1, burst=30), held_since=0)
    grant = issuer.grant_tokens(
        make_request('vm0', 10, 2), now=60, lease_until=70
    )
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
    # Includes the tokens returned before, so that a duplicate has no effect.
    assert second.unused == (TokenReturn(grant.grant_id, 10),)
    before_return = issuer.grant_tokens(
        make_request('vm1', 28, 2), now=61.2, lease_until=70
    )
    assert before_return.tokens < 28
    for token_request in (second, second, first):
        issuer.reclaim_tokens(
            token_request.unused[0].tokens,
            61.2,
            token_request.unused[0].grant_id,
        )
    after_return = issuer.grant_tokens(
        make_request('vm1', 28, 2), now=61.2, lease_until=70
    )
    assert before_return.tokens + after_return.tokens == 28
