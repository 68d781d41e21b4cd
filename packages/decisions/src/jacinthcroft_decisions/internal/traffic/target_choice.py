"""Chooses the target for an ask.

Targets on trial come first, since they get one request at a time and must
be tried to return; those kept only for the floor's sake come last. Mere
suspects get their share, or else nothing more would be learnt of them.
Otherwise the least loaded target is taken, then one in the asker's zone.
"""

from random import Random

from attrs import frozen

from jacinthcroft_decisions.internal.traffic.ask_queue import (
    AskQueue,
    WaitingAsk,
)
from jacinthcroft_decisions.internal.traffic.permit_messages import PermitAsk
from jacinthcroft_decisions.internal.traffic.target_health import HealthState
from jacinthcroft_decisions.internal.traffic.target_pool import TargetPool


@frozen
class Pick:
    """An ask and the target that has a slot for it."""

    waiting: WaitingAsk
    target: str


# Untried before others, withheld last, by load, own zone first, by chance.
_Preference = tuple[bool, bool, float, bool, float]


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
        preferences: dict[str, _Preference] = {}
        for name in self._pool.targets:
            allowed = self._pool.allowed(name, now)
            running = self._pool.targets[name].slots.running
            if running >= allowed:
                continue
            if self._pool.health.is_path_usable(name, ask.vm, ask.zone, now):
                load = running / allowed
                preferences[name] = self._preference(name, ask, load)
        return min(preferences, key=preferences.__getitem__, default=None)

    def _preference(
        self,
        name: str,
        ask: PermitAsk,
        load: float,
    ) -> _Preference:
        health = self._pool.health.active_targets[name]
        target = self._pool.targets[name].target
        return (
            health.state is not HealthState.TRIAL,
            self._pool.health.is_withheld(name),
            load,
            target.zone != ask.zone,
            self._random.random(),
        )
