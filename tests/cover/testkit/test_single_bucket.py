"""The floor of refusals: what one bucket for the fleet would refuse."""

from jacinthcroft_testkit.internal.bench.single_bucket import (
    refused_by_single_bucket,
)
from jacinthcroft_testkit.internal.history import Sent


def sent_at(at: float, team: str = 'kiosks') -> Sent:
    return Sent(0, at, 'vm1', 'recipes', team, 'GET', '/recipes')


def test_the_burst_is_not_refused() -> None:
    requests = [sent_at(100) for _ in range(4)]
    assert refused_by_single_bucket(requests, rate=1, burst=4) == 0


def test_what_exceeds_rate_and_burst_is_refused() -> None:
    requests = [sent_at(100) for _ in range(4)]
    assert refused_by_single_bucket(requests, rate=1, burst=3) == 25


def test_a_bucket_fills_up_again_at_its_rate() -> None:
    requests = [sent_at(at) for at in (100, 100.5, 101, 101.5)]
    assert refused_by_single_bucket(requests, rate=2, burst=1) == 0
    assert refused_by_single_bucket(requests, rate=1, burst=1) == 50


def test_each_team_has_a_bucket_of_its_own() -> None:
    requests = [sent_at(100), sent_at(100, 'caterers')]
    assert refused_by_single_bucket(requests, rate=1, burst=1) == 0


def test_requests_count_in_the_order_of_their_sending() -> None:
    requests = [sent_at(101), sent_at(100)]
    assert refused_by_single_bucket(requests, rate=1, burst=1) == 0
