"""Asks the deciding VM, wherever it is, and tells it how sends ended."""

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

# Seconds until an ask that nothing was heard of is sent again; the last one
# is repeated. A decision takes two trips between zones and some processing.
RESEND_SECONDS: Final = (0.05, 0.1, 0.15, 0.2)
# The same once the deciding VM has said that the ask waits.
WAITING_RESEND_SECONDS: Final = 0.5
# Unheard sendings after which the deciding VM is suspected.
SUSPECT_AFTER: Final = 3


@define(eq=False)
class _Pending:
    ask: Ask
    expires: float
    objective_at: float
    done: asyncio.Future[Decision]
    sent: int = 0
    is_waiting: bool = False
    timer: asyncio.TimerHandle | None = None


@define(eq=False)
class Sending:
    """A granted send under way; `since` is when it was granted."""

    ask: Ask
    target_id: str
    since: float
    expires: float


@define(eq=False)
class DecisionClient:
    """This VM's asks and its sends that are under way."""

    _decider: Decider
    _leadership: Leadership
    _datagrams: Datagrams
    _zone: str
    _numbers: 'itertools.count[int]'
    _deliver: Callable[[Decision], None]
    _pending: dict[int, _Pending] = field(factory=dict)
    sendings: dict[int, Sending] = field(factory=dict)

    @property
    def decider_host(self) -> str:
        """The VM that decides now."""
        return self._leadership.leader or 'none'

    def next_number(self) -> int:
        """Returns a number that no ask of this process has had."""
        return next(self._numbers)

    async def ask(self, ask: Ask) -> Decision | None:
        """Returns the decision, or None if it did not come in time."""
        loop = asyncio.get_running_loop()
        begun = now()
        pending = _Pending(
            ask,
            begun + ask.time_left,
            begun + ask.objective_left,
            loop.create_future(),
        )
        self._pending[ask.number] = pending
        self._send(pending)
        try:
            async with asyncio.timeout(ask.time_left):
                decision = await pending.done
        except TimeoutError:
            self._give_up(pending)
            return None
        except BaseException:
            self._give_up(pending)
            raise
        self._end(pending)
        if isinstance(decision, Grant):
            self.sendings[ask.number] = Sending(
                ask,
                decision.target_id,
                now(),
                pending.expires,
            )
        return decision

    def report(
        self,
        number: int,
        outcome: Outcome,
        seconds: float,
        *,
        was_rested: bool = False,
    ) -> None:
        """Tells the deciding VM how a send ended."""
        self.sendings.pop(number, None)
        key = (self._leadership.local_peer.host, number)
        self._tell(Report(key, outcome, seconds, was_rested))

    def take(self, decision: Decision) -> None:
        """Takes in a decision for this VM."""
        pending = self._pending.get(decision.key[1])
        if pending is not None and not pending.done.done():
            pending.done.set_result(decision)
            return
        is_used = pending is not None or decision.key[1] in self.sendings
        if isinstance(decision, Grant) and not is_used:
            # The request has been given up meanwhile.
            self._tell(Report(decision.key, Outcome.ABANDONED, 0))

    def note_waiting(self, number: int) -> None:
        """Notes that the deciding VM has an ask in its queue."""
        pending = self._pending.get(number)
        if pending is not None:
            pending.is_waiting = True

    def ask_again(self) -> None:
        """Sends all open asks to the VM that decides now."""
        for pending in tuple(self._pending.values()):
            pending.sent = 0
            pending.is_waiting = False
            self._send(pending)

    def _send(self, pending: _Pending) -> None:
        if pending.done.done():
            return
        leader = self._leadership.leader
        at = now()
        ask = evolve(
            pending.ask,
            time_left=pending.expires - at,
            objective_left=pending.objective_at - at,
        )
        if pending.timer is not None:
            pending.timer.cancel()
        if leader == self._leadership.local_peer.host:
            self._decide_here(pending, ask)
        elif leader is not None:
            self._datagrams.send(leader, pack_ask(ask))
            pending.sent += 1
            if pending.sent > SUSPECT_AFTER and not pending.is_waiting:
                self._leadership.suspect_leader(at)
        self._schedule(pending)

    def _decide_here(self, pending: _Pending, ask: Ask) -> None:
        decision = self._decider.decide(ask, self._zone, now())
        pending.is_waiting = True
        if decision is not None:
            self.take(decision)

    def _schedule(self, pending: _Pending) -> None:
        step = min(pending.sent, len(RESEND_SECONDS)) - 1
        wait = RESEND_SECONDS[max(0, step)]
        if pending.is_waiting:
            wait = WAITING_RESEND_SECONDS
        loop = asyncio.get_running_loop()
        pending.timer = loop.call_later(wait, self._send, pending)

    def _give_up(self, pending: _Pending) -> None:
        self._end(pending)
        key = (self._leadership.local_peer.host, pending.ask.number)
        self._tell(Report(key, Outcome.ABANDONED, 0))

    def _end(self, pending: _Pending) -> None:
        self._pending.pop(pending.ask.number, None)
        if pending.timer is not None:
            pending.timer.cancel()

    def _tell(self, report: Report) -> None:
        leader = self._leadership.leader
        if leader == self._leadership.local_peer.host:
            for decision in self._decider.handle_report(report, now()):
                self._deliver(decision)
        elif leader is not None:
            self._datagrams.send(leader, pack_report(report))
