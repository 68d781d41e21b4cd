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

    async def claim(self, thing: str) -> tuple[Claim, ClaimVerdict]:
        """Returns the claim and its verdict once it is certain."""
        started_at = now()
        claim = Claim.start(
            thing,
            f'{self._view.vm}-{secrets.token_hex(_CLAIM_ID_BYTES)}',
            self._view.placement,
            self._view.terms,
            started_at,
        )
        timeout = self._view.terms.claim_timeout
        asking = {
            asyncio.create_task(self._ask_one(claim, outgoing, timeout))
            for outgoing in claim.requests()
        }
        verdict = claim.verdict(now())
        while verdict is None and asking:
            done, asking = await asyncio.wait(
                asking,
                timeout=max(started_at + timeout - now(), 0),
                return_when=asyncio.FIRST_COMPLETED,
            )
            verdict = claim.verdict(now())
            if not done:
                break
        # The rest may still arrive at their witnesses: every one of them
        # shall hold the record, so they are not cancelled.
        self._settling.update(asking)
        for task in asking:
            task.add_done_callback(self._settling.discard)
        if verdict is None:
            verdict = ClaimUnavailable()
        if not isinstance(verdict, ClaimGranted):
            # What votes it got stand in the way of later sendings.
            self.settle_released(claim)
        return claim, verdict

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
