"""Unit tests of placement, keys, records, leases, claims and freshness."""

import random

import cattrs
import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st
from jacinthcroft_config import VmList, VmState
from jacinthcroft_decisions.coordination import (
    MESSAGE_KINDS,
    Claim,
    ClaimGranted,
    ClaimRecord,
    ClaimReply,
    ClaimRunning,
    ClaimState,
    ClaimUnavailable,
    ClaimUnknown,
    CoordinationConfig,
    FenceReply,
    Freshness,
    Header,
    KeyAccepted,
    KeyInFuture,
    KeyInvalid,
    KeyTooOld,
    LastContact,
    LeaseReply,
    LeaseView,
    Outcome,
    Placement,
    RecordedAnswer,
    ShardView,
    WitnessSet,
    check_idempotency_key,
    kind_of,
)
from jacinthcroft_decisions.internal.coordination.candidate_lease import (
    CandidateLease,
)
from jacinthcroft_decisions.internal.coordination.fence_round import FenceRound
from jacinthcroft_decisions.internal.coordination.placement_history import (
    PlacementHistory,
)
from jacinthcroft_decisions.internal.coordination.predecessor_search import (
    FencesNeeded,
    PredecessorFound,
    find_predecessor,
)
from jacinthcroft_decisions.internal.coordination.records import merge_copies

from tests.cover.coordination.shard_simulation import (
    CONFIG,
    WALL_START,
    make_key,
    make_list,
    make_vm,
)

NAMES = tuple(f'vm{number}' for number in range(12))
PLACEMENT = Placement.from_vm_list(make_list(1, NAMES), CoordinationConfig())
ANSWER = RecordedAnswer(200, (Header('X-Kind', 'paid'),), 'b2s=')
STATES = st.sampled_from(ClaimState)
KEY = make_key(WALL_START + 20, 2)


@pytest.mark.parametrize('shard', range(64))
def test_no_zone_has_a_majority_of_a_shard(shard: int) -> None:
    zones = [
        int(vm.removeprefix('vm')) % 3 for vm in PLACEMENT.witnesses(shard)
    ]
    assert sorted(zones.count(zone) for zone in range(3)) == [1, 2, 2]
    first = {int(vm[2:]) % 3 for vm in PLACEMENT.candidates(shard)[:3]}
    assert len(first) == 3


def test_leaving_vms_and_evacuated_zones_get_no_shards_but_stay_members() -> (
    None
):
    vms = (
        make_vm('vm0', 'z0'),
        make_vm('vm1', 'z1'),
        make_vm('vm2', 'z2', VmState.LEAVING),
    )
    placement = Placement.from_vm_list(
        VmList(3, vms, frozenset(('z1',))),
        CoordinationConfig(),
    )
    assert placement.candidates(5) == placement.witnesses(5) == ('vm0',)
    assert placement.members == ('vm0', 'vm1', 'vm2')


def test_an_empty_list_assigns_no_shard() -> None:
    placement = Placement.from_vm_list(VmList(3, ()), CoordinationConfig())
    assert placement.candidates(0) == placement.witnesses(0) == ()


def test_a_key_is_checked_for_its_format_and_time() -> None:
    key = make_key(WALL_START, 7).rpartition('/')[2]
    times = (WALL_START, WALL_START + 601, WALL_START - 3)
    verdicts = [check_idempotency_key(key, wall, CONFIG) for wall in times]
    assert verdicts == [
        KeyAccepted(key, WALL_START * 1000),
        KeyTooOld(601),
        KeyInFuture(3),
    ]


@pytest.mark.parametrize(
    'text',
    ['', 'x', '6ba7b810-9dad-41d1-80b4-00c04fd430c8', f'{{{KEY[-36:]}}}'],
)
def test_texts_of_another_format_are_invalid_keys(text: str) -> None:
    assert check_idempotency_key(text, WALL_START, CONFIG) == KeyInvalid()


@settings(derandomize=True)
@given(st.lists(st.tuples(st.sampled_from('abc'), STATES), min_size=1))
def test_merging_never_frees_a_key_with_an_unreleased_claim(
    copies: list[tuple[str, ClaimState]],
) -> None:
    records = [
        ClaimRecord(
            'key',
            claimer,
            state,
            created_wall=1,
            released=(claimer,) if state is ClaimState.RELEASED else (),
        )
        for claimer, state in copies
    ]
    merged = merge_copies(records)
    released = {record.claimer for record in records if not record.is_blocking}
    is_free = all(
        record.state in {ClaimState.CLAIMED, ClaimState.RELEASED}
        and record.claimer in released
        for record in records
    )
    assert merged.is_blocking != is_free
    assert merge_copies(reversed(records)).is_blocking == merged.is_blocking
    assert set(merged.released) == released


def test_two_unreleased_claims_contest_a_key_until_one_is_answered() -> None:
    first = ClaimRecord('key', 'a', ClaimState.CLAIMED, created_wall=1)
    merged = merge_copies((first, evolve(first, claimer='b')))
    assert merged.state is ClaimState.CONTESTED
    assert merged.with_answer('a', ANSWER).answer == ANSWER


def test_a_long_answer_is_not_transferred_and_a_full_record_prevails() -> None:
    answer = evolve(ANSWER, body_base64='x' * 9)
    full = ClaimRecord(KEY, 'a', ClaimState.ANSWERED, 2, (), answer)
    assert full.for_transfer(9) == full
    trimmed = full.for_transfer(8)
    assert trimmed.state is ClaimState.ANSWERED
    assert (
        merge_copies((trimmed, full)) == merge_copies((full, trimmed)) == full
    )


def test_messages_are_equal_after_a_round_trip() -> None:
    record = ClaimRecord(KEY, 'a', ClaimState.ANSWERED, 2, ('b',), ANSWER)
    view = ShardView(
        (WitnessSet(2, ('vm1',)),),
        1,
        0,
        LeaseView('vm1', 'i', 2),
        (record,),
        (1,),
    )
    message = FenceReply(3, 2, Outcome.DONE, 2, 1, view)
    encoded = cattrs.unstructure(message)
    message_class = MESSAGE_KINDS[kind_of(message)]
    assert cattrs.structure(encoded, message_class) == message


def test_witnesses_removed_for_the_record_retention_do_not_block_a_list() -> (
    None
):
    history = PlacementHistory(CONFIG)
    history.add(Placement.from_vm_list(make_list(1, NAMES[:3]), CONFIG), 0)
    history.add(Placement.from_vm_list(make_list(2, NAMES[2:]), CONFIG), 5)
    earlier = WitnessSet(1, NAMES[:3])
    fence_round = FenceRound(0, WitnessSet(2, NAMES[3:6]), earlier, CONFIG)
    now = 5 + CONFIG.record_retention
    assert not history.removed_vms(now - 1)
    fence_round.complete_without(history.removed_vms(now))
    assert not fence_round.is_complete
    fence_round.start_due_requests(now)
    view = ShardView((), 1, vouch_from=9, lease=None, records=())
    reply = FenceReply(0, 2, Outcome.DONE, 2, 1, view)
    fence_round.receive('vm2', reply, now, now)
    fence_round.complete_without(history.removed_vms(now))
    search_result = find_predecessor((earlier,), {1: fence_round.views})
    assert fence_round.is_complete
    assert search_result == PredecessorFound(9, is_cold=True)


def test_an_unknown_list_is_fenced_before_the_next_older_one() -> None:
    known = (WitnessSet(4, NAMES[:3]), WitnessSet(1, NAMES[3:6]))
    view = ShardView((known[0],), 1, vouch_from=0, lease=None, records=())
    assert find_predecessor(known, {1: (view,)}) == FencesNeeded(known[0])


def test_a_candidate_waits_for_the_lease_and_a_delay_by_its_rank() -> None:
    candidate_lease = CandidateLease(
        CONFIG, NAMES[:5], rank=1, acquire_from=100
    )
    lease = LeaseView('vm9', 'first', remaining=2)
    candidate_lease.receive(
        'vm0', LeaseReply(0, 1, Outcome.HELD, 1, lease), 9, 10
    )
    assert not candidate_lease.may_acquire(12 + 0.9 * CONFIG.takeover_step)
    assert candidate_lease.may_acquire(12 + CONFIG.takeover_step)


def test_a_candidate_may_acquire_at_once_when_the_holder_releases() -> None:
    candidate_lease = CandidateLease(
        CONFIG, NAMES[:5], rank=2, acquire_from=100
    )
    assert not candidate_lease.may_acquire(10)
    candidate_lease.allow_acquire(10)
    assert candidate_lease.may_acquire(10)
    assert candidate_lease.start_request_if_due(10)


def _vote(claim: Claim, vm: str, outcome: Outcome, now: float) -> None:
    shard = claim.placement.shard_of(claim.key)
    reply = ClaimReply(shard, 1, outcome, 1, claim.claim_id)
    claim.receive(vm, reply, now)


@pytest.mark.parametrize(
    ('outcomes', 'verdict'),
    [
        ((Outcome.DONE,) * 3, ClaimGranted()),
        ((Outcome.DONE,) * 2, None),
        ((Outcome.RUNNING,) * 2, None),
        ((Outcome.DONE,) * 2 + (Outcome.RUNNING,) * 3, ClaimRunning()),
        ((Outcome.STALE,) * 3, ClaimUnavailable()),
        ((Outcome.NOT_VOUCHED,) * 3, ClaimUnknown()),
        ((Outcome.ANSWERED,) + (Outcome.STALE,) * 2, ClaimUnknown()),
    ],
)
def test_a_claim_needs_a_majority(
    outcomes: tuple[Outcome, ...],
    verdict: object,
) -> None:
    claim = Claim.start(KEY, 'a', PLACEMENT, CoordinationConfig(), 0)
    for outgoing, outcome in zip(claim.requests(), outcomes, strict=False):
        _vote(claim, outgoing.to, outcome, 1)
    assert claim.verdict(1) == verdict


@pytest.mark.parametrize(
    ('outcomes', 'is_majority_impossible', 'is_unrecorded'),
    [
        ((Outcome.NOT_INSTALLED,) * 2, False, False),
        ((Outcome.NOT_INSTALLED,) * 3, True, False),
        ((Outcome.STALE,) * 5, True, True),
        ((Outcome.DONE,) + (Outcome.STALE,) * 4, True, False),
    ],
)
def test_a_claim_knows_whether_a_majority_refused_and_none_recorded_it(
    outcomes: tuple[Outcome, ...],
    *,
    is_majority_impossible: bool,
    is_unrecorded: bool,
) -> None:
    claim = Claim.start(KEY, 'a', PLACEMENT, CoordinationConfig(), 0)
    for outgoing, outcome in zip(claim.requests(), outcomes, strict=False):
        _vote(claim, outgoing.to, outcome, 1)
    assert claim.is_majority_impossible is is_majority_impossible
    assert claim.is_unrecorded is is_unrecorded


def test_a_settlement_is_also_sent_to_the_witnesses_of_a_newer_list() -> None:
    claim = Claim.start(KEY, 'a', PLACEMENT, CoordinationConfig(), 0)
    newer = Placement.from_vm_list(
        make_list(2, NAMES[3:]), CoordinationConfig()
    )
    recipients = {outgoing.to for outgoing in claim.settle_released(newer)}
    shard = PLACEMENT.shard_of(KEY)
    assert recipients == {*PLACEMENT.witnesses(shard), *newer.witnesses(shard)}


def test_late_votes_do_not_count_and_the_verdict_is_final() -> None:
    claim = Claim.start(KEY, 'a', PLACEMENT, CoordinationConfig(), 0)
    for outgoing in claim.requests():
        _vote(claim, outgoing.to, Outcome.DONE, 1.1)
    assert claim.verdict(1.1) == ClaimUnavailable()
    with pytest.raises(ValueError, match='granted'):
        claim.settle_answered(ANSWER)


def test_a_vm_is_fresh_only_by_contact_with_a_majority() -> None:
    freshness = Freshness('vm0', CoordinationConfig())
    assert not freshness.is_fresh(0, PLACEMENT)
    ages = tuple(LastContact(vm, 2) for vm in NAMES[2:7])
    freshness.note_reply('vm1', 10, ages, 12)
    assert freshness.is_fresh(13, PLACEMENT)
    assert not freshness.is_fresh(13.1, PLACEMENT)
    assert freshness.recent_contacts(13.1) == (
        LastContact('vm0', 0),
        LastContact('vm1', 13.1 - 10),
    )


def test_peers_are_chosen_among_the_other_vms() -> None:
    freshness = Freshness('vm0', CoordinationConfig())
    chosen = freshness.choose_peers(random.Random(1), PLACEMENT, 99)
    assert set(chosen) == set(NAMES[1:])
