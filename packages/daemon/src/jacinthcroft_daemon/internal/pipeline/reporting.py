"""Tells logs, metrics and traces how each request ended."""

from collections import Counter

from attrs import frozen
from jacinthcroft_daemon.internal.pipeline.admission import Work
from jacinthcroft_daemon.internal.pipeline.refusals import Refusal
from jacinthcroft_daemon.internal.telemetry import log_event
from jacinthcroft_http import now


@frozen
class TeamCount:
    """How a team's requests ended at this VM."""

    service: str
    team: str
    answered: int
    refused: int


class RequestReporter:
    """Counts and logs the ends of requests."""

    def __init__(self) -> None:
        """Starts at zero."""
        self._answered: Counter[tuple[str, str]] = Counter()
        self._refused: Counter[tuple[str, str]] = Counter()
        self._reasons: Counter[str] = Counter()

    @property
    def team_counts(self) -> tuple[TeamCount, ...]:
        """The counts of all teams seen so far."""
        seen = sorted(self._answered.keys() | self._refused.keys())
        return tuple(
            TeamCount(*key, self._answered[key], self._refused[key])
            for key in seen
        )

    @property
    def reason_counts(self) -> tuple[tuple[str, int], ...]:
        """How many requests were refused for each reason."""
        return tuple(sorted(self._reasons.items()))

    def answered(self, work: Work, status: int, received_at: float) -> None:
        """Notes an answer that a target gave."""
        self._answered[work.service.name, work.team_name] += 1
        log_event(
            'debug',
            'answered',
            request_id=work.request_id,
            service=work.service.name,
            team=work.team_name,
            status=status,
            milliseconds=round((now() - received_at) * 1000, 1),
        )

    def refused(
        self,
        request_id: str,
        refusal: Refusal,
        work: Work | None,
    ) -> None:
        """Notes a refusal."""
        self._reasons[refusal.reason.value] += 1
        if work is not None:
            self._refused[work.service.name, work.team_name] += 1
        log_event(
            'info',
            'refused',
            request_id=request_id,
            reason=refusal.reason.value,
            outcome=refusal.outcome.value,
            detail=refusal.detail,
        )
