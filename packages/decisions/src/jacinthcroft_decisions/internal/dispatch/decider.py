"""Decides for all VMs that follow this one: who sends what to which target."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final, Self

from attrs import define, field

from jacinthcroft_decisions.internal.dispatch.documents import (
    FleetDocuments,
    TargetEntry,
    TeamTerms,
)
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
    patience_of,
)
from jacinthcroft_decisions.internal.dispatch.service_board import (
    ServiceBoard,
)
from jacinthcroft_decisions.internal.dispatch.target_record import (
    TargetRecord,
)
from jacinthcroft_decisions.internal.dispatch.team_quota import TeamQuota
from jacinthcroft_decisions.internal.dispatch.terms import DispatchTerms
from jacinthcroft_decisions.internal.dispatch.wait_queue import Waiting
from jacinthcroft_decisions.internal.traffic.quarantine import (
    CrashReport,
    Quarantine,
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

    terms: DispatchTerms
    share: float = 1
    _boards: dict[str, ServiceBoard] = field(factory=dict)
    _teams: dict[str, TeamTerms] = field(factory=dict)
    _quotas: dict[str, TeamQuota] = field(factory=dict)
    _quarantine: Quarantine = field(
        factory=lambda: Quarantine(crash_limit=CRASHES_BEFORE_REFUSAL),
    )
    _running: dict[AskKey, _Running] = field(factory=dict)
    _decided: OrderedDict[AskKey, Decision] = field(factory=OrderedDict)
    _waiting_at: dict[AskKey, str] = field(factory=dict)

    @classmethod
    def from_terms(cls, terms: DispatchTerms) -> Self:
        """Makes a decider that knows no target yet."""
        return cls(terms)

    @property
    def running(self) -> int:
        """How many sends are under way."""
        return len(self._running)

    def adopt(self, documents: FleetDocuments, now: float) -> None:
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
        for name, terms in configuration.services.items():
            board = self._boards.get(name)
            if board is None:
                board = ServiceBoard(terms, self._new_budget())
                self._boards[name] = board
            board.terms = terms
            board.adopt(by_service.get(name, ()), now)
        for name in set(self._boards) - set(configuration.services):
            self._boards[name].adopt((), now)

    def decide(self, ask: Ask, zone: str, now: float) -> Decision | None:
        """Decides an ask, or lets it wait and returns None.

        An ask that comes again gets the same decision.
        """
        known = self._decided.get(ask.key)
        if known is not None:
            return known
        board = self._boards.get(ask.service)
        if board is None or not board.has_targets:
            refusal = Refusal(
                ask.key,
                RefusalReason.NO_TARGET,
                NO_TARGET_RETRY_SECONDS,
            )
            return self._remember(refusal)
        if ask.key in self._waiting_at:
            return None
        board.rates.note(ask.rank, now)
        early = self._refuse_early(ask, board, now)
        if early is not None:
            return self._remember(early)
        waiting = Waiting(ask, zone, now, board.norms.of(ask.route))
        if not len(board.queue):
            grant = self._place(board, waiting, now)
            if grant is not None:
                return grant
        return self._queue(board, waiting, now)

    def report(self, report: Report, now: float) -> list[Decision]:
        """Takes in how a send ended; returns what that decides."""
        self._forget_waiting(report.key)
        running = self._running.pop(report.key, None)
        if running is None:
            return []
        board = self._boards[running.service]
        record = board.records.get(running.target)
        if record is not None:
            self._take_evidence(board, record, running, report, now)
        return self._grant_waiting(board, board.queue.first(), now)

    def tick(self, now: float) -> list[Decision]:
        """Ends what has waited or run too long; returns new decisions."""
        for running in list(self._running.values()):
            if now > running.expires:
                self._drop(running)
        decisions: list[Decision] = []
        for board in self._boards.values():
            decisions.extend(self._pump(board, now))
        return decisions

    def keep_only(self, vm: str, numbers: frozenset[int], now: float) -> None:
        """Takes back grants that a VM does not list as under way."""
        for running in list(self._running.values()):
            if running.ask.vm != vm or running.ask.number in numbers:
                continue
            if now > running.started + UNLISTED_GRACE_SECONDS:
                self._drop(running)

    def adopt_running(
        self,
        ask: Ask,
        target: str,
        seconds: float,
        now: float,
    ) -> None:
        """Takes over a send that another deciding VM granted."""
        board = self._boards.get(ask.service)
        if board is None or ask.key in self._running:
            return
        record = board.records.get(target)
        if record is None:
            return
        started = now - seconds
        board.resume(record, ask, started)
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
        for board in self._boards.values():
            board.queue.drop_vm(vm)
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
        board: ServiceBoard,
        now: float,
    ) -> Refusal | None:
        if self._quarantine.is_quarantined(ask.fingerprint, now):
            return Refusal(ask.key, RefusalReason.CRASHING, None)
        if ask.attempt > 1:
            if not board.budget.may_retry(now):
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
        board: ServiceBoard,
        waiting: Waiting,
        now: float,
    ) -> Decision | None:
        ask = waiting.ask
        retry_after = board.queue.refuse_after(
            waiting,
            board.room(now),
            now,
        )
        if retry_after is not None:
            return self._refuse(ask, RefusalReason.FULL, retry_after)
        board.queue.add(waiting)
        self._waiting_at[ask.key] = ask.service
        return None

    def _pump(self, board: ServiceBoard, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        if not len(board.queue):
            return decisions
        for hopeless in board.queue.hopeless(board.room(now), now):
            self._forget_waiting(hopeless.ask.key)
            decisions.append(
                self._refuse(hopeless.ask, RefusalReason.FULL, None),
            )
        decisions.extend(
            self._grant_waiting(board, board.queue.in_order(now), now),
        )
        return decisions

    def _grant_waiting(
        self,
        board: ServiceBoard,
        in_order: Iterable[Waiting],
        now: float,
    ) -> list[Decision]:
        decisions: list[Decision] = []
        for waiting in in_order:
            if not board.has_free_slots:
                break
            grant = self._place(board, waiting, now)
            if grant is not None:
                self._forget_waiting(waiting.ask.key)
                decisions.append(grant)
        return decisions

    def _place(
        self,
        board: ServiceBoard,
        waiting: Waiting,
        now: float,
    ) -> Grant | None:
        ask = waiting.ask
        requester = Requester(ask, waiting.zone, now - waiting.since)
        record = board.choose(requester, self.share, now)
        if record is None:
            return None
        board.start(record, ask, now)
        if ask.attempt > 1:
            board.budget.record_retry(now)
        else:
            board.budget.record_request(now)
        entry = record.entry
        self._running[ask.key] = _Running(
            ask,
            ask.service,
            entry.target_id,
            now,
            waiting.deadline + REPORT_GRACE_SECONDS,
        )
        grant = Grant(
            ask.key,
            entry.target_id,
            entry.host,
            entry.port,
            patience_of(ask, waiting.norm),
            board.trust.max_rest(
                ask.number,
                is_repeatable=ask.is_repeatable and ask.attempt == 1,
            ),
        )
        self._remember(grant)
        return grant

    def _take_evidence(
        self,
        board: ServiceBoard,
        record: TargetRecord,
        running: _Running,
        report: Report,
        now: float,
    ) -> None:
        board.finish(record, report, now)
        fingerprint = running.ask.fingerprint
        if report.outcome is Outcome.SERVED:
            board.norms.take(running.ask.route, report.seconds)
            self._quarantine.clear_crashes(fingerprint)
        elif report.outcome is Outcome.BROKEN and fingerprint:
            strike = CrashReport(fingerprint, record.entry.target_id)
            self._quarantine.record_crash(strike, now)

    def _drop(self, running: _Running) -> None:
        self._running.pop(running.ask.key, None)
        board = self._boards[running.service]
        record = board.records.get(running.target)
        if record is not None:
            board.drop(record, running.ask.key)

    def _forget_waiting(self, key: AskKey) -> None:
        service = self._waiting_at.pop(key, None)
        if service is not None:
            self._boards[service].queue.discard(key)

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
