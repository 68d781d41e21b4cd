"""Decides which target each request goes to, for this VM and its followers.

The VM that runs the decider is called the deciding VM; during a handover or a
partition there may be a second one. A VM sends it an ask for each attempt to
have a target run a request. The decider answers with a grant or a refusal, at
once or after the ask was queued. A target has a slot for each request that it
can run at once.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final, Self

from attrs import define, field

from jacinthcroft_decisions.internal.dispatch.crash_tracker import CrashTracker
from jacinthcroft_decisions.internal.dispatch.documents import (
    FleetDocuments,
    TargetEntry,
    TeamSettings,
)
from jacinthcroft_decisions.internal.dispatch.limits import DispatchLimits
from jacinthcroft_decisions.internal.dispatch.messages import (
    Ask,
    AskKey,
    Decision,
    Grant,
    Outcome,
    Refusal,
    RefusalReason,
    Report,
)
from jacinthcroft_decisions.internal.dispatch.placement import (
    PendingAsk,
    compute_patience,
)
from jacinthcroft_decisions.internal.dispatch.service_state import (
    ServiceState,
)
from jacinthcroft_decisions.internal.dispatch.target_record import (
    TargetRecord,
)
from jacinthcroft_decisions.internal.dispatch.target_signals import (
    HeldTarget,
    HeldTargets,
    TargetSignal,
)
from jacinthcroft_decisions.internal.dispatch.team_quota import TeamQuota
from jacinthcroft_decisions.internal.dispatch.use_floor import (
    UseFloor,
    is_unused,
)
from jacinthcroft_decisions.internal.dispatch.wait_queue import QueuedAsk
from jacinthcroft_decisions.internal.traffic.quarantine import CrashReport
from jacinthcroft_decisions.internal.traffic.retry_budget import RetryBudget

# A granted attempt of which no report comes is dropped this long after its
# request's deadline.
REPORT_GRACE_SECONDS: Final = 0.5
# Number of decisions kept, to repeat one when its ask is received again.
MAX_REMEMBERED_DECISIONS: Final = 2048
# In each retry window, a service may make the slack's number of retries beyond
# a ratio of its requests. These shares of the slack are available at once, and
# spread over the window. The rest is left to a second deciding VM.
RETRY_BURST_SHARE: Final = 0.3
RETRY_WINDOW_SHARE: Final = 0.5
# Share of the retry slack that a new deciding VM starts with, to retry requests
# that targets rejected without running them.
INITIAL_RETRY_SHARE: Final = 0.15
# A granted attempt that its VM does not list as running is dropped this long
# after its grant, since the VM's report must have been lost.
UNLISTED_GRACE_SECONDS: Final = 0.5
# Retry-After when no target of the service is known.
NO_TARGET_RETRY_SECONDS: Final = 0.5
# A request that may run only once is not sent again after these.
_LOSING_OUTCOMES: Final = frozenset(
    (Outcome.ERROR, Outcome.BROKEN, Outcome.SILENT, Outcome.STALE),
)


@define
class _RunningAttempt:
    ask: Ask
    service: str
    target: str
    started: float
    expires_at: float
    # It was sent to find out whether an unused target serves again.
    is_trial: bool = False


@define
class Decider:
    """The state of the deciding VM; all times are on its clock.

    `share` is the part of the fleet, from 0 to 1, that this VM decides for.
    It scales the rates of teams and of cold targets, which all deciding VMs
    keep together. `retry_share` scales the retries beyond the ratio.
    """

    limits: DispatchLimits
    share: float = 1
    retry_share: float = 1
    # Targets that said in a response that they leave.
    leaving: HeldTargets = field(factory=HeldTargets)
    host: str = ''
    _services: dict[str, ServiceState] = field(factory=dict)
    _teams: dict[str, TeamSettings] = field(factory=dict)
    _quotas: dict[str, TeamQuota] = field(factory=dict)
    _crashes: CrashTracker = field(factory=CrashTracker)
    _running: dict[AskKey, _RunningAttempt] = field(factory=dict)
    _decisions: OrderedDict[AskKey, Decision] = field(factory=OrderedDict)
    # The service in whose queue each queued ask is.
    _queued_services: dict[AskKey, str] = field(factory=dict)

    @classmethod
    def from_limits(cls, limits: DispatchLimits, host: str = '') -> Self:
        """Makes a decider at a host that knows no target yet."""
        return cls(limits, host=host)

    @property
    def running_count(self) -> int:
        """How many granted attempts are running."""
        return len(self._running)

    def apply_documents(self, documents: FleetDocuments, now: float) -> None:
        """Applies the operators' configuration and the targets' entries.

        Without a configuration, nothing changes.
        """
        configuration = documents.configuration
        if configuration is None:
            return
        self._teams = dict(configuration.teams)
        targets_by_service: dict[str, list[TargetEntry]] = {}
        for entry in documents.targets.values():
            is_evacuated = entry.zone in documents.evacuated_zones
            is_leaving = not self.leaving.may_send(entry.incarnation, now)
            if entry.is_ready and not is_evacuated and not is_leaving:
                targets_by_service.setdefault(entry.service, []).append(entry)
        for name, settings in configuration.services.items():
            state = self._services.get(name)
            if state is None:
                state = ServiceState(
                    settings,
                    _make_retry_budget(self.limits),
                    UseFloor(self.limits.floor_share),
                    self.host,
                )
                self._services[name] = state
            state.settings = settings
            state.update_targets(targets_by_service.get(name, ()), now)
        for name in set(self._services) - set(configuration.services):
            self._services[name].update_targets((), now)

    def decide(self, ask: Ask, zone: str, now: float) -> Decision | None:
        """Decides an ask, or queues it and returns None.

        An ask that is received again gets the same decision.
        """
        remembered = self._decisions.get(ask.key)
        if remembered is not None:
            return remembered
        state = self._services.get(ask.service)
        if state is None or not state.has_targets:
            refusal = Refusal(
                ask.key,
                RefusalReason.NO_TARGET,
                NO_TARGET_RETRY_SECONDS,
            )
            return self._remember(refusal)
        if ask.key in self._queued_services:
            return None
        state.arrival_rates.record_arrival(ask.rank, now)
        limit_refusal = self._check_limits(ask, state, now)
        if limit_refusal is not None:
            return self._remember(limit_refusal)
        queued = QueuedAsk(ask, zone, now, state.latencies.estimate(ask.route))
        if not len(state.queue):
            grant = self._try_grant(state, queued, now)
            if grant is not None:
                return grant
        return self._enqueue(state, queued, now)

    def hold_targets(
        self, vm: str, held_targets: Iterable[HeldTarget], now: float
    ) -> None:
        """Sends nothing to targets that have asked a VM for it.

        A target that leaves gets nothing from any VM.
        """
        for held in held_targets:
            if held.is_leaving:
                signal = TargetSignal(is_leaving=True)
                self.leaving.record(held.incarnation, signal, now)
            for state in self._services.values():
                state.hold_target(vm, held, now)

    def handle_report(self, report: Report, now: float) -> list[Decision]:
        """Records how an attempt ended and grants its slot to a queued ask.

        Returns:
            The grants of queued asks that got a free slot.
        """
        self._dequeue(report.key)
        attempt = self._running.pop(report.key, None)
        if attempt is None:
            return []
        state = self._services[attempt.service]
        record = state.records.get(attempt.target)
        if record is not None:
            self._record_outcome(state, record, attempt, report, now)
        return self._grant_queued(state, state.queue.peek_first(), now)

    def tick(self, now: float) -> list[Decision]:
        """Drops expired attempts; grants or refuses queued asks.

        Returns:
            The decisions on queued asks.
        """
        for attempt in list(self._running.values()):
            if now > attempt.expires_at:
                self._drop_attempt(attempt)
        decisions: list[Decision] = []
        for state in self._services.values():
            decisions.extend(self._decide_queued(state, now))
        return decisions

    def drop_unlisted_attempts(
        self,
        vm: str,
        numbers: frozenset[int],
        now: float,
    ) -> None:
        """Drops granted attempts that a VM does not list as running.

        Args:
            vm: The VM that sent the list.
            numbers: The numbers of the asks whose attempts it is running.
            now: The current time.
        """
        for attempt in list(self._running.values()):
            if attempt.ask.vm != vm or attempt.ask.number in numbers:
                continue
            if now > attempt.started + UNLISTED_GRACE_SECONDS:
                self._drop_attempt(attempt)

    def take_over_attempt(
        self,
        ask: Ask,
        target: str,
        seconds: float,
        now: float,
    ) -> None:
        """Counts a running attempt that another deciding VM granted.

        Args:
            ask: The ask that was granted.
            target: The id of the target that runs it.
            seconds: For how long it has been running.
            now: The current time.
        """
        state = self._services.get(ask.service)
        if state is None or ask.key in self._running:
            return
        record = state.records.get(target)
        if record is None:
            return
        started = now - seconds
        state.take_over_request(record, ask, started)
        self._running[ask.key] = _RunningAttempt(
            ask,
            ask.service,
            target,
            started,
            now + ask.time_left + REPORT_GRACE_SECONDS,
        )

    def drop_vm(self, vm: str) -> None:
        """Drops all asks and attempts of a VM whose process is gone."""
        for attempt in list(self._running.values()):
            if attempt.ask.vm == vm:
                self._drop_attempt(attempt)
        for state in self._services.values():
            state.queue.drop_vm(vm)
        for key in tuple(self._queued_services):
            if key[0] == vm:
                self._queued_services.pop(key)

    def _check_limits(
        self,
        ask: Ask,
        state: ServiceState,
        now: float,
    ) -> Refusal | None:
        state.retry_budget.rescale(self.retry_share, now)
        if self._crashes.is_quarantined(ask.fingerprint, now):
            return Refusal(ask.key, RefusalReason.CRASHING, None)
        if ask.attempt > 1:
            if not state.retry_budget.may_retry(now):
                return Refusal(ask.key, RefusalReason.RETRY_BUDGET, None)
            return None
        team = self._teams.get(ask.team)
        if team is not None and not ask.excluded:
            quota = self._quotas.setdefault(ask.team, TeamQuota())
            wait_seconds = quota.take_token(team, self.limits, self.share, now)
            if wait_seconds is not None:
                return Refusal(ask.key, RefusalReason.RATE, wait_seconds)
        return None

    def _enqueue(
        self,
        state: ServiceState,
        queued: QueuedAsk,
        now: float,
    ) -> Decision | None:
        ask = queued.ask
        retry_after = state.queue.estimate_retry_after(
            queued,
            state.estimate_capacity(now),
            now,
        )
        held_seconds = state.seconds_until_room(ask.vm, now)
        if held_seconds > ask.time_left:
            # Every target has asked for a wait that outlasts the request.
            retry_after = max(retry_after or 0, held_seconds)
        if retry_after is not None:
            return self._refuse(ask, RefusalReason.FULL, retry_after)
        state.queue.add(queued)
        self._queued_services[ask.key] = ask.service
        return None

    def _decide_queued(self, state: ServiceState, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        if not len(state.queue):
            return decisions
        for unservable in state.queue.find_unservable(
            state.estimate_capacity(now),
            now,
        ):
            self._dequeue(unservable.ask.key)
            decisions.append(
                self._refuse(unservable.ask, RefusalReason.FULL, None),
            )
        decisions.extend(
            self._grant_queued(state, state.queue.sort_asks(now), now),
        )
        return decisions

    def _grant_queued(
        self,
        state: ServiceState,
        sorted_asks: Iterable[QueuedAsk],
        now: float,
    ) -> list[Decision]:
        decisions: list[Decision] = []
        for queued in sorted_asks:
            if not state.has_free_slots:
                break
            grant = self._try_grant(state, queued, now)
            if grant is not None:
                self._dequeue(queued.ask.key)
                decisions.append(grant)
        return decisions

    def _try_grant(
        self,
        state: ServiceState,
        queued: QueuedAsk,
        now: float,
    ) -> Grant | None:
        ask = queued.ask
        pending = PendingAsk(
            ask,
            queued.zone,
            now - queued.since,
            state.needs_unused_targets(now),
        )
        record = state.find_target(pending, self.share, now)
        if record is None:
            return None
        is_trial = pending.prefers_unused and is_unused(record, now)
        state.start_request(record, ask, now)
        if ask.attempt > 1:
            state.retry_budget.record_retry(now)
        else:
            state.retry_budget.record_request(now)
        entry = record.entry
        self._running[ask.key] = _RunningAttempt(
            ask,
            ask.service,
            entry.target_id,
            now,
            queued.deadline + REPORT_GRACE_SECONDS,
            is_trial,
        )
        grant = Grant(
            ask.key,
            entry.target_id,
            entry.host,
            entry.port,
            compute_patience(ask, queued.expected_latency),
            state.idle_connections.max_idle_seconds(
                ask.number,
                is_repeatable=ask.is_repeatable and ask.attempt == 1,
            ),
        )
        self._remember(grant)
        return grant

    def _record_outcome(
        self,
        state: ServiceState,
        record: TargetRecord,
        attempt: _RunningAttempt,
        report: Report,
        now: float,
    ) -> None:
        state.finish_request(record, report, now)
        ask = attempt.ask
        is_served = report.outcome is Outcome.SERVED
        if is_served or report.outcome in _LOSING_OUTCOMES:
            # A repeatable request is lost only if its second attempt fails.
            may_lose = not ask.is_repeatable or ask.attempt > 1
            if not attempt.is_trial:
                state.use_floor.record(now, is_lost=may_lose and not is_served)
        if is_served:
            state.latencies.record(ask.route, report.seconds)
        self._crashes.record_outcome(
            CrashReport(ask.fingerprint, record.entry.incarnation),
            report.outcome,
            attempt.started,
            now,
        )

    def _drop_attempt(self, attempt: _RunningAttempt) -> None:
        self._running.pop(attempt.ask.key, None)
        state = self._services[attempt.service]
        record = state.records.get(attempt.target)
        if record is not None:
            state.drop_request(record, attempt.ask.key)

    def _dequeue(self, key: AskKey) -> None:
        service = self._queued_services.pop(key, None)
        if service is not None:
            self._services[service].queue.discard(key)

    def _refuse(
        self,
        ask: Ask,
        reason: RefusalReason,
        retry_after: float | None,
    ) -> Refusal:
        quota = self._quotas.get(ask.team)
        if quota is not None and ask.attempt == 1 and not ask.excluded:
            quota.return_token()
        refusal = Refusal(ask.key, reason, retry_after)
        self._remember(refusal)
        return refusal

    def _remember(self, decision: Decision) -> Decision:
        self._decisions[decision.key] = decision
        while len(self._decisions) > MAX_REMEMBERED_DECISIONS:
            self._decisions.popitem(last=False)
        return decision


def _make_retry_budget(limits: DispatchLimits) -> RetryBudget:
    slack = limits.retry_slack
    return RetryBudget(
        limits.retry_ratio * (1 - RETRY_BURST_SHARE),
        slack * RETRY_WINDOW_SHARE / limits.retry_window,
        slack * RETRY_BURST_SHARE,
        slack * INITIAL_RETRY_SHARE,
        share=0,
    )
