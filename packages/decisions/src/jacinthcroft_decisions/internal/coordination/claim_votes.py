"""A witness's votes on claims of idempotency keys.

A claim asks for the right to run the request with a key. A witness, one of
the VMs that vote on the key's claims, records at most one unreleased claim
per key. Released claims are never dispatched.

A key contains the time of its creation, the key time. A witness refuses keys
up to the key time `vouch_from`, because it may have lost their records in a
restart. Key times and wall times are in Unix seconds.
"""

from attrs import frozen

from jacinthcroft_decisions.internal.coordination.config import (
    CoordinationConfig,
)
from jacinthcroft_decisions.internal.coordination.idempotency_keys import (
    extract_key_time,
)
from jacinthcroft_decisions.internal.coordination.messages import (
    ClaimRequest,
    Outcome,
    SettleRequest,
)
from jacinthcroft_decisions.internal.coordination.records import (
    ClaimRecord,
    ClaimState,
    RecordedAnswer,
)
from jacinthcroft_decisions.internal.coordination.shard_state import (
    ShardState,
)


@frozen
class ClaimVote:
    """A witness's vote, with the key's recorded answer if there is one."""

    outcome: Outcome
    answer: RecordedAnswer | None = None


def vote_on_claim(
    shard_state: ShardState,
    request: ClaimRequest,
    wall_time: float,
    config: CoordinationConfig,
) -> ClaimVote:
    """Records the claim if the key is free; returns the witness's vote."""
    record = shard_state.records.get(request.key)
    if record is not None and record.is_blocking:
        return _vote_on_taken_key(record, request, wall_time, config)
    refusal = _refuse_free_key(shard_state, request, wall_time, config)
    if refusal is not None:
        return ClaimVote(refusal)
    released = record.released if record else ()
    shard_state.records[request.key] = ClaimRecord(
        key=request.key,
        claimer=request.claimer,
        state=ClaimState.CLAIMED,
        created_wall=wall_time,
        released=released,
    )
    return ClaimVote(Outcome.DONE)


def settle(
    shard_state: ShardState, request: SettleRequest, wall_time: float
) -> None:
    """Records how a claim ended, even if the claim itself never arrived.

    An answer and a release are both final, so they are recorded whatever the
    request's list revision is.
    """
    record = shard_state.records.get(request.key)
    if record is None:
        record = ClaimRecord(
            key=request.key,
            claimer=request.claimer,
            state=ClaimState.CLAIMED,
            created_wall=wall_time,
        )
    if request.answer is None:
        record = record.with_release(request.claimer)
    else:
        record = record.with_answer(request.claimer, request.answer)
    shard_state.records[request.key] = record


def is_kept(
    record: ClaimRecord, wall_time: float, config: CoordinationConfig
) -> bool:
    """Whether the record must be kept: its key may still be claimed."""
    key_time = extract_key_time(record.key)
    if key_time is None:
        return False
    return wall_time - key_time <= config.record_retention


def _vote_on_taken_key(
    record: ClaimRecord,
    request: ClaimRequest,
    wall_time: float,
    config: CoordinationConfig,
) -> ClaimVote:
    if record.state is ClaimState.ANSWERED:
        return ClaimVote(Outcome.ANSWERED, record.answer)
    # Two unreleased claims of the key exist, so either may have run.
    if record.state is ClaimState.CONTESTED:
        return ClaimVote(Outcome.UNKNOWN)
    if request.claimer in record.released:
        return ClaimVote(Outcome.RELEASED)
    if record.claimer == request.claimer:
        return ClaimVote(Outcome.DONE)
    if wall_time - record.created_wall > config.running_limit:
        return ClaimVote(Outcome.UNKNOWN)
    return ClaimVote(Outcome.RUNNING)


def _refuse_free_key(
    shard_state: ShardState,
    request: ClaimRequest,
    wall_time: float,
    config: CoordinationConfig,
) -> Outcome | None:
    """Returns why a key without a blocking record can't be claimed, or None.

    The claimer has checked the key's age, but this witness checks it again
    with its own clock, because it evicts records and sets `vouch_from` by
    that clock.
    """
    key_time = extract_key_time(request.key)
    if key_time is None or key_time <= shard_state.vouch_from:
        return Outcome.NOT_VOUCHED
    age = wall_time - key_time
    if age < -config.clock_skew or age > config.claim_age_limit:
        return Outcome.NOT_VOUCHED
    record = shard_state.records.get(request.key)
    if record is None:
        is_full = len(shard_state.records) >= config.records_per_shard
        return Outcome.NOT_VOUCHED if is_full else None
    if request.claimer in record.released:
        return Outcome.RELEASED
    has_too_many_releases = len(record.released) >= config.releases_per_key
    return Outcome.NOT_VOUCHED if has_too_many_releases else None
