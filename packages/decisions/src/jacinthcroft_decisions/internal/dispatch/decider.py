"""Decides for all VMs that follow this one: who sends what to which target."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final, Self

from attrs import define, field

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
    Requester,
    compute_patience,
)
from jacinthcroft_decisions.internal.dispatch.service_state import (
    ServiceState,
)
from jacinthcroft_decisions.internal.dispatch.target_record import (
    TargetRecord,
)
from jacinthcroft_decisions.internal.dispatch.team_quota import TeamQuota
from jacinthcroft_decisions.internal.dispatch.wait_queue import QueuedAsk
from jacinthcroft_decisions.internal.traffic.quarantine import (
    Quarantine,
    Strike,
)
from jacinthcroft_decisions.internal.traffic.retry_budget import RetryBudget

# How long a grant outlives the request's time, in seconds, when no report
# comes.
REPORT_GRACE_SECONDS: Final = 0.5
# Decisions that are kept to answer a repeated ask.
MAX_REMEMBERED: Final = 2048
# Parts of the stated slack for repeated sends that are spent at once and
# over a window; the rest is room for a second deciding VM.
BUDGET_BURST: Final = 0.3
BUDGET_STEADY: Final = 0.5
# Part that a new deciding VM starts with, for what targets turn down.
BUDGET_START: Final = 0.15
# What a VM that lost its report is given before its grant is taken back, in
# seconds.
UNLISTED_GRACE_SECONDS: Final = 0.5
# Targets that break off under the same request, with no answer to it in
# between, before it is refused.
CRASHES_BEFORE_REFUSAL: Final = 3
# Retry-After where no target of the service is known, in seconds.
NO_TARGET_RETRY_SECONDS: Final = 0.5


@define
class _Running:
    ask: Ask
    service: str
    target: str
    started: float
    expires: float


@define
class Decider:
    """The state of the deciding VM; every method takes the time."""

    terms: DispatchLimits
    share: float = 1
    _services: dict[str, ServiceState] = field(factory=dict)
    _teams: dict[str, TeamSettings] = field(factory=dict)
    _quotas: dict[str, TeamQuota] = field(factory=dict)
    _quarantine: Quarantine = field(
        factory=lambda: Quarantine(lost_targets=CRASHES_BEFORE_REFUSAL),
    )
    _running: dict[AskKey, _Running] = field(factory=dict)
    _decided: OrderedDict[AskKey, Decision] = field(factory=OrderedDict)
    _waiting_at: dict[AskKey, str] = field(factory=dict)

    @classmethod
    def from_limits(cls, terms: DispatchLimits) -> Self:
        """Makes a decider that knows no target yet."""
        return cls(terms)

    @property
    def running_count(self) -> int:
        """How many sends are under way."""
        return len(self._running)

    def apply_documents(self, documents: FleetDocuments, now: float) -> None:
        """Takes in what operators and targets publish."""
        configuration = documents.configuration
        if configuration is None:
            return
        self._teams = dict(configuration.teams)
        by_service: dict[str, list[TargetEntry]] = {}
        for entry in documents.targets.values():
            is_out = entry.zone in documents.evacuated_zones
            if entry.is_ready and not is_out:
                by_service.setdefault(entry.service, []).append(entry)
        for name, settings in configuration.services.items():
            state = self._services.get(name)
            if state is None:
                state = ServiceState(settings, self._new_budget())
                self._services[name] = state
            state.settings = settings
            state.update_targets(by_service.get(name, ()), now)
        for name in set(self._services) - set(configuration.services):
            self._services[name].update_targets((), now)

    def decide(self, ask: Ask, zone: str, now: float) -> Decision | None:
        """Decides an ask, or lets it wait and returns None.

        An ask that comes again gets the same decision.
        """
        known = self._decided.get(ask.key)
        if known is not None:
            return known
        state = self._services.get(ask.service)
        if state is None or not state.has_targets:
            refusal = Refusal(
                ask.key,
                RefusalReason.NO_TARGET,
                NO_TARGET_RETRY_SECONDS,
            )
            return self._remember(refusal)
        if ask.key in self._waiting_at:
            return None
        state.arrival_rates.record_arrival(ask.rank, now)
        early = self._refuse_early(ask, state, now)
        if early is not None:
            return self._remember(early)
        queued = QueuedAsk(ask, zone, now, state.latencies.estimate(ask.route))
        if not len(state.queue):
            grant = self._place(state, queued, now)
            if grant is not None:
                return grant
        return self._queue(state, queued, now)

    def handle_report(self, report: Report, now: float) -> list[Decision]:
        """Takes in how a send ended; returns what that decides."""
        self._forget_waiting(report.key)
        running = self._running.pop(report.key, None)
        if running is None:
            return []
        state = self._services[running.service]
        record = state.records.get(running.target)
        if record is not None:
            self._take_evidence(state, record, running, report, now)
        return self._grant_waiting(state, state.queue.peek_first(), now)

    def tick(self, now: float) -> list[Decision]:
        """Ends what has waited or run too long; returns new decisions."""
        for running in list(self._running.values()):
            if now > running.expires:
                self._drop(running)
        decisions: list[Decision] = []
        for state in self._services.values():
            decisions.extend(self._pump(state, now))
        return decisions

    def drop_unlisted_attempts(
        self, vm: str, numbers: frozenset[int], now: float
    ) -> None:
        """Takes back grants that a VM does not list as under way."""
        for running in list(self._running.values()):
            if running.ask.vm != vm or running.ask.number in numbers:
                continue
            if now > running.started + UNLISTED_GRACE_SECONDS:
                self._drop(running)

    def take_over_attempt(
        self,
        ask: Ask,
        target: str,
        seconds: float,
        now: float,
    ) -> None:
        """Takes over a send that another deciding VM granted."""
        state = self._services.get(ask.service)
        if state is None or ask.key in self._running:
            return
        record = state.records.get(target)
        if record is None:
            return
        started = now - seconds
        state.take_over_request(record, ask, started)
        self._running[ask.key] = _Running(
            ask,
            ask.service,
            target,
            started,
            now + ask.time_left + REPORT_GRACE_SECONDS,
        )

    def drop_vm(self, vm: str) -> None:
        """Forgets all that a VM asked and runs: its process is gone."""
        for running in list(self._running.values()):
            if running.ask.vm == vm:
                self._drop(running)
        for state in self._services.values():
            state.queue.drop_vm(vm)
        for key in tuple(self._waiting_at):
            if key[0] == vm:
                self._waiting_at.pop(key)

    def _new_budget(self) -> RetryBudget:
        terms = self.terms
        slack = terms.retry_slack
        return RetryBudget(
            terms.retry_ratio * (1 - BUDGET_BURST),
            slack * BUDGET_STEADY / terms.retry_window,
            slack * BUDGET_BURST,
            slack * BUDGET_START,
        )

    def _refuse_early(
        self,
        ask: Ask,
        state: ServiceState,
        now: float,
    ) -> Refusal | None:
        if self._quarantine.is_quarantined(ask.fingerprint, now):
            return Refusal(ask.key, RefusalReason.CRASHING, None)
        if ask.attempt > 1:
            if not state.retry_budget.may_retry(now):
                return Refusal(ask.key, RefusalReason.RETRY_BUDGET, None)
            return None
        team = self._teams.get(ask.team)
        if team is not None and not ask.excluded:
            quota = self._quotas.setdefault(ask.team, TeamQuota())
            wait = quota.take(team, self.terms, self.share, now)
            if wait is not None:
                return Refusal(ask.key, RefusalReason.RATE, wait)
        return None

    def _queue(
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
        if retry_after is not None:
            return self._refuse(ask, RefusalReason.FULL, retry_after)
        state.queue.add(queued)
        self._waiting_at[ask.key] = ask.service
        return None

    def _pump(self, state: ServiceState, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        if not len(state.queue):
            return decisions
        for unservable in state.queue.find_unservable(
            state.estimate_capacity(now), now
        ):
            self._forget_waiting(unservable.ask.key)
            decisions.append(
                self._refuse(unservable.ask, RefusalReason.FULL, None),
            )
        decisions.extend(
            self._grant_waiting(state, state.queue.sort_asks(now), now),
        )
        return decisions

    def _grant_waiting(
        self,
        state: ServiceState,
        in_order: Iterable[QueuedAsk],
        now: float,
    ) -> list[Decision]:
        decisions: list[Decision] = []
        for queued in in_order:
            if not state.has_free_slots:
                break
            grant = self._place(state, queued, now)
            if grant is not None:
                self._forget_waiting(queued.ask.key)
                decisions.append(grant)
        return decisions

    def _place(
        self,
        state: ServiceState,
        queued: QueuedAsk,
        now: float,
    ) -> Grant | None:
        ask = queued.ask
        requester = Requester(ask, queued.zone, now - queued.since)
        record = state.find_target(requester, self.share, now)
        if record is None:
            return None
        state.start_request(record, ask, now)
        if ask.attempt > 1:
            state.retry_budget.note_retry(now)
        else:
            state.retry_budget.note_request(now)
        entry = record.entry
        self._running[ask.key] = _Running(
            ask,
            ask.service,
            entry.target_id,
            now,
            queued.deadline + REPORT_GRACE_SECONDS,
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

    def _take_evidence(
        self,
        state: ServiceState,
        record: TargetRecord,
        running: _Running,
        report: Report,
        now: float,
    ) -> None:
        state.finish_request(record, report, now)
        fingerprint = running.ask.fingerprint
        if report.outcome is Outcome.SERVED:
            state.latencies.record(running.ask.route, report.seconds)
            self._quarantine.absolve(fingerprint)
        elif report.outcome is Outcome.BROKEN and fingerprint:
            strike = Strike(fingerprint, record.entry.target_id)
            self._quarantine.strike(strike, now)

    def _drop(self, running: _Running) -> None:
        self._running.pop(running.ask.key, None)
        state = self._services[running.service]
        record = state.records.get(running.target)
        if record is not None:
            state.drop_request(record, running.ask.key)

    def _forget_waiting(self, key: AskKey) -> None:
        service = self._waiting_at.pop(key, None)
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
            quota.give_back()
        refusal = Refusal(ask.key, reason, retry_after)
        self._remember(refusal)
        return refusal

    def _remember(self, decision: Decision) -> Decision:
        self._decided[decision.key] = decision
        while len(self._decided) > MAX_REMEMBERED:
            self._decided.popitem(last=False)
        return decision
