"""How a VM claims a key while its witnesses pass to a newer list."""

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
_THING = 'key:transfers/app/01a240b2-0ea6-7bcb-ad09-4462bcb5d0e3'
_TURNED_AWAY = (Outcome.NOT_INSTALLED,) * 5
_GRANTED = (Outcome.DONE,) * 5
_ANSWER = RecordedAnswer(200, (), '')


class _Witnesses(CoordinationService):
    """Answers one claim after the other with the votes it was given.

    A witness whose vote is None hangs.
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
        super().__init__(view, Tunables(), peers, 'i', now(), _do_nothing)
        self.claims = 0
        self.settlements = 0
        self._votes = [vote for votes in rounds for vote in votes]

    async def ask_witness(
        self,
        outgoing: Outgoing,
        timeout: float,
    ) -> CoordinationReply | None:
        message = outgoing.message
        if isinstance(message, SettleRequest):
            self.settlements += 1
            return SettleReply(message.shard, 1, Outcome.DONE, 1)
        assert isinstance(message, ClaimRequest)
        self.claims += 1
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


def _do_nothing() -> None:
    """Stands in for asking peers for earlier lists."""


def _view() -> FleetView:
    view = FleetView('vm0', 'z0', CoordinationConfig(), now())
    view.adopt_list(make_list(1, _VMS), '')
    return view


async def _claim(
    witnesses: _Witnesses,
    view: FleetView,
    seconds: float,
) -> object:
    claims = ClaimService(view, witnesses)
    _, verdict = await claims.claim_key(_THING, now() + seconds)
    await claims.finish_settling()
    return verdict


def test_a_key_is_claimed_anew_after_its_witnesses_turned_it_away() -> None:
    async def scenario() -> None:
        view = _view()
        rounds = (_TURNED_AWAY, _TURNED_AWAY, _TURNED_AWAY, _GRANTED)
        witnesses = _Witnesses(view, *rounds)
        verdict = await _claim(witnesses, view, 10)
        assert verdict == ClaimGranted()
        assert witnesses.settlements == 0

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_a_claim_that_left_traces_is_repeated_once() -> None:
    async def scenario() -> None:
        view = _view()
        partly = (Outcome.DONE, *_TURNED_AWAY[1:])
        witnesses = _Witnesses(view, partly, partly, _GRANTED)
        verdict = await _claim(witnesses, view, 10)
        assert verdict == ClaimUnavailable()
        assert witnesses.claims == 10

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_a_key_is_not_claimed_anew_past_the_deadline() -> None:
    async def scenario() -> None:
        view = _view()
        witnesses = _Witnesses(view, _TURNED_AWAY)
        verdict = await _claim(witnesses, view, 0)
        assert verdict == ClaimUnavailable()
        assert witnesses.claims == 5

    asyncio.run(asyncio.wait_for(scenario(), 10))


@pytest.mark.parametrize(
    ('votes', 'verdict'),
    [
        ((Outcome.DONE,) * 3 + (None,) * 2, ClaimGranted()),
        ((Outcome.RUNNING,) * 3 + (None,) * 2, ClaimRunning()),
        ((Outcome.ANSWERED,) + (None,) * 4, ClaimAnswered(_ANSWER)),
    ],
)
def test_a_verdict_waits_for_no_witness_that_it_does_not_need(
    votes: Sequence[Outcome | None],
    verdict: ClaimVerdict,
) -> None:
    async def scenario() -> None:
        view = _view()
        claims = ClaimService(view, _Witnesses(view, votes))
        assert (await claims.claim_key(_THING, now()))[1] == verdict

    asyncio.run(_without_timeouts(scenario()))


async def _without_timeouts(scenario: Coroutine[None, None, None]) -> None:
    """Runs a scenario on a loop whose timers never come due."""
    loop = asyncio.get_running_loop()
    stopped = loop.time()
    with pytest.MonkeyPatch.context() as patched:
        patched.setattr(loop, 'time', lambda: stopped)
        await scenario
