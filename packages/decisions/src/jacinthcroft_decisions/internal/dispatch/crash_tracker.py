"""Quarantines the requests that crash the targets that run them.

A target that crashes closes its connections. One that has dropped an idle
connection resets the next request on it, which looks the same. Such a reset
therefore counts as a crash only until the target responds again.
"""

from collections import OrderedDict
from typing import Final

from attrs import define, field

from jacinthcroft_decisions.internal.dispatch.messages import Outcome
from jacinthcroft_decisions.internal.dispatch.target_record import (
    RESPONSE_OUTCOMES,
)
from jacinthcroft_decisions.internal.traffic.quarantine import (
    CrashReport,
    Quarantine,
)

# Requests with the same fingerprint are refused after this many targets crashed
# while they ran one, unless one was served in between.
CRASHES_BEFORE_REFUSAL: Final = 3
# Targets with unconfirmed crashes; the oldest one is forgotten first.
MAX_SUSPECTED_TARGETS: Final = 4096


@define
class CrashTracker:
    """Which requests crashed targets; times on the deciding VM's clock.

    Requests are identified by their fingerprint. A target that has started
    again counts as another one.
    """

    _quarantine: Quarantine = field(
        factory=lambda: Quarantine(crash_limit=CRASHES_BEFORE_REFUSAL),
    )
    # For each target, the requests whose reset may be a crash, and its time.
    _suspected: OrderedDict[str, dict[str, float]] = field(factory=OrderedDict)

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Whether requests with this fingerprint are refused."""
        return self._quarantine.is_quarantined(fingerprint, now)

    def record_outcome(
        self, run: CrashReport, outcome: Outcome, started: float, now: float
    ) -> None:
        """Records how an attempt ended.

        Args:
            run: The request and the incarnation of the target that got it.
            outcome: How the attempt ended.
            started: When the attempt began.
            now: The current time.
        """
        if outcome in RESPONSE_OUTCOMES:
            self._withdraw_resets(run.target, started)
        if outcome is Outcome.SERVED:
            self._quarantine.clear_crashes(run.fingerprint)
        elif outcome is Outcome.BROKEN and run.fingerprint:
            self._quarantine.record_crash(run, now)
            self._suspected.get(run.target, {}).pop(run.fingerprint, None)
        elif outcome is Outcome.STALE and run.fingerprint:
            self._quarantine.record_crash(run, now)
            self._suspect(run, now)

    def _suspect(self, run: CrashReport, now: float) -> None:
        suspected = self._suspected.setdefault(run.target, {})
        suspected[run.fingerprint] = now
        if len(self._suspected) > MAX_SUSPECTED_TARGETS:
            self._suspected.popitem(last=False)

    def _withdraw_resets(self, target: str, started: float) -> None:
        """Withdraws the resets by a target that were before an attempt.

        A response to an earlier attempt may have been sent before the target
        crashed.
        """
        suspected = self._suspected.get(target, {})
        for fingerprint, reset_at in tuple(suspected.items()):
            if started > reset_at:
                suspected.pop(fingerprint)
                self._quarantine.withdraw_crash(
                    CrashReport(fingerprint, target)
                )
        if not suspected:
            self._suspected.pop(target, None)
