"""Requests decisions from the deciding VM and reports how attempts ended.

The deciding VM may be this VM itself.
"""

import asyncio
import itertools
from collections.abc import Callable
from typing import Final

from attrs import define, evolve, field
from jacinthcroft_decisions.dispatch import (
    Ask,
    Decider,
    Decision,
    Grant,
    Outcome,
    Report,
)
from jacinthcroft_decisions.membership import Leadership
from jacinthcroft_http import now

from jacinthcroft_daemon.internal.seeded.datagrams import Datagrams
from jacinthcroft_daemon.internal.seeded.wire import pack_ask, pack_report

# Delays before an unanswered ask is sent again; the last one is repeated. A
# decision takes two trips between zones and some processing.
RESEND_INTERVALS_SECONDS: Final = (0.05, 0.1, 0.15, 0.2)
# The delay once the deciding VM has said that the ask is queued.
QUEUED_RESEND_INTERVAL_SECONDS: Final = 0.5
# The deciding VM is suspected after more unanswered sends of an ask than this.
MAX_UNANSWERED_SENDS: Final = 3


@define(eq=False)
class _PendingAsk:
    """An ask without a decision; times are on this VM's clock.

    `done` gets the decision. `sent` counts the datagrams sent to the current
    deciding VM.
    """

    ask: Ask
    expires: float
    objective_at: float
    done: asyncio.Future[Decision]
    sent: int = 0
    is_queued: bool = False
    resend_timer: asyncio.TimerHandle | None = None


@define(eq=False)
class RunningAttempt:
    """A granted attempt that has not ended; `since` is when it was granted."""

    ask: Ask
    target_id: str
    since: float
    expires: float


@define(eq=False)
class DecisionClient:
    """The pending asks and running attempts of this VM."""

    _decider: Decider
    _leadership: Leadership
    _datagrams: Datagrams
    _zone: str
    _numbers: 'itertools.count[int]'
    _deliver: Callable[[Decision], None]
    _pending: dict[int, _PendingAsk] = field(factory=dict)
    running_attempts: dict[int, RunningAttempt] = field(factory=dict)

    @property
    def decider_host(self) -> str:
        """The host of the deciding VM, or 'none'."""
        return self._leadership.leader or 'none'

    def next_number(self) -> int:
        """Returns a number that no ask of this process has used."""
        return next(self._numbers)

    async def request_decision(self, ask: Ask) -> Decision | None:
        """Returns the decision, or None if it did not come in time."""
        loop = asyncio.get_running_loop()
        asked_at = now()
        pending = _PendingAsk(
            ask,
            asked_at + ask.time_left,
            asked_at + ask.objective_left,
            loop.create_future(),
        )
        self._pending[ask.number] = pending
        self._send_ask(pending)
        try:
            async with asyncio.timeout(ask.time_left):
                decision = await pending.done
        except TimeoutError:
            self._abandon(pending)
            return None
        except BaseException:
            self._abandon(pending)
            raise
        self._remove(pending)
        if isinstance(decision, Grant):
            self.running_attempts[ask.number] = RunningAttempt(
                ask,
                decision.target_id,
                now(),
                pending.expires,
            )
        return decision

    def report_outcome(
        self,
        number: int,
        outcome: Outcome,
        seconds: float,
        *,
        used_idle_connection: bool = False,
    ) -> None:
        """Reports to the deciding VM how an attempt ended."""
        self.running_attempts.pop(number, None)
        key = (self._leadership.local_peer.host, number)
        self._send_report(Report(key, outcome, seconds, used_idle_connection))

    def handle_decision(self, decision: Decision) -> None:
        """Passes a decision to the request that waits for it."""
        pending = self._pending.get(decision.key[1])
        if pending is not None and not pending.done.done():
            pending.done.set_result(decision)
            return
        is_used = (
            pending is not None or decision.key[1] in self.running_attempts
        )
        if isinstance(decision, Grant) and not is_used:
            # The request was abandoned meanwhile and will not use the grant.
            self._send_report(Report(decision.key, Outcome.ABANDONED, 0))

    def mark_queued(self, number: int) -> None:
        """Records that the deciding VM has queued an ask."""
        pending = self._pending.get(number)
        if pending is not None:
            pending.is_queued = True

    def resend_pending(self) -> None:
        """Sends all pending asks to the current deciding VM."""
        for pending in tuple(self._pending.values()):
            pending.sent = 0
            pending.is_queued = False
            self._send_ask(pending)

    def _send_ask(self, pending: _PendingAsk) -> None:
        if pending.done.done():
            return
        leader = self._leadership.leader
        at = now()
        ask = evolve(
            pending.ask,
            time_left=pending.expires - at,
            objective_left=pending.objective_at - at,
        )
        if pending.resend_timer is not None:
            pending.resend_timer.cancel()
        if leader == self._leadership.local_peer.host:
            self._decide_locally(pending, ask)
        elif leader is not None:
            self._datagrams.send(leader, pack_ask(ask))
            pending.sent += 1
            if pending.sent > MAX_UNANSWERED_SENDS and not pending.is_queued:
                self._leadership.suspect_leader(at)
        self._schedule_resend(pending)

    def _decide_locally(self, pending: _PendingAsk, ask: Ask) -> None:
        decision = self._decider.decide(ask, self._zone, now())
        pending.is_queued = True
        if decision is not None:
            self.handle_decision(decision)

    def _schedule_resend(self, pending: _PendingAsk) -> None:
        index = min(pending.sent, len(RESEND_INTERVALS_SECONDS)) - 1
        delay = RESEND_INTERVALS_SECONDS[max(0, index)]
        if pending.is_queued:
            delay = QUEUED_RESEND_INTERVAL_SECONDS
        loop = asyncio.get_running_loop()
        pending.resend_timer = loop.call_later(delay, self._send_ask, pending)

    def _abandon(self, pending: _PendingAsk) -> None:
        self._remove(pending)
        key = (self._leadership.local_peer.host, pending.ask.number)
        self._send_report(Report(key, Outcome.ABANDONED, 0))

    def _remove(self, pending: _PendingAsk) -> None:
        self._pending.pop(pending.ask.number, None)
        if pending.resend_timer is not None:
            pending.resend_timer.cancel()

    def _send_report(self, report: Report) -> None:
        leader = self._leadership.leader
        if leader == self._leadership.local_peer.host:
            for decision in self._decider.handle_report(report, now()):
                self._deliver(decision)
        elif leader is not None:
            self._datagrams.send(leader, pack_report(report))
