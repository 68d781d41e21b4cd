"""One service's targets, its queue and its repeated sends."""

import math
from collections.abc import Iterable
from typing import Final

from attrs import define, field

from jacinthcroft_decisions.internal.dispatch.arrival_rates import (
    ArrivalRates,
)
from jacinthcroft_decisions.internal.dispatch.cold_allowance import (
    ColdAllowance,
)
from jacinthcroft_decisions.internal.dispatch.documents import (
    ServiceSettings,
    TargetEntry,
)
from jacinthcroft_decisions.internal.dispatch.idle_connections import (
    IdleConnectionPolicy,
)
from jacinthcroft_decisions.internal.dispatch.messages import (
    Ask,
    AskKey,
    Outcome,
    Report,
)
from jacinthcroft_decisions.internal.dispatch.placement import (
    Requester,
    choose_target,
)
from jacinthcroft_decisions.internal.dispatch.route_latencies import (
    RouteLatencies,
)
from jacinthcroft_decisions.internal.dispatch.target_record import (
    RunningRequest,
    TargetRecord,
    TrustLevel,
)
from jacinthcroft_decisions.internal.dispatch.wait_queue import (
    Capacity,
    WaitQueue,
)
from jacinthcroft_decisions.internal.traffic.retry_budget import RetryBudget

# Part of its free slots that a doubtful target is counted with.
DOUBTFUL_SHARE: Final = 0.5
# How long an estimate of the room is used, in seconds: one turn of the VM.
CAPACITY_CACHE_SECONDS: Final = 0.03
# Targets that are missing from the list keep their record for so long, in
# seconds, since their entry may only have lapsed.
FORGET_SECONDS: Final = 10.0


@define
class ServiceBoard:
    """What the deciding VM knows of a service."""

    terms: ServiceSettings
    budget: RetryBudget
    queue: WaitQueue = field(factory=WaitQueue)
    records: dict[str, TargetRecord] = field(factory=dict)
    arrival_rates: ArrivalRates = field(factory=ArrivalRates)
    latencies: RouteLatencies = field(factory=RouteLatencies)
    idle_connections: IdleConnectionPolicy = field(factory=IdleConnectionPolicy)
    _usable: set[str] = field(factory=set)
    # Usable targets that have a free slot: in a burst these are few, and
    # every choice looks at them only.
    _free: dict[str, TargetRecord] = field(factory=dict)
    _capacity: Capacity | None = None
    _capacity_at: float = -math.inf
    _cold: dict[str, ColdAllowance] = field(factory=dict)

    @property
    def usable(self) -> Iterable[TargetRecord]:
        """The targets that may get requests."""
        return [self.records[target] for target in self._usable]

    @property
    def has_targets(self) -> bool:
        """Whether any target may get requests."""
        return bool(self._usable)

    @property
    def has_free_slots(self) -> bool:
        """Whether any target could take one more request."""
        return bool(self._free)

    def adopt(self, entries: Iterable[TargetEntry], now: float) -> None:
        """Takes the targets that may get requests from now on."""
        self._usable = set()
        for entry in entries:
            self._usable.add(entry.target_id)
            record = self.records.get(entry.target_id)
            if record is None or record.entry.born != entry.born:
                cold_until = now + entry.cold_seconds_left
                self.records[entry.target_id] = TargetRecord(entry, cold_until)
                self._cold.pop(entry.target_id, None)
            elif record.entry != entry:
                record.entry = entry
                record.cold_until = now + entry.cold_seconds_left
                record.has_lost_address = False
        for target in list(self.records):
            self._forget_if_gone(target, now)
        self._free = {}
        for record in self.usable:
            self._note_slots(record)
        self._capacity = None

    def estimate_capacity(self, now: float) -> Capacity:
        """Returns what the targets serve, doubtful ones in part."""
        if (
            self._capacity is None
            or now > self._capacity_at + CAPACITY_CACHE_SECONDS
        ):
            slots = sum(self._slots_of(record, now) for record in self.usable)
            self._capacity = Capacity(
                slots / self.latencies.mean_seconds, self.arrival_rates
            )
            self._capacity_at = now
        return self._capacity

    def choose(
        self,
        requester: Requester,
        share: float,
        now: float,
    ) -> TargetRecord | None:
        """Returns the target for a request, or None to wait."""
        ask = requester.ask
        candidates = [
            record
            for record in self._free.values()
            if self._may_get(record, ask, share, now)
        ]
        return choose_target(requester, candidates, now)

    def start(self, record: TargetRecord, ask: Ask, now: float) -> None:
        """Counts a request that is sent to a target."""
        record.start_request(ask.key, self.latencies.estimate(ask.route), now)
        self._note_slots(record)
        if record.is_cold(now):
            self._allowance(record).note_sent()

    def finish(
        self,
        record: TargetRecord,
        report: Report,
        now: float,
    ) -> None:
        """Takes in how a send ended."""
        record.finish_request(report.key, report.outcome, report.seconds, now)
        self._note_slots(record)
        if report.used_idle_connection:
            is_stale = report.outcome is Outcome.STALE
            self.idle_connections.record_result(was_reset=is_stale)

    def resume(self, record: TargetRecord, ask: Ask, started: float) -> None:
        """Takes over a send that another deciding VM granted."""
        record.running[ask.key] = RunningRequest(
            started, self.latencies.estimate(ask.route)
        )
        self._note_slots(record)

    def drop(self, record: TargetRecord, key: AskKey) -> None:
        """Forgets a send whose end nobody tells."""
        record.running.pop(key, None)
        self._note_slots(record)

    def _note_slots(self, record: TargetRecord) -> None:
        target = record.entry.target_id
        has_slot = len(record.running) < record.entry.slots
        is_there = target in self._usable and not record.has_lost_address
        if has_slot and is_there:
            self._free[target] = record
        else:
            self._free.pop(target, None)

    def _slots_of(self, record: TargetRecord, now: float) -> float:
        if record.has_lost_address or record.fails_fast:
            return 0
        if record.assess_trust(now) <= TrustLevel.UNKNOWN:
            return record.entry.slots
        free = record.entry.slots - len(record.running)
        return max(0, free) * DOUBTFUL_SHARE

    def _may_get(
        self,
        record: TargetRecord,
        ask: Ask,
        share: float,
        now: float,
    ) -> bool:
        if record.entry.target_id in ask.excluded:
            return False
        if not record.has_path_from(ask.vm, now):
            return False
        if not record.may_be_tried(now):
            return False
        if not record.is_cold(now):
            return True
        allowance = self._allowance(record)
        return allowance.may_send(now, self.terms.cold_rate, share)

    def _allowance(self, record: TargetRecord) -> ColdAllowance:
        return self._cold.setdefault(record.entry.target_id, ColdAllowance())

    def _forget_if_gone(self, target: str, now: float) -> None:
        if target in self._usable:
            return
        record = self.records[target]
        if not record.running and now > record.last_used_at + FORGET_SECONDS:
            self.records.pop(target)
            self._cold.pop(target, None)
