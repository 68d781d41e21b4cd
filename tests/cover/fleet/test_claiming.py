"""How a VM claims a key while its witnesses adopt a newer VM list."""

import asyncio
from collections.abc import Coroutine, Sequence

import pytest
from jacinthcroft_config import Tunables
from jacinthcroft_daemon.internal.fleet.view import FleetView
from jacinthcroft_daemon.internal.peers import PeerClient, Signer
from jacinthcroft_daemon.internal.sharing.claims import ClaimService
from jacinthcroft_daemon.internal.sharing.coordination import (
    CoordinationService,
)
from jacinthcroft_decisions.coordination import (
    ClaimAnswered,
    ClaimGranted,
    ClaimReply,
    ClaimRequest,
    ClaimRunning,
    ClaimUnavailable,
    ClaimVerdict,
    CoordinationConfig,
    CoordinationReply,
    Outcome,
    Outgoing,
    RecordedAnswer,
    SettleReply,
    SettleRequest,
)
from jacinthcroft_http import ConnectionPool, PoolLimits, now

from tests.cover.coordination.shard_simulation import make_list

_VMS = tuple(f'vm{number}' for number in range(6))
_KEY = 'key:transfers/app/01a240b2-0ea6-7bcb-ad09-4462bcb5d0e3'
_ALL_REFUSE = (Outcome.NOT_INSTALLED,) * 5
_ALL_GRANT = (Outcome.DONE,) * 5
_ANSWER = RecordedAnswer(200, (), '')


class _Witnesses(CoordinationService):
    """Replies to claim requests with the given votes, in order.

    A witness whose vote is None never replies.
    """

    def __init__(
        self, view: FleetView, *rounds: Sequence[Outcome | None]
    ) -> None:
        peers = PeerClient(
            'vm0',
            Signer(b'secret'),
            ConnectionPool.from_limits(PoolLimits()),
            lambda _: None,
        )
        super().__init__(
            view, Tunables(), peers, 'i', now(), _ignore_missing_lists
        )
        self.claim_count = 0
        self.settlement_count = 0
        self._votes = [vote for votes in rounds for vote in votes]

    async def ask_witness(
        self,
        outgoing: Outgoing,
        timeout: float,
    ) -> CoordinationReply | None:
        message = outgoing.message
        if isinstance(message, SettleRequest):
            self.settlement_count += 1
            return SettleReply(message.shard, 1, Outcome.DONE, 1)
        assert isinstance(message, ClaimRequest)
        self.claim_count += 1
        vote = self._votes.pop(0)
        if vote is None:
            await asyncio.Event().wait()
        assert vote is not None
        return ClaimReply(
            message.shard,
            message.revision,
            vote,
            message.revision,
            message.claimer,
            _ANSWER if vote is Outcome.ANSWERED else None,
        )


def _ignore_missing_lists() -> None:
    """Replaces the request to peers for earlier lists."""


def _make_view() -> FleetView:
    view = FleetView('vm0', 'z0', CoordinationConfig(), now())
    view.adopt_list(make_list(1, _VMS), '')
    return view


async def _claim_within(
    witnesses: _Witnesses,
    view: FleetView,
    seconds: float,
) -> object:
    claims = ClaimService(view, witnesses)
    _, verdict = await claims.claim_key(_KEY, now() + seconds)
    await claims.finish_settling()
    return verdict


def test_claim_is_repeated_after_all_witnesses_refused() -> None:
    async def scenario() -> None:
        view = _make_view()
        rounds = (_ALL_REFUSE, _ALL_REFUSE, _ALL_REFUSE, _ALL_GRANT)
        witnesses = _Witnesses(view, *rounds)
        verdict = await _claim_within(witnesses, view, 10)
        assert verdict == ClaimGranted()
        assert witnesses.settlement_count == 0

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_claim_that_was_recorded_is_repeated_only_once() -> None:
    async def scenario() -> None:
        view = _make_view()
        one_recorded = (Outcome.DONE, *_ALL_REFUSE[1:])
        witnesses = _Witnesses(view, one_recorded, one_recorded, _ALL_GRANT)
        verdict = await _claim_within(witnesses, view, 10)
        assert verdict == ClaimUnavailable()
        assert witnesses.claim_count == 10

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_claim_is_not_repeated_after_the_deadline() -> None:
    async def scenario() -> None:
        view = _make_view()
        witnesses = _Witnesses(view, _ALL_REFUSE)
        verdict = await _claim_within(witnesses, view, 0)
        assert verdict == ClaimUnavailable()
        assert witnesses.claim_count == 5

    asyncio.run(asyncio.wait_for(scenario(), 10))


@pytest.mark.parametrize(
    ('votes', 'verdict'),
    [
        ((Outcome.DONE,) * 3 + (None,) * 2, ClaimGranted()),
        ((Outcome.RUNNING,) * 3 + (None,) * 2, ClaimRunning()),
        ((Outcome.ANSWERED,) + (None,) * 4, ClaimAnswered(_ANSWER)),
    ],
)
def test_verdict_does_not_wait_for_more_witnesses_than_needed(
    votes: Sequence[Outcome | None],
    verdict: ClaimVerdict,
) -> None:
    async def scenario() -> None:
        view = _make_view()
        claims = ClaimService(view, _Witnesses(view, votes))
        assert (await claims.claim_key(_KEY, now()))[1] == verdict

    asyncio.run(_without_timeouts(scenario()))


async def _without_timeouts(scenario: Coroutine[None, None, None]) -> None:
    """Runs a scenario on an event loop whose timers never expire."""
    loop = asyncio.get_running_loop()
    stopped_at = loop.time()
    with pytest.MonkeyPatch.context() as monkeypatch:
        monkeypatch.setattr(loop, 'time', lambda: stopped_at)
        await scenario
