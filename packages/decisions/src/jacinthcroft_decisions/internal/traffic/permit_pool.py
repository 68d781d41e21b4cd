"""The permits of one cell that a VM may use.

A cell is the set of targets of one service. Its holder, the VM that has the
lease for it, grants the permits. A run is one request that a target executes,
and each permit takes one slot of a target, with room for one run at a time.

After a run a permit is kept for the VM's next request if a request is waiting
for one, or if the cell has spare capacity; otherwise it is given back at once.
The start window of a permit is the time in which a run may begin on it. It
counts from before the VM asked for the permit, and a permit past its window is
never used again.
"""

from attrs import define, frozen

from jacinthcroft_decisions.internal.traffic.permit_messages import (
    Permit,
    PermitRenewal,
    PermitReport,
    RunOutcome,
)


@frozen
class HeldPermit:
    """A permit taken for one run that must begin before `start_by`."""

    permit_id: str
    target: str
    address_host: str
    address_port: int
    start_by: float

    def is_startable(self, now: float) -> bool:
        """Whether the run may still begin."""
        return now < self.start_by


@define
class _PooledPermit:
    permit: Permit
    start_by: float
    may_be_kept: bool
    is_in_use: bool = False
    is_recalled: bool = False
    runs: int = 0


class PermitPool:
    """One VM's permits for one cell."""

    def __init__(self, vm: str) -> None:
        """Starts without permits; `vm` is the name of this VM."""
        self._vm = vm
        self._permits: dict[str, _PooledPermit] = {}
        self._unsent_reports: list[PermitReport] = []

    @property
    def has_urgent_report(self) -> bool:
        """Whether an unsent report gives back a permit and so frees a slot."""
        return any(report.is_returned for report in self._unsent_reports)

    def count_idle(self, now: float) -> int:
        """Returns the number of permits that can be taken now."""
        return sum(_is_idle(pooled, now) for pooled in self._permits.values())

    def add_permit(self, permit: Permit, asked_at: float, now: float) -> None:
        """Adds a permit; its start window counts from `asked_at`."""
        start_by = asked_at + permit.start_within
        self._permits[permit.id] = _PooledPermit(
            permit, start_by, permit.may_be_kept
        )
        self.return_unusable(now)

    def take_permit(self, now: float) -> HeldPermit | None:
        """Takes the idle permit whose start window ends last, if any."""
        idle = [
            pooled for pooled in self._permits.values() if _is_idle(pooled, now)
        ]
        pooled = max(idle, key=_get_start_by, default=None)
        if pooled is None:
            return None
        pooled.is_in_use = True
        return HeldPermit(
            permit_id=pooled.permit.id,
            target=pooled.permit.target,
            address_host=pooled.permit.address_host,
            address_port=pooled.permit.address_port,
            start_by=pooled.start_by,
        )

    def finish_run(
        self,
        permit_id: str,
        outcome: RunOutcome,
        latency: float,
        boot_id: str | None,
        is_draining: bool,
        has_waiting_request: bool,
        now: float,
    ) -> None:
        """Ends a run and reports it; keeps its permit or gives it back.

        `latency` is in seconds. `boot_id` and `is_draining` are what the
        target's answer says of its process.
        """
        pooled = self._permits.get(permit_id)
        if pooled is None:
            return
        pooled.is_in_use = False
        has_succeeded = outcome is RunOutcome.ANSWERED and not is_draining
        is_useful = has_waiting_request or pooled.may_be_kept
        may_be_reused = has_succeeded and is_useful and not pooled.is_recalled
        is_kept = may_be_reused and now < pooled.start_by
        self._add_report(
            pooled, outcome, latency, boot_id, is_draining, is_kept
        )

    def take_reports(self, now: float) -> tuple[PermitReport, ...]:
        """Returns the reports to send and forgets them."""
        self.return_unusable(now)
        reports = tuple(self._unsent_reports)
        self._unsent_reports.clear()
        return reports

    def apply_renewals(
        self,
        renewals: tuple[PermitRenewal, ...],
        recalled: tuple[str, ...],
        sent_at: float,
        now: float,
    ) -> None:
        """Applies the holder's reply to reports that were sent at `sent_at`.

        `recalled` lists the ids of permits on which no new run may begin.
        """
        for renewal in renewals:
            pooled = self._permits.get(renewal.permit_id)
            if pooled is not None:
                renewed_until = sent_at + renewal.start_within
                pooled.start_by = max(pooled.start_by, renewed_until)
                pooled.may_be_kept = renewal.may_be_kept
        for permit_id in recalled:
            pooled = self._permits.get(permit_id)
            if pooled is not None:
                pooled.is_recalled = True
        self.return_unusable(now)

    def return_surplus(self, now: float) -> None:
        """Gives back idle permits that the cell does not allow to be kept.

        Call it when no request is waiting on this VM. A request that takes
        a permit granted for another request leaves its own permit request
        queued at the holder. The permit that is granted for it later would
        stay idle for its whole start window while other VMs are waiting for
        the slot.
        """
        for pooled in tuple(self._permits.values()):
            if _is_idle(pooled, now) and not pooled.may_be_kept:
                self._add_report(
                    pooled, RunOutcome.UNUSED, 0, None, False, False
                )

    def return_unusable(self, now: float) -> None:
        """Gives back permits that are recalled or expired and not in use."""
        for pooled in tuple(self._permits.values()):
            if pooled.is_in_use or _is_idle(pooled, now):
                continue
            self._add_report(pooled, RunOutcome.UNUSED, 0, None, False, False)

    def _add_report(
        self,
        pooled: _PooledPermit,
        outcome: RunOutcome,
        latency: float,
        boot_id: str | None,
        is_draining: bool,
        is_kept: bool,
    ) -> None:
        pooled.runs += 1
        if not is_kept:
            self._permits.pop(pooled.permit.id)
        report = PermitReport(
            permit_id=pooled.permit.id,
            cell=pooled.permit.cell,
            vm=self._vm,
            target=pooled.permit.target,
            outcome=outcome,
            latency=latency,
            is_returned=not is_kept,
            boot_id=boot_id,
            is_draining=is_draining,
            run_number=pooled.runs,
        )
        self._unsent_reports.append(report)


def _is_idle(pooled: _PooledPermit, now: float) -> bool:
    if pooled.is_in_use or pooled.is_recalled:
        return False
    return now < pooled.start_by


def _get_start_by(pooled: _PooledPermit) -> float:
    return pooled.start_by
