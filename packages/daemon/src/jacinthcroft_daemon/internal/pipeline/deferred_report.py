"""Defers the report of a run until the run at the target is over."""

from collections.abc import Callable

from attrs import define, field


@define
class DeferredReport:
    """Delays the report of an abandoned run until its slot is free.

    Abandoning a run closes its connection. The target may not notice this
    if the network fails in one direction. Its slot therefore stays in use
    until the target acknowledges the close, or until the deadline that the
    request carried.
    """

    _has_started: bool = field(default=False, init=False)
    _is_over: bool = field(default=False, init=False)
    _pending_report: Callable[[], None] | None = field(default=None, init=False)

    def mark_run_started(self) -> None:
        """Records that the request is about to be sent."""
        self._has_started = True

    def mark_run_over(self) -> None:
        """Records that the run is over and makes the pending report."""
        self._is_over = True
        report = self._pending_report
        self._pending_report = None
        if report is not None:
            report()

    def report_after_run(self, report: Callable[[], None]) -> None:
        """Calls `report` now if no run is under way, else when it is over."""
        if self._is_over or not self._has_started:
            report()
        else:
            self._pending_report = report
