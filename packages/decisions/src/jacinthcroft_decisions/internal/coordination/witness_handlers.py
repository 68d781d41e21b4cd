"""The witness's request handlers, registered by class of request.

A witness votes on leases and claims of a shard under one revision of the VM
list. The driver, the VM that activates a newer list, fences the witnesses of
earlier lists, which then refuse lower revisions, and installs those of the new
list. A restarted witness abstains at first, and then serves a list only once
its state is whole: read back from others, so that no vote is missing.

A handler gets the time on the boot clock as `now` and in Unix seconds as
`wall_time`.
"""

from collections.abc import Callable
from typing import Any, TypeAlias

from jacinthcroft_decisions.internal.coordination import claim_votes
from jacinthcroft_decisions.internal.coordination.history_messages import (
    CoordinationReply,
    CoordinationRequest,
    HistoryReply,
    HistoryRequest,
)
from jacinthcroft_decisions.internal.coordination.messages import (
    ClaimReply,
    ClaimRequest,
    FenceReply,
    FenceRequest,
    InstallReply,
    InstallRequest,
    LeaseAction,
    LeaseReply,
    LeaseRequest,
    Outcome,
    ReadBackReply,
    ReadBackRequest,
    SettleReply,
    SettleRequest,
)
from jacinthcroft_decisions.internal.coordination.witness_sets import (
    WitnessSet,
)
from jacinthcroft_decisions.internal.coordination.witness_state import (
    WitnessState,
)

_Handler: TypeAlias = Callable[
    [WitnessState, Any, float, float],
    CoordinationReply,
]

_HANDLERS: dict[type, _Handler] = {}


def handle(
    state: WitnessState,
    request: CoordinationRequest,
    now: float,
    wall_time: float,
) -> CoordinationReply:
    """Answers a request with the handler registered for its class."""
    return _HANDLERS[type(request)](state, request, now, wall_time)


def _register_handler(request_class: type) -> Callable[[_Handler], _Handler]:
    def decorator(handler: _Handler) -> _Handler:
        _HANDLERS[request_class] = handler
        return handler

    return decorator


@_register_handler(HistoryRequest)
def _answer_history(
    state: WitnessState,
    request: HistoryRequest,
    now: float,
    wall_time: float,
) -> HistoryReply:
    return HistoryReply(
        request.revision,
        Outcome.ABSTAINING if state.is_abstaining(now) else Outcome.DONE,
        state.adopted_revision,
        tuple(sorted(state.revisions)),
    )


@_register_handler(FenceRequest)
def _answer_fence(
    state: WitnessState,
    request: FenceRequest,
    now: float,
    wall_time: float,
) -> FenceReply:
    shard_state = state.shard_state(request.shard)
    outcome = Outcome.DONE
    view = None
    is_whole = state.is_whole_for(
        request.shard,
        request.earlier.revision,
        now,
    )
    if shard_state.is_stale(request.revision):
        outcome = Outcome.STALE
    elif state.is_abstaining(now) or not is_whole:
        outcome = Outcome.ABSTAINING
        state.start_read_back(
            request.shard,
            request.earlier.revision,
            request.earlier.vms,
        )
    else:
        shard_state.fence(WitnessSet(request.revision, request.witnesses))
        view = state.view(request.shard, now)
    return FenceReply(
        request.shard,
        request.revision,
        outcome,
        state.newest_revision(request.shard),
        request.earlier.revision,
        view,
    )


@_register_handler(InstallRequest)
def _answer_install(
    state: WitnessState,
    request: InstallRequest,
    now: float,
    wall_time: float,
) -> InstallReply:
    shard_state = state.shard_state(request.shard)
    outcome = _check_revision(state, request.shard, request.revision, now)
    is_whole = state.is_whole_for(request.shard, request.revision, now)
    if outcome is Outcome.NOT_INSTALLED and is_whole:
        outcome = Outcome.DONE
        vouch_from = max(request.vouch_from, state.newest_earlier_key_time)
        # Earlier records may be lost, so keys created up to now are refused.
        if request.is_cold:
            vouch_from = max(vouch_from, wall_time + state.config.vouch_margin)
        shard_state.install(request, vouch_from)
        shard_state.lease.grant_to_driver(
            request.driver,
            request.incarnation,
            now + state.config.lease_term,
        )
    return InstallReply(
        request.shard,
        request.revision,
        outcome,
        state.newest_revision(request.shard),
    )


@_register_handler(LeaseRequest)
def _answer_lease(
    state: WitnessState,
    request: LeaseRequest,
    now: float,
    wall_time: float,
) -> LeaseReply:
    shard_state = state.shard_state(request.shard)
    outcome = _check_revision(state, request.shard, request.revision, now)
    if request.action is LeaseAction.RELEASE or outcome is Outcome.DONE:
        lease_until = now + state.config.lease_term
        outcome = shard_state.lease.apply(request, now, lease_until)
    return LeaseReply(
        request.shard,
        request.revision,
        outcome,
        state.newest_revision(request.shard),
        shard_state.lease.view(now),
    )


@_register_handler(ReadBackRequest)
def _answer_read_back(
    state: WitnessState,
    request: ReadBackRequest,
    now: float,
    wall_time: float,
) -> ReadBackReply:
    state.start_read_back(request.shard, request.revision, request.witnesses)
    view = None
    outcome = Outcome.ABSTAINING
    if not state.is_abstaining(now):
        outcome = Outcome.DONE
        view = state.view(
            request.shard,
            now,
            has_records=request.wants_records,
        )
    return ReadBackReply(
        request.shard,
        request.revision,
        outcome,
        state.newest_revision(request.shard),
        request.incarnation,
        view,
    )


@_register_handler(ClaimRequest)
def _answer_claim(
    state: WitnessState,
    request: ClaimRequest,
    now: float,
    wall_time: float,
) -> ClaimReply:
    shard_state = state.shard_state(request.shard)
    outcome = _check_revision(state, request.shard, request.revision, now)
    answer = None
    if outcome is Outcome.DONE:
        vote = claim_votes.vote_on_claim(
            shard_state, request, wall_time, state.config
        )
        outcome = vote.outcome
        answer = vote.answer
    return ClaimReply(
        request.shard,
        request.revision,
        outcome,
        state.newest_revision(request.shard),
        request.claimer,
        answer,
    )


@_register_handler(SettleRequest)
def _answer_settle(
    state: WitnessState,
    request: SettleRequest,
    now: float,
    wall_time: float,
) -> SettleReply:
    """Records how a claim ended: with an answer, or released."""
    claim_votes.settle(state.shard_state(request.shard), request, wall_time)
    return SettleReply(
        request.shard,
        request.revision,
        Outcome.DONE,
        state.newest_revision(request.shard),
    )


def _check_revision(
    state: WitnessState,
    shard: int,
    revision: int,
    now: float,
) -> Outcome:
    """Returns DONE if the witness serves the shard at the revision.

    Any other outcome is the reason why it does not.
    """
    shard_state = state.shard_state(shard)
    if state.is_abstaining(now):
        return Outcome.ABSTAINING
    if shard_state.is_stale(revision):
        return Outcome.STALE
    is_installed = shard_state.installed == revision
    return Outcome.DONE if is_installed else Outcome.NOT_INSTALLED
