"""Records the progress and outcome of requests in logs, metrics and traces."""

from collections import Counter
from typing import Final, Self

from attrs import frozen
from jacinthcroft_config import Tunables
from jacinthcroft_daemon.internal.pipeline.admission import AdmittedRequest
from jacinthcroft_daemon.internal.pipeline.refusals import Refusal
from jacinthcroft_daemon.internal.telemetry import (
    Count,
    RateLimitedLog,
    TraceStore,
    log_event,
)
from jacinthcroft_daemon.internal.telemetry.metrics import Metrics
from jacinthcroft_http import now

# An overloaded VM refuses thousands of requests of one team for one reason.
_REPEAT_INTERVAL_SECONDS: Final = 5.0


@frozen
class TeamCount:
    """How many requests of a team this VM has answered and refused."""

    service: str
    team: str
    answered: int
    refused: int


class RequestReporter:
    """Logs, counts and traces requests."""

    def __init__(
        self,
        metrics: Metrics,
        traces: TraceStore,
        repeats: RateLimitedLog,
    ) -> None:
        """Creates a reporter whose counts are zero."""
        self._metrics = metrics
        self._traces = traces
        self._repeats = repeats
        self._answered: Counter[tuple[str, str]] = Counter()
        self._refused: Counter[tuple[str, str]] = Counter()
        self._reasons: Counter[str] = Counter()

    @classmethod
    def from_config(cls, tunables: Tunables, metrics: Metrics) -> Self:
        """Creates a reporter that traces `tunables.trace_entries` requests."""
        return cls(
            metrics,
            TraceStore.from_capacity(tunables.trace_entries),
            RateLimitedLog.from_interval(_REPEAT_INTERVAL_SECONDS),
        )

    @property
    def traces(self) -> TraceStore:
        """The steps of the latest requests."""
        return self._traces

    @property
    def team_counts(self) -> tuple[TeamCount, ...]:
        """The counts of all teams that have sent requests."""
        teams = sorted(self._answered.keys() | self._refused.keys())
        return tuple(
            TeamCount(*key, self._answered[key], self._refused[key])
            for key in teams
        )

    @property
    def reason_counts(self) -> tuple[tuple[str, int], ...]:
        """How many requests were refused for each reason."""
        return tuple(sorted(self._reasons.items()))

    def record_step(
        self, request_id: str, event: str, detail: str = ''
    ) -> None:
        """Records a step of a request for `jacinthcroft explain`."""
        self._traces.record_step(request_id, event, detail, now())

    def record_answer(
        self, admitted: AdmittedRequest, status: int, received_at: float
    ) -> None:
        """Records a target's answer when its head has arrived."""
        seconds = now() - received_at
        self._answered[admitted.service.name, admitted.team_name] += 1
        self._metrics.record_request(
            admitted.team_name,
            admitted.route.request_class,
            seconds,
        )
        self.record_step(admitted.request_id, 'answered', str(status))
        log_event(
            'debug',
            'answered',
            request_id=admitted.request_id,
            service=admitted.service.name,
            team=admitted.team_name,
            status=status,
            seconds=round(seconds, 4),
        )

    def record_refusal(
        self,
        request_id: str,
        refusal: Refusal,
        admitted: AdmittedRequest | None,
    ) -> None:
        """Records a refusal; `admitted` is None if it came before admission."""
        reason = refusal.reason.value
        team = ''
        if admitted is not None:
            team = admitted.team_name
            self._refused[admitted.service.name, team] += 1
        self._reasons[reason] += 1
        self._metrics.count(Count.REFUSALS, reason)
        self.record_step(request_id, 'refused', f'{reason}: {refusal.detail}')
        self._repeats.log(
            'info',
            'refused',
            f'{reason}/{team}',
            now(),
            request_id=request_id,
            outcome=refusal.outcome.value,
            detail=refusal.detail,
        )
