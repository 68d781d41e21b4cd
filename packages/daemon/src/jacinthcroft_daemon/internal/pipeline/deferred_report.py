"""When a run at a target has verifiably come to its end."""

from collections.abc import Callable

from attrs import define, field


@define
class DeferredReport:
    """Holds back the report of a run that this VM has given up.

    Giving up closes the connection, which a cut in one direction can keep
    from the target. Its slot is taken until the target has shown that it
    knows, or until the deadline that it was told.
    """

    _has_begun: bool = field(default=False, init=False)
    _is_over: bool = field(default=False, init=False)
    _report: Callable[[], None] | None = field(default=None, init=False)

    def note_begun(self) -> None:
        """Notes that the request goes out now."""
        self._has_begun = True

    def note_over(self) -> None:
        """Makes the report that waits, if there is one."""
        self._is_over = True
        report = self._report
        self._report = None
        if report is not None:
            report()

    def report_when_over(self, report: Callable[[], None]) -> None:
        """Calls `report` once nothing of the run can go on."""
        if self._is_over or not self._has_begun:
            report()
        else:
            self._report = report
