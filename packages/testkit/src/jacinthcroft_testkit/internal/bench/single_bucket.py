"""What one token bucket for the whole fleet would have refused.

No system that keeps a team's rate and burst can refuse fewer of the same
requests, so this is the floor that its refusals are compared with.
"""

from collections.abc import Iterable

from jacinthcroft_testkit.internal.baseline.shares import FixedShare
from jacinthcroft_testkit.internal.history import Sent


def refused_by_single_bucket(
    requests: Iterable[Sent],
    rate: float,
    burst: int,
) -> float:
    """Returns the percentage that each team's own full bucket refuses."""
    buckets: dict[str, FixedShare] = {}
    refused = 0
    total = 0
    for request in sorted(requests, key=_by_time):
        bucket = buckets.get(request.team)
        if bucket is None:
            bucket = FixedShare(rate, burst)
            buckets[request.team] = bucket
        total += 1
        refused += not bucket.spend(request.at)
    return 100 * refused / max(1, total)


def _by_time(request: Sent) -> float:
    return request.at
