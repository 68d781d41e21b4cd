"""The permits of one cell that a VM has in hand.

A permit is kept for the VM's next request while requests wait for one, or
where its cell has room; else it goes back at once. Its start window counts
from before the VM asked, and a permit past its window is never used again.
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
    """A permit taken for one run, which must begin before `start_by`."""

    permit_id: str
    target: str
    address_host: str
    address_port: int
    start_by: float

    def is_startable(self, now: float) -> bool:
        """Whether the run may still begin."""
        return now < self.start_by


@define
class _Owned:
    permit: Permit
    start_by: float
    may_be_kept: bool
    is_in_use: bool = False
    is_recalled: bool = False
    runs: int = 0


class PermitPool:
    """One VM's permits for one cell."""

    def __init__(self, vm: str) -> None:
        """Starts with none; `vm` is the VM's name."""
        self._vm = vm
        self._owned: dict[str, _Owned] = {}
        self._reports: list[PermitReport] = []

    @property
    def has_urgent_report(self) -> bool:
        """Whether a slot waits to be given back."""
        return any(report.is_returned for report in self._reports)

    def count_idle(self, now: float) -> int:
        """Returns how many permits could be taken now."""
        return sum(_is_idle(owned, now) for owned in self._owned.values())

    def add_permit(self, permit: Permit, asked_at: float, now: float) -> None:
        """Takes in a permit; its window counts from `asked_at`."""
        start_by = asked_at + permit.start_within
        self._owned[permit.id] = _Owned(permit, start_by, permit.may_be_kept)
        self.return_unusable(now)

    def take_permit(self, now: float) -> HeldPermit | None:
        """Takes the idle permit with the longest window, if any."""
        idle = [owned for owned in self._owned.values() if _is_idle(owned, now)]
        owned = max(idle, key=_start_by, default=None)
        if owned is None:
            return None
        owned.is_in_use = True
        return HeldPermit(
            permit_id=owned.permit.id,
            target=owned.permit.target,
            address_host=owned.permit.address_host,
            address_port=owned.permit.address_port,
            start_by=owned.start_by,
        )

    def finish_run(
        self,
        permit_id: str,
        outcome: RunOutcome,
        latency: float,
        boot_id: str | None,
        is_draining: bool,
        is_busy: bool,
        now: float,
    ) -> None:
        """Ends a run; keeps the permit only for a request that waits."""
        owned = self._owned.get(permit_id)
        if owned is None:
            return
        owned.is_in_use = False
        is_good = outcome is RunOutcome.ANSWERED and not is_draining
        is_wanted = is_busy or owned.may_be_kept
        may_stay = is_good and is_wanted and not owned.is_recalled
        is_kept = may_stay and now < owned.start_by
        self._report(owned, outcome, latency, boot_id, is_draining, is_kept)

    def pop_reports(self, now: float) -> tuple[PermitReport, ...]:
        """Returns the reports to send, each of them once."""
        self.return_unusable(now)
        reports = tuple(self._reports)
        self._reports.clear()
        return reports

    def apply_renewals(
        self,
        renewals: tuple[PermitRenewal, ...],
        recalled: tuple[str, ...],
        asked_at: float,
        now: float,
    ) -> None:
        """Takes in the answer to reports that were sent at `asked_at`."""
        for renewal in renewals:
            owned = self._owned.get(renewal.permit_id)
            if owned is not None:
                renewed = asked_at + renewal.start_within
                owned.start_by = max(owned.start_by, renewed)
                owned.may_be_kept = renewal.may_be_kept
        for permit_id in recalled:
            owned = self._owned.get(permit_id)
            if owned is not None:
                owned.is_recalled = True
        self.return_unusable(now)

    def return_surplus(self, now: float) -> None:
        """Gives back idle permits that no request waits for.

        A request that was served by another's permit leaves its own question
        at the holder; the permit that this brings would lie idle for its
        whole window while others queue for the slot.
        """
        for owned in tuple(self._owned.values()):
            if _is_idle(owned, now) and not owned.may_be_kept:
                self._report(owned, RunOutcome.UNUSED, 0, None, False, False)

    def return_unusable(self, now: float) -> None:
        """Gives back what is recalled or past its window, and idle."""
        for owned in tuple(self._owned.values()):
            if owned.is_in_use or _is_idle(owned, now):
                continue
            self._report(owned, RunOutcome.UNUSED, 0, None, False, False)

    def _report(
        self,
        owned: _Owned,
        outcome: RunOutcome,
        latency: float,
        boot_id: str | None,
        is_draining: bool,
        is_kept: bool,
    ) -> None:
        owned.runs += 1
        if not is_kept:
            self._owned.pop(owned.permit.id)
        report = PermitReport(
            permit_id=owned.permit.id,
            cell=owned.permit.cell,
            vm=self._vm,
            target=owned.permit.target,
            outcome=outcome,
            latency=latency,
            is_returned=not is_kept,
            boot_id=boot_id,
            is_draining=is_draining,
            run_number=owned.runs,
        )
        self._reports.append(report)


def _is_idle(owned: _Owned, now: float) -> bool:
    if owned.is_in_use or owned.is_recalled:
        return False
    return now < owned.start_by


def _start_by(owned: _Owned) -> float:
    return owned.start_by
