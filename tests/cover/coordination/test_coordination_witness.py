"""One witness: claims, leases, fences, installation and the read-back."""

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
    CONFIG,
    WALL_START,
    make_key,
    make_list,
)

NAMES = tuple(f'vm{number}' for number in range(12))
KEY_BEFORE_START = make_key(WALL_START - 1, 1)
KEY_AFTER_START = make_key(WALL_START + 20, 2)


def _make_installed_witness() -> Witness:
    """Returns a witness that is installed at list 1, which has one VM."""
    witness = Witness('vm0', 'i', 0, WALL_START, CONFIG)
    one_vm_placement = Placement.from_vm_list(make_list(1, ('vm0',)), CONFIG)
    witness.adopt(one_vm_placement, 0)
    witness.tick(4)
    install = InstallRequest(0, 1, ('vm0',), 'vm0', 'i', 0, False, ())
    witness.handle(install, 5, WALL_START + 5)
    return witness


def _claim(witness: Witness, key: str, claimer: str) -> Outcome:
    request = ClaimRequest(0, 1, key, claimer)
    return witness.handle(request, 21, WALL_START + 21).outcome


def test_a_witness_grants_a_key_to_one_claim_only() -> None:
    witness = _make_installed_witness()
    outcomes = [_claim(witness, KEY_AFTER_START, claimer) for claimer in 'aab']
    assert outcomes == [Outcome.DONE, Outcome.DONE, Outcome.RUNNING]


def test_a_key_older_than_the_witness_is_not_vouched_for() -> None:
    assert (
        _claim(_make_installed_witness(), KEY_BEFORE_START, 'a')
        is Outcome.NOT_VOUCHED
    )


def test_a_released_claim_is_refused_and_its_key_is_free() -> None:
    witness = _make_installed_witness()
    witness.handle(
        SettleRequest(0, 1, KEY_AFTER_START, 'a'), 21, WALL_START + 21
    )
    assert _claim(witness, KEY_AFTER_START, 'a') is Outcome.RELEASED
    assert _claim(witness, KEY_AFTER_START, 'b') is Outcome.DONE


def test_records_are_evicted_after_their_retention() -> None:
    witness = _make_installed_witness()
    _claim(witness, KEY_AFTER_START, 'a')
    witness.tick(20 + CONFIG.key_retention)
    assert witness.record_count == 1
    witness.tick(21 + CONFIG.record_retention)
    assert witness.record_count == 0


def _request_lease(
    witness: Witness,
    holder: str,
    sequence: int,
    action: LeaseAction,
) -> Outcome:
    request = LeaseRequest(0, 1, holder, 'i', sequence, action)
    return witness.handle(request, 21, WALL_START + 21).outcome


def test_a_late_release_does_not_end_the_one_lease_of_a_witness() -> None:
    witness = _make_installed_witness()
    lease_steps = [
        ('vm1', 1, LeaseAction.ACQUIRE, Outcome.DONE),
        ('vm1', 3, LeaseAction.ACQUIRE, Outcome.DONE),
        ('vm1', 2, LeaseAction.RELEASE, Outcome.FREE),
        ('vm2', 1, LeaseAction.ACQUIRE, Outcome.HELD),
        ('vm2', 1, LeaseAction.RELEASE, Outcome.FREE),
        ('vm2', 1, LeaseAction.LOOK, Outcome.HELD),
        ('vm1', 4, LeaseAction.RELEASE, Outcome.FREE),
        ('vm2', 1, LeaseAction.ACQUIRE, Outcome.DONE),
    ]
    for holder, sequence, action, outcome in lease_steps:
        assert _request_lease(witness, holder, sequence, action) is outcome


def test_an_installation_implies_a_vote_for_its_driver() -> None:
    witness = _make_installed_witness()
    look_request = LeaseRequest(0, 1, 'vm1', 'i', 1, LeaseAction.LOOK)
    assert witness.handle(look_request, 6, WALL_START).outcome is Outcome.HELD
    assert witness.handle(look_request, 8, WALL_START).outcome is Outcome.FREE


def test_a_restarted_witness_abstains_from_fences_until_its_read_back() -> None:
    witness = Witness('vm0', 'i', 0, WALL_START, CONFIG)
    placement = Placement.from_vm_list(make_list(5, NAMES[6:]), CONFIG)
    witness.adopt(placement, 0)
    earlier = WitnessSet(3, NAMES[:5])
    fence_request = FenceRequest(0, 6, NAMES[6:], earlier)
    assert (
        witness.handle(fence_request, 9, WALL_START).outcome
        is Outcome.ABSTAINING
    )
    requests = witness.tick(9)
    # It is no witness of the adopted list 5, so it also asks the witnesses of
    # that list whether a later list was active.
    assert [
        (outgoing.message.revision, outgoing.to) for outgoing in requests
    ] == [
        *((3, vm) for vm in NAMES[1:5]),
        *((5, vm) for vm in placement.witnesses(0)),
    ]
    fence_read_back = WitnessSet(7, NAMES[2:7])
    view = ShardView((fence_read_back,), 0, 0, None, (), is_whole=True)
    for vm in NAMES[1:4]:
        reply = ReadBackReply(0, 3, Outcome.DONE, 7, 'i', view)
        witness.receive(vm, reply, 9)
    refused = witness.handle(fence_request, 9, WALL_START)
    assert (refused.outcome, refused.newest) == (Outcome.STALE, 7)


def _install_after_check(
    fences: tuple[WitnessSet, ...], installed: int
) -> Outcome:
    """Installs list 3 at a witness that has checked list 1 for later lists.

    The witnesses of list 1 report the given fences and installed revision.
    """
    witness = Witness('vm9', 'i', 0, WALL_START, CONFIG)
    earlier = Placement.from_vm_list(make_list(1, NAMES[:5]), CONFIG)
    witness.adopt(earlier, 0)
    witness.tick(9)
    view = ShardView(fences, installed, 0, None, (), is_whole=True)
    for vm in earlier.witnesses(0)[:3]:
        reply = ReadBackReply(0, 1, Outcome.DONE, 1, 'i', view)
        witness.receive(vm, reply, 9)
    witness.tick(10)
    names = (*NAMES[:4], 'vm9')
    witness.adopt(Placement.from_vm_list(make_list(3, names), CONFIG), 10)
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
def test_a_new_witness_installs_at_once_if_no_later_list_was_fenced(
    fences: tuple[WitnessSet, ...],
    installed: int,
    outcome: Outcome,
) -> None:
    assert _install_after_check(fences, installed) is outcome


def test_a_witness_votes_for_no_lease_just_after_its_read_back() -> None:
    witness = Witness('vm0', 'i', 0, WALL_START, CONFIG)
    placement = Placement.from_vm_list(make_list(1, NAMES[:3]), CONFIG)
    witness.adopt(placement, 0)
    view = ShardView((), 1, 0, None, (), is_whole=True)
    for vm in ('vm1', 'vm2'):
        reply = ReadBackReply(0, 1, Outcome.DONE, 1, 'i', view)
        witness.receive(vm, reply, 10)
    request = LeaseRequest(0, 1, 'vm1', 'i', 1, LeaseAction.ACQUIRE)
    times = (10, 10 + CONFIG.lease_term, 10 + CONFIG.abstention)
    replies = [witness.handle(request, now, WALL_START) for now in times]
    outcomes = [reply.outcome for reply in replies]
    assert outcomes == [Outcome.HELD, Outcome.HELD, Outcome.DONE]


def test_an_installation_ends_the_votes_under_earlier_lists() -> None:
    witness = _make_installed_witness()
    _request_lease(witness, 'vm1', 1, LeaseAction.ACQUIRE)
    witness.adopt(Placement.from_vm_list(make_list(2, ('vm0',)), CONFIG), 21)
    witness.tick(21)
    install = InstallRequest(0, 2, ('vm0',), 'vm2', 'i', 0, False, ())
    witness.handle(install, 21, WALL_START)
    look_request = LeaseRequest(0, 2, 'vm2', 'i', 1, LeaseAction.LOOK)
    assert witness.handle(look_request, 22, WALL_START).outcome is Outcome.FREE
