"""One witness by itself: claims, leases, fences and the read-back."""

import pytest
from jacinthcroft_decisions.coordination import (
    ClaimRequest,
    FenceRequest,
    InstallRequest,
    LeaseAction,
    LeaseRequest,
    Outcome,
    Placement,
    ReadBackReply,
    SettleRequest,
    ShardView,
    Witness,
    WitnessSet,
)

from tests.cover.coordination.shard_simulation import (
    TERMS,
    WALL_START,
    make_key,
    make_list,
)

NAMES = tuple(f'vm{number}' for number in range(12))
EARLY = make_key(WALL_START - 1, 1)
LATE = make_key(WALL_START + 20, 2)


def _witness() -> Witness:
    """Returns a witness of a one-VM list that is installed when it starts."""
    witness = Witness('vm0', 'i', 0, WALL_START, TERMS)
    alone = Placement.from_vm_list(make_list(1, ('vm0',)), TERMS)
    witness.adopt(alone, 0)
    witness.tick(4)
    install = InstallRequest(0, 1, ('vm0',), 'vm0', 'i', 0, False, ())
    witness.handle(install, 5, WALL_START + 5)
    return witness


def _ask(witness: Witness, key: str, claimer: str) -> Outcome:
    request = ClaimRequest(0, 1, key, claimer)
    return witness.handle(request, 21, WALL_START + 21).outcome


def test_a_key_is_written_once_at_a_witness() -> None:
    witness = _witness()
    outcomes = [_ask(witness, LATE, claimer) for claimer in 'aab']
    assert outcomes == [Outcome.DONE, Outcome.DONE, Outcome.RUNNING]


def test_a_key_older_than_the_witness_is_not_vouched_for() -> None:
    assert _ask(_witness(), EARLY, 'a') is Outcome.NOT_VOUCHED


def test_a_release_stops_its_late_claim_and_frees_the_key() -> None:
    witness = _witness()
    witness.handle(SettleRequest(0, 1, LATE, 'a'), 21, WALL_START + 21)
    assert _ask(witness, LATE, 'a') is Outcome.RELEASED
    assert _ask(witness, LATE, 'b') is Outcome.DONE


def test_records_are_evicted_after_the_retention() -> None:
    witness = _witness()
    _ask(witness, LATE, 'a')
    witness.tick(20 + TERMS.key_retention)
    assert witness.record_count == 1
    witness.tick(21 + TERMS.record_retention)
    assert witness.record_count == 0


def _lease(
    witness: Witness,
    holder: str,
    sequence: int,
    action: LeaseAction,
) -> Outcome:
    request = LeaseRequest(0, 1, holder, 'i', sequence, action)
    return witness.handle(request, 21, WALL_START + 21).outcome


def test_a_witness_keeps_one_lease_and_a_late_release_does_not_end_it() -> None:
    witness = _witness()
    steps = [
        ('vm1', 1, LeaseAction.ACQUIRE, Outcome.DONE),
        ('vm1', 3, LeaseAction.ACQUIRE, Outcome.DONE),
        ('vm1', 2, LeaseAction.RELEASE, Outcome.FREE),
        ('vm2', 1, LeaseAction.ACQUIRE, Outcome.HELD),
        ('vm2', 1, LeaseAction.RELEASE, Outcome.FREE),
        ('vm2', 1, LeaseAction.LOOK, Outcome.HELD),
        ('vm1', 4, LeaseAction.RELEASE, Outcome.FREE),
        ('vm2', 1, LeaseAction.ACQUIRE, Outcome.DONE),
    ]
    for holder, sequence, action, outcome in steps:
        assert _lease(witness, holder, sequence, action) is outcome


def test_an_installation_votes_for_its_driver() -> None:
    witness = _witness()
    look = LeaseRequest(0, 1, 'vm1', 'i', 1, LeaseAction.LOOK)
    assert witness.handle(look, 6, WALL_START).outcome is Outcome.HELD
    assert witness.handle(look, 8, WALL_START).outcome is Outcome.FREE


def test_a_fence_waits_until_a_restarted_witness_has_read_back() -> None:
    witness = Witness('vm0', 'i', 0, WALL_START, TERMS)
    placement = Placement.from_vm_list(make_list(5, NAMES[6:]), TERMS)
    witness.adopt(placement, 0)
    earlier = WitnessSet(3, NAMES[:5])
    fence = FenceRequest(0, 6, NAMES[6:], earlier)
    assert witness.handle(fence, 9, WALL_START).outcome is Outcome.ABSTAINING
    asked = witness.tick(9)
    # From outside it observes the list that it adopted, besides.
    assert [(outgoing.message.revision, outgoing.to) for outgoing in asked] == [
        *((3, vm) for vm in NAMES[1:5]),
        *((5, vm) for vm in placement.witnesses(0)),
    ]
    lost = WitnessSet(7, NAMES[2:7])
    view = ShardView((lost,), 0, 0, None, (), is_whole=True)
    for vm in NAMES[1:4]:
        reply = ReadBackReply(0, 3, Outcome.DONE, 7, 'i', view)
        witness.receive(vm, reply, 9)
    refused = witness.handle(fence, 9, WALL_START)
    assert (refused.outcome, refused.newest) == (Outcome.STALE, 7)


def _observed(fences: tuple[WitnessSet, ...], installed: int) -> Outcome:
    """Asks a witness to install a list, after it has observed list 1."""
    witness = Witness('vm9', 'i', 0, WALL_START, TERMS)
    earlier = Placement.from_vm_list(make_list(1, NAMES[:5]), TERMS)
    witness.adopt(earlier, 0)
    witness.tick(9)
    view = ShardView(fences, installed, 0, None, (), is_whole=True)
    for vm in earlier.witnesses(0)[:3]:
        reply = ReadBackReply(0, 1, Outcome.DONE, 1, 'i', view)
        witness.receive(vm, reply, 9)
    witness.tick(10)
    names = (*NAMES[:4], 'vm9')
    witness.adopt(Placement.from_vm_list(make_list(3, names), TERMS), 10)
    install = InstallRequest(0, 3, names, 'vm1', 'i', 0, False, ())
    return witness.handle(install, 11, WALL_START + 11).outcome


@pytest.mark.parametrize(
    ('fences', 'installed', 'outcome'),
    [
        ((WitnessSet(1, NAMES[:5]),), 1, Outcome.DONE),
        ((WitnessSet(2, NAMES[:5]),), 1, Outcome.NOT_INSTALLED),
        ((WitnessSet(1, NAMES[:5]),), 0, Outcome.NOT_INSTALLED),
    ],
)
def test_a_new_witness_installs_at_once_if_no_later_list_left_a_trace(
    fences: tuple[WitnessSet, ...],
    installed: int,
    outcome: Outcome,
) -> None:
    assert _observed(fences, installed) is outcome


def test_a_list_that_was_read_back_brings_no_vote_for_a_lease() -> None:
    witness = Witness('vm0', 'i', 0, WALL_START, TERMS)
    placement = Placement.from_vm_list(make_list(1, NAMES[:3]), TERMS)
    witness.adopt(placement, 0)
    view = ShardView((), 1, 0, None, (), is_whole=True)
    for vm in ('vm1', 'vm2'):
        reply = ReadBackReply(0, 1, Outcome.DONE, 1, 'i', view)
        witness.receive(vm, reply, 10)
    request = LeaseRequest(0, 1, 'vm1', 'i', 1, LeaseAction.ACQUIRE)
    times = (10, 10 + TERMS.lease_term, 10 + TERMS.abstention)
    replies = [witness.handle(request, now, WALL_START) for now in times]
    outcomes = [reply.outcome for reply in replies]
    assert outcomes == [Outcome.HELD, Outcome.HELD, Outcome.DONE]


def test_an_installation_overrides_the_votes_of_earlier_lists() -> None:
    witness = _witness()
    _lease(witness, 'vm1', 1, LeaseAction.ACQUIRE)
    witness.adopt(Placement.from_vm_list(make_list(2, ('vm0',)), TERMS), 21)
    witness.tick(21)
    install = InstallRequest(0, 2, ('vm0',), 'vm2', 'i', 0, False, ())
    witness.handle(install, 21, WALL_START)
    look = LeaseRequest(0, 2, 'vm2', 'i', 1, LeaseAction.LOOK)
    assert witness.handle(look, 22, WALL_START).outcome is Outcome.FREE
