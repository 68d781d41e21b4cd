"""Chooses the target for an ask.

Targets on trial come first, since they get one request at a time and must
be tried to return; suspects come last. Otherwise the least loaded target is
taken, then one in the asker's zone, then any.
"""

from random import Random

from attrs import frozen

from jacinthcroft_decisions.internal.traffic.ask_queue import (
    AskQueue,
    WaitingAsk,
)
from jacinthcroft_decisions.internal.traffic.permit_messages import PermitAsk
from jacinthcroft_decisions.internal.traffic.target_health import Standing
from jacinthcroft_decisions.internal.traffic.target_pool import TargetPool


@frozen
class Pick:
    """An ask and the target that has a slot for it."""

    waiting: WaitingAsk
    target: str


@frozen(order=True)
class _Preference:
    """Orders fitting targets; the smallest is taken."""

    is_untried: bool
    is_suspect: bool
    load: float
    is_other_zone: bool
    tie_breaker: float


class TargetChoice:
    """Matches waiting asks with targets that have room."""

    def __init__(self, pool: TargetPool, random: Random) -> None:
        """Chooses among a pool's targets."""
        self._pool = pool
        self._random = random

    def next_pick(self, queue: AskQueue, now: float) -> Pick | None:
        """Returns the first ask in order of turns that has a target."""
        pool = self._pool
        if not any(pool.has_slot(name, now) for name in pool.targets):
            return None
        for waiting in queue.in_order():
            if waiting.deadline <= now:
                continue
            target = self.choose(waiting.ask, now)
            if target is not None:
                return Pick(waiting, target)
        return None

    def choose(self, ask: PermitAsk, now: float) -> str | None:
        """Returns the target for an ask, if any has room."""
        preferences = {
            name: self._preference(name, ask, now)
            for name in self._pool.targets
            if self._is_fitting(name, ask, now)
        }
        return min(preferences, key=preferences.__getitem__, default=None)

    def _is_fitting(self, name: str, ask: PermitAsk, now: float) -> bool:
        if not self._pool.has_slot(name, now):
            return False
        return self._pool.health.may_reach(name, ask.vm, ask.zone, now)

    def _preference(
        self,
        name: str,
        ask: PermitAsk,
        now: float,
    ) -> _Preference:
        health = self._pool.health.roster[name]
        known = self._pool.targets[name]
        return _Preference(
            is_untried=health.standing is not Standing.TRIAL,
            is_suspect=health.scores.is_suspect(now),
            load=known.slots.running / self._pool.allowed(name, now),
            is_other_zone=known.target.zone != ask.zone,
            tie_breaker=self._random.random(),
        )
