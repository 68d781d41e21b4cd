"""Claims idempotency keys at their witnesses and settles the claims.

A request with an idempotency key runs only if a majority of the key's
witnesses records its claim. Settling tells the witnesses how the claim ended.
"""

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
# Witnesses keep a limited number of released claims for each key, so one
# request may leave only this many.
_MAX_RECORDED_CLAIMS: Final = 2
_CLAIM_RETRY_SECONDS: Final = 0.1
_MAX_SETTLE_ATTEMPTS: Final = 3
_SETTLE_TIMEOUT_SECONDS: Final = 1.0
_SETTLE_RETRY_SECONDS: Final = 0.2


class ClaimService:
    """Claims keys at the witnesses that the newest VM list gives them."""

    def __init__(
        self,
        view: FleetView,
        coordination: CoordinationService,
    ) -> None:
        """Sends messages to witnesses through `coordination`."""
        self._view = view
        self._coordination = coordination
        self._background_tasks: set[asyncio.Task[None]] = set()

    async def claim_key(
        self,
        key: str,
        deadline: float,
    ) -> tuple[Claim, ClaimVerdict]:
        """Returns the claim and its verdict.

        Witnesses refuse every claim while they adopt a newer VM list. The
        claim is then repeated until `deadline`.
        """
        recorded_claims = 0
        while True:
            claim, verdict = await self._claim_once(key)
            recorded_claims += not claim.is_unrecorded
            is_unavailable = isinstance(verdict, ClaimUnavailable)
            may_retry = (
                claim.is_majority_impossible
                and recorded_claims < _MAX_RECORDED_CLAIMS
            )
            retry_at = now() + _CLAIM_RETRY_SECONDS
            if not is_unavailable or not may_retry or retry_at >= deadline:
                return claim, verdict
            await asyncio.sleep(_CLAIM_RETRY_SECONDS)

    async def _claim_once(self, key: str) -> tuple[Claim, ClaimVerdict]:
        claim = Claim.start(
            key,
            f'{self._view.vm}-{secrets.token_hex(_CLAIM_ID_BYTES)}',
            self._view.placement,
            self._view.coordination_config,
            now(),
        )
        timeout = self._view.coordination_config.claim_timeout
        request_tasks = {
            asyncio.create_task(self._request_vote(claim, outgoing, timeout))
            for outgoing in claim.requests()
        }
        verdict = await self._wait_for_verdict(claim, request_tasks)
        # Requests that are still unanswered are not cancelled, because every
        # witness should record the claim.
        self._background_tasks.update(request_tasks)
        for task in request_tasks:
            task.add_done_callback(self._background_tasks.discard)
        if isinstance(verdict, ClaimUnavailable) and request_tasks:
            # If the remaining witnesses refuse as well, no witness has
            # recorded the claim and it need not be released.
            remaining_seconds = max(claim.ends_at - now(), 0)
            await asyncio.wait(request_tasks, timeout=remaining_seconds)
        if not isinstance(verdict, ClaimGranted) and not claim.is_unrecorded:
            # Recorded votes for this claim would block later claims of the
            # same key.
            self.settle_released(claim)
        return claim, verdict

    async def _wait_for_verdict(
        self,
        claim: Claim,
        request_tasks: set[asyncio.Task[None]],
    ) -> ClaimVerdict:
        """Waits until enough witnesses have replied to decide the claim."""
        pending = request_tasks
        verdict = claim.verdict(now())
        while verdict is None and pending:
            done, pending = await asyncio.wait(
                pending,
                timeout=max(claim.ends_at - now(), 0),
                return_when=asyncio.FIRST_COMPLETED,
            )
            verdict = claim.verdict(now())
            if not done:
                break
        return verdict or ClaimUnavailable()

    def settle_released(self, claim: Claim) -> None:
        """Tells the witnesses that this claim's request will never run."""
        self._send_settlements(claim.settle_released(self._view.placement))

    def settle_answered(self, claim: Claim, answer: RecordedAnswer) -> None:
        """Sends the answer to the witnesses, which return it to resends."""
        placement = self._view.placement
        self._send_settlements(claim.settle_answered(answer, placement))

    async def finish_settling(self) -> None:
        """Waits until no claim request or settlement is in flight."""
        while self._background_tasks:
            await asyncio.wait(self._background_tasks)

    def _send_settlements(self, settlements: Iterable[Outgoing]) -> None:
        for outgoing in settlements:
            task = asyncio.create_task(self._send_settlement(outgoing))
            self._background_tasks.add(task)
            task.add_done_callback(self._background_tasks.discard)

    async def _send_settlement(self, outgoing: Outgoing) -> None:
        for _ in range(_MAX_SETTLE_ATTEMPTS):
            reply = await self._coordination.ask_witness(
                outgoing,
                _SETTLE_TIMEOUT_SECONDS,
            )
            if reply is not None:
                return
            await asyncio.sleep(_SETTLE_RETRY_SECONDS)

    async def _request_vote(
        self,
        claim: Claim,
        outgoing: Outgoing,
        timeout: float,
    ) -> None:
        reply = await self._coordination.ask_witness(outgoing, timeout)
        if reply is not None:
            claim.receive(outgoing.to, reply, now())
