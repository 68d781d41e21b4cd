"""A service's targets under their one holder: who may run what where.

The holder grants permits under its lease. A permit takes a slot of its
target until it is returned, or else until the latest moment at which a run
begun on it can still go on, so that a target never has more requests than
slots, whatever messages are lost, late or doubled.

A new holder does not know its predecessor's permits. They have expired with
the predecessor's lease, and the runs begun on them end within the service's
longest deadline; until then the new holder grants nothing, unless the
predecessor handed over what it knew (`CellHandover`). Targets that it sees
for the first time are treated as cold.
"""

from collections.abc import Collection, Iterable
from random import Random
from typing import Self

from jacinthcroft_config import Service

from jacinthcroft_decisions.internal.traffic.ask_queue import AskQueue
from jacinthcroft_decisions.internal.traffic.cell_results import (
    CellEvent,
    GrantedPermit,
    QueueFull,
    TargetView,
)
from jacinthcroft_decisions.internal.traffic.cell_views import (
    build_target_views,
)
from jacinthcroft_decisions.internal.traffic.drain_checks import DrainChecks
from jacinthcroft_decisions.internal.traffic.permit_issuer import PermitIssuer
from jacinthcroft_decisions.internal.traffic.permit_messages import (
    CellHandover,
    Permit,
    PermitAsk,
    PermitRenewal,
    PermitReport,
    RunOutcome,
)
from jacinthcroft_decisions.internal.traffic.probe_scheduler import (
    PROBE_LEAD_SECONDS,
    ProbeScheduler,
)
from jacinthcroft_decisions.internal.traffic.target_choice import TargetChoice
from jacinthcroft_decisions.internal.traffic.target_pool import TargetPool

# The connection has ended at the VM; the target may learn it a moment later.
_CANCELLING = frozenset(
    (
        RunOutcome.STALLED,
        RunOutcome.CANCELLED,
        RunOutcome.RESET,
        RunOutcome.CROSSED,
    ),
)


class Cell:
    """The holder's side of one cell.

    After `enqueue` or `process_report`, call `grant_permits` and
    `drop_expired`; call `tick` several
    times a second also when nothing happens.
    """

    def __init__(
        self,
        pool: TargetPool,
        issuer: PermitIssuer,
        choice: TargetChoice,
        unknown: Iterable[str],
    ) -> None:
        """Joins the parts; use `from_config`."""
        self._pool = pool
        self._issuer = issuer
        self._choice = choice
        self._queue = AskQueue()
        self._probes = ProbeScheduler()
        self._drain_checks = DrainChecks(unknown)

    @classmethod
    def from_config(
        cls,
        service: Service,
        held_since: float,
        incarnation: str,
        random: Random,
        zones_out: Collection[str] = (),
        handover: CellHandover | None = None,
    ) -> Self:
        """Creates the cell of a holder whose lease began at `held_since`."""
        pool = TargetPool(random)
        pool.reconfigure(service, zones_out, held_since)
        issuer = PermitIssuer(service, held_since, incarnation, pool)
        if handover is not None:
            issuer.take_over(handover, held_since)
        unknown = pool.targets if handover is None else ()
        return cls(pool, issuer, TargetChoice(pool, random), unknown)

    def view_targets(self, now: float) -> tuple[TargetView, ...]:
        """Returns every listed target as the cell sees it."""
        return build_target_views(self._pool, now)

    def reconfigure(
        self,
        service: Service,
        zones_out: Collection[str],
        now: float,
    ) -> None:
        """Puts a newer service file or VM list in force."""
        self._pool.reconfigure(service, zones_out, now)
        self._issuer.reconfigure(service)

    def enqueue(self, ask: PermitAsk, now: float) -> int | QueueFull:
        """Queues an ask; returns the ticket under which it is granted."""
        self._pool.health.active.active_vms.record(ask.vm, ask.zone, now)
        return self._queue.add(ask, now)

    def cancel(self, ticket: int) -> None:
        """Drops an ask whose VM no longer waits."""
        self._queue.forget(ticket)

    def drop_expired(self, now: float) -> tuple[int, ...]:
        """Drops and returns the tickets that waited in vain."""
        return self._queue.drop_expired(now)

    def grant_permits(
        self, now: float, lease_until: float
    ) -> tuple[GrantedPermit, ...]:
        """Grants what can be granted now under the lease."""
        self._pool.tick(now)
        self._issuer.note_lease(lease_until)
        granted: list[GrantedPermit] = []
        while self._issuer.may_issue(now):
            pick = self._choice.next_pick(self._queue, now)
            if pick is None:
                break
            permit = self._issuer.issue(pick.waiting, pick.target, now)
            self._queue.serve(pick.waiting)
            granted.append(GrantedPermit(pick.waiting.ticket, permit))
        return tuple(granted)

    def process_report(
        self,
        report: PermitReport,
        now: float,
        lease_until: float | None = None,
    ) -> PermitRenewal | None:
        """Takes in a report; none recalls the permit if it was kept.

        Without `lease_until` the lease last given to `grant_permits` bounds the
        renewal.
        """
        if lease_until is not None:
            self._issuer.note_lease(lease_until)
        known = self._pool.targets.get(report.target)
        if known is None:
            return None
        self._pool.note_signs(
            report.target,
            report.boot_id,
            report.is_draining,
            now,
        )
        use = known.slots.use_of(report.permit_id)
        if use is None:
            return None
        if known.slots.is_new_run(report.permit_id, report.run_number):
            known.slots.note_run(report.permit_id, report.run_number)
            self._pool.observe(report, use, now)
        if report.is_returned:
            if report.outcome in _CANCELLING:
                known.slots.settle(report.permit_id, now)
            else:
                known.slots.release(report.permit_id)
            return None
        if len(self._queue):
            # Others wait: whoever's turn it is gets the slot.
            return None
        return self._issuer.renew(report.permit_id, report.target, now)

    def reclaim_permit(self, permit: Permit) -> None:
        """Frees the slot of a permit that its asker never got."""
        known = self._pool.targets.get(permit.target)
        if known is not None:
            known.slots.release(permit.id)

    def tick(self, now: float) -> None:
        """Does what is due: frees overdue slots, judges, begins trials."""
        self._pool.tick(now)
        for target in self._pool.health.begin_trials(now):
            self._probes.reset_target(target)

    def next_probe_target(self, now: float) -> str | None:
        """Returns the target that the one prober should ask now, if any."""
        soon = now + PROBE_LEAD_SECONDS
        health = self._pool.health
        # What restarts is watched also before, so that it returns early.
        return self._probes.next_target(
            health.find_due_trials(soon),
            now,
        ) or self._probes.next_target(health.find_restarting(), now)

    def due_drain_checks(self, now: float) -> tuple[str, ...]:
        """Returns the targets whose signs should be read by a probe.

        A new holder's first checks fall into the time in which it may not
        grant yet.
        """
        return self._drain_checks.take_due(self._pool.draining(now), now)

    def note_process_state(
        self,
        target: str,
        boot_id: str | None,
        is_draining: bool,
        now: float,
    ) -> None:
        """Takes in what a probe's answer says of the target's process."""
        if target in self._pool.targets:
            self._pool.note_signs(target, boot_id, is_draining, now)

    def note_probe_result(
        self,
        target: str,
        is_ok: bool,
        now: float,
        boot_id: str | None = None,
    ) -> None:
        """Takes in a probe's answer; a bad one holds back the trial."""
        health = self._pool.health.active.get(target)
        if health is None:
            return
        if is_ok and boot_id is not None:
            self._pool.note_probed_boot_id(target, boot_id, now)
        is_due = health.retry_at <= now + PROBE_LEAD_SECONDS
        if not is_ok and not is_due:
            # It has the rest of its pause to come back.
            return
        if self._probes.record_result(target, is_ok=is_ok):
            health.postpone_trial(now)

    def drain_events(self) -> tuple[CellEvent, ...]:
        """Returns what happened since the last call."""
        return self._pool.drain_events()

    def hand_over(self, now: float) -> CellHandover:
        """Stops granting for good; returns what the successor needs."""
        return self._issuer.hand_over(now)
