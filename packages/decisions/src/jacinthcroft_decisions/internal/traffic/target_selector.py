"""Selects the target for a VM's request for a permit to use a target.

Targets on trial after an ejection come first: they get one request at a time,
and without it they cannot be readmitted. Targets that stay in use only because
of the ejection floor, the share of targets that must not be ejected, come last.
Targets that are merely suspect are treated like healthy ones, since without
requests nothing more is learnt about them. Among the rest the least loaded
target is selected, and among equally loaded ones a target in the zone of the
requesting VM.
"""

from random import Random

from attrs import frozen

from jacinthcroft_decisions.internal.traffic.permit_messages import (
    PermitRequest,
)
from jacinthcroft_decisions.internal.traffic.permit_queue import (
    PermitQueue,
    QueueEntry,
)
from jacinthcroft_decisions.internal.traffic.target_health import HealthState
from jacinthcroft_decisions.internal.traffic.target_pool import TargetPool


@frozen
class Assignment:
    """A queued permit request and a target with a free slot for it."""

    waiting: QueueEntry
    target: str


# The target with the smallest tuple is preferred: not on trial, ejection
# withheld, load, in another zone, random tie-breaker.
_Preference = tuple[bool, bool, float, bool, float]


class TargetSelector:
    """Matches queued permit requests with targets that have free slots."""

    def __init__(self, pool: TargetPool, random: Random) -> None:
        """Selects among the targets of a pool."""
        self._pool = pool
        self._random = random

    def select_next(self, queue: PermitQueue, now: float) -> Assignment | None:
        """Returns the first request in queue order that a target can serve."""
        pool = self._pool
        if not any(pool.has_free_slot(name, now) for name in pool.targets):
            return None
        for entry in queue.iterate_in_order():
            if entry.deadline <= now:
                continue
            target = self.select_target(entry.ask, now)
            if target is not None:
                return Assignment(entry, target)
        return None

    def select_target(
        self,
        permit_request: PermitRequest,
        now: float,
    ) -> str | None:
        """Returns the preferred target with a free slot that the VM may use."""
        preferences: dict[str, _Preference] = {}
        for name in self._pool.targets:
            permit_limit = self._pool.compute_permit_limit(name, now)
            taken = self._pool.targets[name].slots.taken_count
            if taken >= permit_limit:
                continue
            if self._pool.health.is_path_usable(
                name,
                permit_request.vm,
                permit_request.zone,
                now,
            ):
                load = taken / permit_limit
                preferences[name] = self._compute_preference(
                    name, permit_request, load
                )
        return min(preferences, key=preferences.__getitem__, default=None)

    def _compute_preference(
        self,
        name: str,
        permit_request: PermitRequest,
        load: float,
    ) -> _Preference:
        health = self._pool.health.active_targets[name]
        target = self._pool.targets[name].target
        return (
            health.state is not HealthState.TRIAL,
            self._pool.health.is_withheld(name),
            load,
            target.zone != permit_request.zone,
            self._random.random(),
        )
