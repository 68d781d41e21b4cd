"""Which target a request goes to.

Load answered: about a third of a service's targets fail most of what they
get, by hanging, while their health check is good. A request that may run
only once goes where the last answer was good; one that may be repeated finds
out whether a doubtful target is well again.
"""

from collections.abc import Iterable
from typing import Final

from attrs import frozen

from jacinthcroft_decisions.internal.dispatch.messages import Ask
from jacinthcroft_decisions.internal.dispatch.route_latencies import (
    ExpectedLatency,
)
from jacinthcroft_decisions.internal.dispatch.target_record import (
    TargetRecord,
    TrustLevel,
)

# Parts of the time to the objective after which a request that may run only
# once takes a doubtful target, or one that is left alone, over waiting on.
DOUBTFUL_AFTER: Final = 0.05
AVOIDED_AFTER: Final = 0.15

# Costs that are compared between targets of the same standing: another
# running request, a new connection, another zone, and each MiB of body sent
# to another zone. The last three follow what operators pay for each
# (docs/MEASURES.md): a body of 25 KB to another zone costs a new connection.
RUNNING_COST: Final = 1.0
CONNECT_COST: Final = 1.2
ZONE_COST: Final = 0.15
ZONE_BODY_COST_PER_MIB: Final = 48.0
COLD_COST: Final = 2.0
# What a second since the last proof of health costs a request that may run
# only once, and what finding out is worth for one that may be repeated.
STALE_COST: Final = 1.0
PROBE_GAIN: Final = 1.0
# Mean latencies that a second send needs to answer in time, and that the
# first one is given in any case.
SECOND_SEND_MEANS: Final = 1.5
EARLIEST_SECOND_MEANS: Final = 1.4
# Proof that is older than this is no proof, in seconds.
MAX_STALE_SECONDS: Final = 3.0
_MIB: Final = 1048576


@frozen
class Requester:
    """Who asks, for how long already, in seconds, and from which zone."""

    ask: Ask
    zone: str
    waited: float


def choose_target(
    requester: Requester,
    candidates: Iterable[TargetRecord],
    now: float,
) -> TargetRecord | None:
    """Returns the target to send to, or None to wait.

    The candidates have a free slot and may get the request.
    """
    best: TargetRecord | None = None
    best_cost: tuple[int, float, float] | None = None
    worst = worst_standing(requester)
    for record in candidates:
        standing = record.assess_trust(now)
        if standing > worst:
            continue
        cost = (
            _preference(requester.ask, standing, record),
            _cost(requester, record, now),
            record.last_used_at,
        )
        if best_cost is None or cost < best_cost:
            best = record
            best_cost = cost
    return best


def patience_of(ask: Ask, expected_latency: ExpectedLatency) -> float:
    """Returns how long to wait for an answer before a second target, seconds.

    A second send that is to meet the objective has to start early enough,
    but not while most answers are still to come.
    """
    in_time = (
        ask.objective_left - SECOND_SEND_MEANS * expected_latency.mean_seconds
    )
    earliest = EARLIEST_SECOND_MEANS * expected_latency.mean_seconds
    return min(expected_latency.hang_seconds, max(earliest, in_time))


def worst_standing(requester: Requester) -> TrustLevel:
    """Returns how doubtful a target the request may go to by now."""
    ask = requester.ask
    if ask.is_repeatable and ask.attempt == 1 and not ask.excluded:
        return TrustLevel.DOUBTFUL
    total = requester.waited + max(0, ask.objective_left)
    if requester.waited >= AVOIDED_AFTER * total:
        return TrustLevel.AVOIDED
    if requester.waited >= DOUBTFUL_AFTER * total:
        return TrustLevel.DOUBTFUL
    return TrustLevel.UNKNOWN


def _preference(ask: Ask, standing: TrustLevel, record: TargetRecord) -> int:
    is_first = ask.is_repeatable and ask.attempt == 1
    if is_first and standing is TrustLevel.DOUBTFUL and not record.running:
        # The second send, to a proven target, still meets the objective.
        return -1
    if standing is TrustLevel.UNKNOWN and not record.has_been_used:
        # Somebody has to be first, or a target that joined stays unused.
        return int(TrustLevel.PROVEN)
    return int(standing)


def _cost(
    requester: Requester,
    record: TargetRecord,
    now: float,
) -> float:
    ask = requester.ask
    cost = len(record.running) * RUNNING_COST
    if not record.is_connected_to(ask.vm, now):
        cost += CONNECT_COST
    if record.entry.zone != requester.zone:
        cost += ZONE_COST
        cost += ask.body_bytes / _MIB * ZONE_BODY_COST_PER_MIB
    if record.is_cold(now):
        cost += COLD_COST
    if record.slowness is not None:
        cost += record.slowness
    stale = min(MAX_STALE_SECONDS, now - record.proven_at)
    if ask.is_repeatable and ask.attempt == 1:
        return cost - stale * PROBE_GAIN
    return cost + stale * STALE_COST
