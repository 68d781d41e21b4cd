"""Claims idempotency keys at their witnesses, and settles them."""

import asyncio
import secrets
from collections.abc import Iterable
from typing import Final

from jacinthcroft_decisions.coordination import (
    Claim,
    ClaimGranted,
    ClaimUnavailable,
    ClaimVerdict,
    Outgoing,
    RecordedAnswer,
)
from jacinthcroft_http import now

from jacinthcroft_daemon.internal.fleet.view import FleetView
from jacinthcroft_daemon.internal.sharing.coordination import (
    CoordinationService,
)

_CLAIM_ID_BYTES: Final = 12
# A key has room for a number of released claims; one sending may use so many.
_MAX_TRACES: Final = 2
_REPEAT_PAUSE_SECONDS: Final = 0.1
_SETTLE_TRIES: Final = 3
_SETTLE_TIMEOUT_SECONDS: Final = 1.0
_SETTLE_PAUSE_SECONDS: Final = 0.2


class ClaimService:
    """Runs claims against the witnesses of the newest list."""

    def __init__(
        self,
        view: FleetView,
        coordination: CoordinationService,
    ) -> None:
        """Asks witnesses through the coordination service."""
        self._view = view
        self._coordination = coordination
        self._settling: set[asyncio.Task[None]] = set()

    async def claim_key(
        self,
        thing: str,
        deadline: float,
    ) -> tuple[Claim, ClaimVerdict]:
        """Returns the claim and its verdict once it is certain.

        While the key's witnesses pass to a newer list they turn every claim
        away. It is made anew then, as a resend would be, until `deadline`.
        """
        traces = 0
        while True:
            claim, verdict = await self._claim_once(thing)
            traces += not claim.is_unrecorded
            is_passing = isinstance(verdict, ClaimUnavailable)
            may_repeat = claim.is_majority_impossible and traces < _MAX_TRACES
            again_at = now() + _REPEAT_PAUSE_SECONDS
            if not is_passing or not may_repeat or again_at >= deadline:
                return claim, verdict
            await asyncio.sleep(_REPEAT_PAUSE_SECONDS)

    async def _claim_once(self, thing: str) -> tuple[Claim, ClaimVerdict]:
        claim = Claim.start(
            thing,
            f'{self._view.vm}-{secrets.token_hex(_CLAIM_ID_BYTES)}',
            self._view.placement,
            self._view.coordination_config,
            now(),
        )
        timeout = self._view.coordination_config.claim_timeout
        asking = {
            asyncio.create_task(self._ask_one(claim, outgoing, timeout))
            for outgoing in claim.requests()
        }
        verdict = await self._verdict(claim, asking)
        # The rest may still arrive at their witnesses: every one of them
        # shall hold the record, so they are not cancelled.
        self._settling.update(asking)
        for task in asking:
            task.add_done_callback(self._settling.discard)
        if isinstance(verdict, ClaimUnavailable) and asking:
            # Whoever turns it away leaves nothing to release.
            left = max(claim.ends_at - now(), 0)
            await asyncio.wait(asking, timeout=left)
        if not isinstance(verdict, ClaimGranted) and not claim.is_unrecorded:
            # What votes it got stand in the way of later sendings.
            self.settle_released(claim)
        return claim, verdict

    async def _verdict(
        self,
        claim: Claim,
        asking: set[asyncio.Task[None]],
    ) -> ClaimVerdict:
        """Waits for as few witnesses as decide the claim."""
        waiting = asking
        verdict = claim.verdict(now())
        while verdict is None and waiting:
            done, waiting = await asyncio.wait(
                waiting,
                timeout=max(claim.ends_at - now(), 0),
                return_when=asyncio.FIRST_COMPLETED,
            )
            verdict = claim.verdict(now())
            if not done:
                break
        return verdict or ClaimUnavailable()

    def settle_released(self, claim: Claim) -> None:
        """Tells the witnesses that this claim never will be dispatched."""
        self._settle(claim.settle_released(self._view.placement))

    def settle_answered(self, claim: Claim, answer: RecordedAnswer) -> None:
        """Lets the witnesses keep the answer for resends."""
        placement = self._view.placement
        self._settle(claim.settle_answered(answer, placement))

    async def finish_settling(self) -> None:
        """Waits until the settlements under way have been tried."""
        while self._settling:
            await asyncio.wait(self._settling)

    def _settle(self, settlements: Iterable[Outgoing]) -> None:
        for outgoing in settlements:
            task = asyncio.create_task(self._settle_one(outgoing))
            self._settling.add(task)
            task.add_done_callback(self._settling.discard)

    async def _settle_one(self, outgoing: Outgoing) -> None:
        for _ in range(_SETTLE_TRIES):
            reply = await self._coordination.ask_witness(
                outgoing,
                _SETTLE_TIMEOUT_SECONDS,
            )
            if reply is not None:
                return
            await asyncio.sleep(_SETTLE_PAUSE_SECONDS)

    async def _ask_one(
        self,
        claim: Claim,
        outgoing: Outgoing,
        timeout: float,
    ) -> None:
        reply = await self._coordination.ask_witness(outgoing, timeout)
        if reply is not None:
            claim.receive(outgoing.to, reply, now())
