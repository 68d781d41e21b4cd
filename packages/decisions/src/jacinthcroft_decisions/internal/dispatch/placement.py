"""Chooses the target that a request is sent to.

A VM asks the deciding VM for a target with an ask, one for each attempt of a
request. The ask waits while no acceptable target is free. A target is doubtful
if it is slow or has failed since it last served a request, or has a request
that hangs; it is avoided for a moment after a failure.

About a third of a service's targets at a time may fail most of their requests
by hanging while their health check passes. A request that may run only once
goes to a target whose last response was good. A repeatable one also probes
whether a doubtful target has recovered.
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
from jacinthcroft_decisions.internal.dispatch.use_floor import is_unused

# Shares of the time from arrival to the latency objective after which a
# request that may run only once goes to a doubtful or an avoided target
# rather than wait longer.
DOUBTFUL_AFTER_SHARE: Final = 0.05
AVOIDED_AFTER_SHARE: Final = 0.15

# Costs that are compared between targets of the same preference: each running
# request, a new connection, another zone, each MiB of body that is sent to
# another zone, and a cold target, which is still warming up after its start.
# Those of connections, zones and bodies follow what operators pay for each
# (docs/MEASURES.md): a body of 25 KB to another zone costs as much as a new
# connection.
RUNNING_COST: Final = 1.0
CONNECT_COST: Final = 1.2
ZONE_COST: Final = 0.15
ZONE_BODY_COST_PER_MIB: Final = 48.0
COLD_COST: Final = 2.0
# Cost of each second since the target was last proven healthy, for a request
# that may run only once.
PROOF_AGE_COST_PER_SECOND: Final = 1.0
# What each such second lowers the cost by for a repeatable request, which
# finds out whether the target is healthy.
PROBE_GAIN_PER_SECOND: Final = 1.0
# Time that a second attempt needs to respond, as a multiple of the expected
# mean latency.
SECOND_ATTEMPT_MEANS: Final = 1.5
# Minimum time before a second attempt, as a multiple of the expected mean
# latency; the time after which a request counts as hanging still limits it.
MIN_PATIENCE_MEANS: Final = 1.4
# Older proof of health costs or gains no more than proof of this age.
MAX_PROOF_AGE_SECONDS: Final = 3.0
_BYTES_PER_MIB: Final = 1048576
# Comes before that of any trust.
_FIRST_PREFERENCE: Final = -1


@frozen
class PendingAsk:
    """An ask that needs a target.

    `zone` is the availability zone of the VM that asks, `waited` is for how
    many seconds the ask has waited. `prefers_unused` is set while more targets
    have to be in use.
    """

    ask: Ask
    zone: str
    waited: float
    prefers_unused: bool = False


def choose_target(
    pending: PendingAsk,
    candidates: Iterable[TargetRecord],
    now: float,
) -> TargetRecord | None:
    """Returns the target to send to, or None if the ask has to wait.

    Args:
        pending: The ask to choose a target for.
        candidates: Targets that have a free slot and may get the request.
        now: The current time.
    """
    best: TargetRecord | None = None
    best_key: tuple[int, float, float, int] | None = None
    lowest_trust = lowest_allowed_trust(pending)
    for record in candidates:
        preference = _find_preference(pending, record, lowest_trust, now)
        if preference is None:
            continue
        sort_key = (
            preference,
            _compute_cost(pending, record, now),
            record.last_used_at,
            record.tie_break,
        )
        if best_key is None or sort_key < best_key:
            best = record
            best_key = sort_key
    return best


def compute_patience(ask: Ask, expected: ExpectedLatency) -> float:
    """Returns the seconds to wait for a response before a second attempt.

    The second attempt has to start early enough to meet the latency
    objective, but not while most responses to the first are still to come.
    """
    latest_in_time = (
        ask.objective_left - SECOND_ATTEMPT_MEANS * expected.mean_seconds
    )
    earliest = MIN_PATIENCE_MEANS * expected.mean_seconds
    return min(expected.hang_seconds, max(earliest, latest_in_time))


def lowest_allowed_trust(pending: PendingAsk) -> TrustLevel:
    """Returns the lowest trust of a target that the request may go to now."""
    ask = pending.ask
    objective_seconds = pending.waited + max(0, ask.objective_left)
    if pending.waited >= AVOIDED_AFTER_SHARE * objective_seconds:
        return TrustLevel.AVOIDED
    if ask.is_repeatable and ask.attempt == 1 and not ask.excluded:
        return TrustLevel.DOUBTFUL
    if pending.waited >= DOUBTFUL_AFTER_SHARE * objective_seconds:
        return TrustLevel.DOUBTFUL
    return TrustLevel.UNKNOWN


def _find_preference(
    pending: PendingAsk,
    record: TargetRecord,
    lowest_trust: TrustLevel,
    now: float,
) -> int | None:
    """Returns how preferred a target is, or None if it must not be used.

    The smallest number comes first.
    """
    if pending.prefers_unused and _may_try_unused(pending, record, now):
        return _FIRST_PREFERENCE
    ask = pending.ask
    may_probe = ask.is_repeatable and ask.attempt == 1
    trust = (
        record.assess_trust(now)
        if ask.is_repeatable
        else record.assess_trust_once(now)
    )
    if trust > lowest_trust:
        return None
    needs_probe = trust is TrustLevel.DOUBTFUL or record.holds.is_untested
    if may_probe and needs_probe and not record.running:
        # If this probe fails, a second attempt on a proven target still
        # meets the latency objective.
        return _FIRST_PREFERENCE
    if trust is TrustLevel.UNKNOWN and not record.has_been_used:
        # Otherwise a target that has just joined would stay unused.
        return int(TrustLevel.PROVEN)
    return int(trust)


def _may_try_unused(
    pending: PendingAsk, record: TargetRecord, now: float
) -> bool:
    if pending.ask.attempt > 1 or record.running:
        return False
    return is_unused(record, now) and not record.has_just_failed(now)


def _compute_cost(
    pending: PendingAsk,
    record: TargetRecord,
    now: float,
) -> float:
    ask = pending.ask
    cost = len(record.running) * RUNNING_COST
    if not record.is_connected_to(ask.vm, now):
        cost += CONNECT_COST
    if record.entry.zone != pending.zone:
        cost += ZONE_COST
        cost += ask.transfer_bytes / _BYTES_PER_MIB * ZONE_BODY_COST_PER_MIB
    if record.is_cold(now):
        cost += COLD_COST
    if record.slowness is not None:
        cost += record.slowness
    proof_age = min(MAX_PROOF_AGE_SECONDS, now - record.proven_at)
    if ask.is_repeatable and ask.attempt == 1:
        return cost - proof_age * PROBE_GAIN_PER_SECOND
    return cost + proof_age * PROOF_AGE_COST_PER_SECOND
