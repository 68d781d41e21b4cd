"""A cell: grants VMs the permits to run requests on a service's targets.

Each service has one cell, and one VM at a time holds its lease: the holder.
A run is one request that a VM sends to a target on a permit. A permit takes a
slot of its target until it is returned, or else until the latest time at which
a run begun on it can still go on. A target thus never has more requests than
slots, even if messages are lost, late or duplicated.

A new holder does not know its predecessor's permits. They have expired with
the predecessor's lease, and the runs begun on them end within the service's
longest deadline. Until then the new holder grants nothing, unless the
predecessor handed over its state (`CellHandover`). A target without such a
state starts cold: it gets few requests at first, since it may be slow.

An ejected target gets no requests for a pause, and then one at a time (a
trial). Targets are also sent probes, requests that come from no caller.
"""

from collections.abc import Collection, Iterable
from random import Random
from typing import Self

from jacinthcroft_config import Service

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
    PermitRenewal,
    PermitReport,
    PermitRequest,
    RunOutcome,
)
from jacinthcroft_decisions.internal.traffic.permit_queue import PermitQueue
from jacinthcroft_decisions.internal.traffic.probe_scheduler import (
    PROBE_LEAD_SECONDS,
    ProbeScheduler,
)
from jacinthcroft_decisions.internal.traffic.target_pool import TargetPool
from jacinthcroft_decisions.internal.traffic.target_selector import (
    TargetSelector,
)

# After a run with one of these outcomes the VM has closed the connection, but
# the target may go on with the run until it notices.
_CLOSED_CONNECTION_OUTCOMES = frozenset(
    (
        RunOutcome.STALLED,
        RunOutcome.CANCELLED,
        RunOutcome.RESET,
        RunOutcome.CROSSED,
    ),
)


class Cell:
    """The state of one cell at its holder.

    After `enqueue` or `process_report`, call `grant_permits` and
    `drop_expired`. Call `tick` several times a second, also when nothing else
    happens.
    """

    def __init__(
        self,
        pool: TargetPool,
        issuer: PermitIssuer,
        selector: TargetSelector,
        unchecked_targets: Iterable[str],
    ) -> None:
        """Creates a cell from its parts; callers use `from_config`.

        Args:
            pool: The cell's targets.
            issuer: Issues the permits under the holder's lease.
            selector: Chooses the target for a waiting permit request.
            unchecked_targets: The targets to probe at once, to learn whether
                they drain.
        """
        self._pool = pool
        self._issuer = issuer
        self._selector = selector
        self._queue = PermitQueue()
        self._probes = ProbeScheduler()
        self._drain_checks = DrainChecks(unchecked_targets)

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
        """Creates the cell of a holder whose lease began at `held_since`.

        `zones_out` are the evacuated zones, and `handover` is the state that
        the previous holder handed over, if it did.
        """
        pool = TargetPool(random)
        pool.reconfigure(service, zones_out, held_since)
        issuer = PermitIssuer(service, held_since, incarnation, pool)
        if handover is not None:
            issuer.adopt_handover(handover, held_since)
        unchecked_targets = pool.targets if handover is None else ()
        return cls(
            pool, issuer, TargetSelector(pool, random), unchecked_targets
        )

    def view_targets(self, now: float) -> tuple[TargetView, ...]:
        """Returns the present state of each target, for status and metrics."""
        return build_target_views(self._pool, now)

    def reconfigure(
        self,
        service: Service,
        zones_out: Collection[str],
        now: float,
    ) -> None:
        """Replaces the service and the evacuated zones."""
        self._pool.reconfigure(service, zones_out, now)
        self._issuer.reconfigure(service)

    def enqueue(self, request: PermitRequest, now: float) -> int | QueueFull:
        """Queues a permit request; returns the ticket of its future grant."""
        self._pool.health.active_targets.recent_vms.record(
            request.vm, request.zone, now
        )
        return self._queue.add_request(request, now)

    def cancel(self, ticket: int) -> None:
        """Removes the permit request of a VM that no longer waits."""
        self._queue.discard(ticket)

    def drop_expired(self, now: float) -> tuple[int, ...]:
        """Removes the permit requests that have waited for their `patience`.

        Returns:
            The tickets of these requests.
        """
        return self._queue.take_expired(now)

    def grant_permits(
        self, now: float, lease_until: float
    ) -> tuple[GrantedPermit, ...]:
        """Grants permits to waiting requests while targets have free slots."""
        self._pool.tick(now)
        self._issuer.set_lease_expiry(lease_until)
        granted: list[GrantedPermit] = []
        while self._issuer.may_issue(now):
            selected = self._selector.select_next(self._queue, now)
            if selected is None:
                break
            permit = self._issuer.issue_permit(
                selected.waiting, selected.target, now
            )
            self._queue.mark_served(selected.waiting)
            granted.append(GrantedPermit(selected.waiting.ticket, permit))
        return tuple(granted)

    def process_report(
        self,
        report: PermitReport,
        now: float,
        lease_until: float | None = None,
    ) -> PermitRenewal | None:
        """Records a finished run and renews its permit if the VM may keep it.

        Args:
            report: The VM's report of the run.
            now: The present time.
            lease_until: When the holder's lease ends. None stands for the
                value that was passed last, here or to `grant_permits`.

        Returns:
            The renewal, or None. With None, a VM that has not returned the
            permit has to stop using it.
        """
        if lease_until is not None:
            self._issuer.set_lease_expiry(lease_until)
        target = self._pool.targets.get(report.target)
        if target is None:
            return None
        self._pool.record_process_state(
            report.target,
            report.boot_id,
            report.is_draining,
            now,
        )
        permit_use = target.slots.find_use(report.permit_id)
        if permit_use is None:
            return None
        if target.slots.is_new_run(report.permit_id, report.run_number):
            target.slots.record_run(report.permit_id, report.run_number)
            self._pool.record_run(report, permit_use, now)
        if report.is_returned:
            if report.outcome in _CLOSED_CONNECTION_OUTCOMES:
                target.slots.free_slot_after_cancellation(report.permit_id, now)
            else:
                target.slots.free_slot(report.permit_id)
            return None
        if len(self._queue):
            # Not renewed: the slot goes to the first request in queue order.
            return None
        return self._issuer.renew_permit(report.permit_id, report.target, now)

    def reclaim_permit(self, permit: Permit) -> None:
        """Frees the slot of a permit that did not reach its VM."""
        target = self._pool.targets.get(permit.target)
        if target is not None:
            target.slots.free_slot(permit.id)

    def tick(self, now: float) -> None:
        """Frees overdue slots, evaluates target health and begins trials."""
        self._pool.tick(now)
        for target in self._pool.health.begin_trials(now):
            self._probes.reset_target(target)

    def next_probe_target(self, now: float) -> str | None:
        """Returns the target to probe now, if any, and counts the probe."""
        latest_trial_start = now + PROBE_LEAD_SECONDS
        health = self._pool.health
        # Restarting targets are probed also before their trial is due, so
        # that they are readmitted early.
        return self._probes.next_target(
            health.find_due_trials(latest_trial_start),
            now,
        ) or self._probes.next_target(health.find_restarting(), now)

    def take_due_drain_checks(self, now: float) -> tuple[str, ...]:
        """Returns the targets to probe now to learn whether they drain.

        A new holder's first checks are due before it may grant permits.
        """
        return self._drain_checks.take_due(
            self._pool.list_draining_targets(now), now
        )

    def record_process_state(
        self,
        target: str,
        boot_id: str | None,
        is_draining: bool,
        now: float,
    ) -> None:
        """Records the process state that a probe's answer reports."""
        if target in self._pool.targets:
            self._pool.record_process_state(target, boot_id, is_draining, now)

    def record_probe_result(
        self,
        target: str,
        is_ok: bool,
        now: float,
        boot_id: str | None = None,
    ) -> None:
        """Records a probe's result; a failed probe may delay the trial."""
        health = self._pool.health.active_targets.get(target)
        if health is None:
            return
        if is_ok and boot_id is not None:
            self._pool.record_probed_boot_id(target, boot_id, now)
        is_due = health.retry_at <= now + PROBE_LEAD_SECONDS
        if not is_ok and not is_due:
            # The target may still recover before its pause ends.
            return
        if self._probes.record_result(target, is_ok=is_ok):
            health.postpone_trial(now)

    def take_events(self) -> tuple[CellEvent, ...]:
        """Returns and removes the events since the last call."""
        return self._pool.take_events()

    def hand_over(self, now: float) -> CellHandover:
        """Stops granting for good; returns the state for the next holder."""
        return self._issuer.hand_over(now)
