"""The targets, the queue and the limits of one service.

The deciding VM, which decides for the VMs that follow it, keeps one for each
service. A VM sends it an ask for each attempt to have a target run a request.
A target has a slot for each request that it can run at once.
"""

import math
import zlib
from collections.abc import Iterable
from typing import Final

from attrs import define, field

from jacinthcroft_decisions.internal.dispatch.arrival_rates import (
    ArrivalRates,
)
from jacinthcroft_decisions.internal.dispatch.cold_start_limiter import (
    ColdStartLimiter,
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
    PendingAsk,
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
from jacinthcroft_decisions.internal.dispatch.target_signals import HeldTarget
from jacinthcroft_decisions.internal.dispatch.use_floor import UseFloor
from jacinthcroft_decisions.internal.dispatch.wait_queue import (
    Capacity,
    WaitQueue,
)
from jacinthcroft_decisions.internal.traffic.retry_budget import RetryBudget

# Share of its free slots that a target adds to the capacity while it is
# doubtful or avoided because of failures, slowness or a hanging request.
DOUBTFUL_SLOTS_SHARE: Final = 0.5
# How long an estimate over all targets is reused: one tick of the decider.
ESTIMATE_REUSE_SECONDS: Final = 0.03
# How long the record of a target that is no longer listed is kept, since its
# entry may only have expired and may come back.
UNLISTED_RECORD_SECONDS: Final = 10.0


@define
class ServiceState:
    """What the deciding VM, which is at `host`, knows of one service.

    Without a host, equal targets are chosen in the order of their entries.
    """

    settings: ServiceSettings
    retry_budget: RetryBudget
    use_floor: UseFloor
    host: str = ''
    queue: WaitQueue = field(factory=WaitQueue)
    records: dict[str, TargetRecord] = field(factory=dict)
    arrival_rates: ArrivalRates = field(factory=ArrivalRates)
    latencies: RouteLatencies = field(factory=RouteLatencies)
    idle_connections: IdleConnectionPolicy = field(
        factory=IdleConnectionPolicy,
    )
    # In the order of the entries, so that the same asks get the same decisions.
    _usable_target_ids: dict[str, None] = field(factory=dict)
    # Usable targets that have a free slot. In a burst these are few, so a
    # choice that considers only them is fast.
    _free_targets: dict[str, TargetRecord] = field(factory=dict)
    # The end of the last wait that a target asked for.
    _held_until: float = -math.inf
    _capacity: Capacity | None = None
    _capacity_at: float = -math.inf
    _needs_unused_targets: bool = False
    _floor_checked_at: float = -math.inf
    _cold_limiters: dict[str, ColdStartLimiter] = field(factory=dict)

    @property
    def usable(self) -> Iterable[TargetRecord]:
        """The targets that may get requests."""
        return [
            self.records[target_id] for target_id in self._usable_target_ids
        ]

    @property
    def has_targets(self) -> bool:
        """Whether any target may get requests."""
        return bool(self._usable_target_ids)

    @property
    def has_free_slots(self) -> bool:
        """Whether any target can take one more request."""
        return bool(self._free_targets)

    def update_targets(
        self,
        entries: Iterable[TargetEntry],
        now: float,
    ) -> None:
        """Replaces the targets that may get requests."""
        self._usable_target_ids = {}
        for entry in entries:
            self._usable_target_ids[entry.target_id] = None
            record = self.records.get(entry.target_id)
            if record is None or record.entry.born != entry.born:
                cold_until = now + entry.cold_seconds_left
                self.records[entry.target_id] = TargetRecord(
                    entry,
                    cold_until,
                    self._compute_tie_break(entry),
                )
                self._cold_limiters.pop(entry.target_id, None)
            elif record.entry != entry:
                record.entry = entry
                record.cold_until = now + entry.cold_seconds_left
                record.has_lost_address = False
        for target_id in list(self.records):
            self._forget_if_unlisted(target_id, now)
        self._free_targets = {}
        for record in self.usable:
            self._update_free_targets(record)
        self._capacity = None

    def hold_target(self, vm: str, held: HeldTarget, now: float) -> None:
        """Sends nothing to a target that has asked a VM for it."""
        target_id = held.target_id
        record = self.records.get(target_id)
        if record is None or record.entry.incarnation != held.incarnation:
            return
        if held.is_leaving:
            self._usable_target_ids.pop(target_id, None)
            self._free_targets.pop(target_id, None)
        else:
            until = now + held.seconds_left
            record.holds.hold(vm, until, now)
            self._held_until = max(self._held_until, until)
        self._capacity = None

    def seconds_until_room(self, vm: str, now: float) -> float:
        """Returns for how long every target asks the VM to wait."""
        if now >= self._held_until:
            return 0
        ends = [record.holds.ends_at(vm, now) for record in self.usable]
        return max(0, min(ends, default=now) - now)

    def estimate_capacity(self, now: float) -> Capacity:
        """Returns how much the targets can serve.

        The estimate is reused for one tick of the decider.
        """
        if (
            self._capacity is None
            or now > self._capacity_at + ESTIMATE_REUSE_SECONDS
        ):
            slots = sum(
                self._count_capacity_slots(record, now)
                for record in self.usable
            )
            self._capacity = Capacity(
                slots / self.latencies.mean_seconds,
                self.arrival_rates,
            )
            self._capacity_at = now
        return self._capacity

    def needs_unused_targets(self, now: float) -> bool:
        """Whether targets that are not in use should get requests.

        The answer is reused for one tick of the decider.
        """
        if now > self._floor_checked_at + ESTIMATE_REUSE_SECONDS:
            self._needs_unused_targets = self.use_floor.needs_unused_targets(
                self.usable, now
            )
            self._floor_checked_at = now
        return self._needs_unused_targets

    def find_target(
        self,
        pending: PendingAsk,
        share: float,
        now: float,
    ) -> TargetRecord | None:
        """Returns the target for an ask, or None if the ask has to wait.

        Args:
            pending: The ask to choose a target for.
            share: The part of the fleet that this deciding VM decides for.
            now: The current time.
        """
        ask = pending.ask
        candidates = [
            record
            for record in self._free_targets.values()
            if self._may_send_to(record, ask, share, now)
        ]
        return choose_target(pending, candidates, now)

    def start_request(
        self,
        record: TargetRecord,
        ask: Ask,
        now: float,
    ) -> None:
        """Counts a request that is sent to a target."""
        record.start_request(
            ask.key,
            self.latencies.estimate(ask.route),
            now,
        )
        self._update_free_targets(record)
        if record.is_cold(now):
            self._cold_limiter_of(record).count_request()

    def finish_request(
        self,
        record: TargetRecord,
        report: Report,
        now: float,
    ) -> None:
        """Records how an attempt on a target ended."""
        record.finish_request(
            report.key,
            report.outcome,
            report.seconds,
            now,
        )
        self._update_free_targets(record)
        if report.used_idle_connection:
            was_reset = report.outcome is Outcome.STALE
            self.idle_connections.record_result(was_reset=was_reset)

    def take_over_request(
        self,
        record: TargetRecord,
        ask: Ask,
        started: float,
    ) -> None:
        """Counts a running request that another deciding VM granted."""
        record.running[ask.key] = RunningRequest(
            started,
            self.latencies.estimate(ask.route),
        )
        self._update_free_targets(record)

    def drop_request(self, record: TargetRecord, key: AskKey) -> None:
        """Frees the slot of a request whose outcome will not be reported."""
        record.running.pop(key, None)
        self._update_free_targets(record)

    def _compute_tie_break(self, entry: TargetEntry) -> int:
        if not self.host:
            return 0
        # Different on each VM: VMs that each decide for themselves would all
        # choose the same target.
        return zlib.crc32(f'{self.host}/{entry.target_id}'.encode())

    def _update_free_targets(self, record: TargetRecord) -> None:
        target_id = record.entry.target_id
        has_slot = len(record.running) < record.entry.slots
        is_usable = (
            target_id in self._usable_target_ids and not record.has_lost_address
        )
        if has_slot and is_usable:
            self._free_targets[target_id] = record
        else:
            self._free_targets.pop(target_id, None)

    def _count_capacity_slots(self, record: TargetRecord, now: float) -> float:
        if record.has_lost_address or record.fails_fast:
            return 0
        if record.holds.is_untested:
            return 0 if record.holds.holds_all(now) else DOUBTFUL_SLOTS_SHARE
        if record.assess_trust(now) <= TrustLevel.UNKNOWN:
            return record.entry.slots
        free = record.entry.slots - len(record.running)
        return max(0, free) * DOUBTFUL_SLOTS_SHARE

    def _may_send_to(
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
        if record.is_held_for(ask.vm, now) or not record.may_get_request(now):
            return False
        if not record.is_cold(now):
            return True
        limiter = self._cold_limiter_of(record)
        return limiter.may_send(now, self.settings.cold_rate, share)

    def _cold_limiter_of(self, record: TargetRecord) -> ColdStartLimiter:
        return self._cold_limiters.setdefault(
            record.entry.target_id,
            ColdStartLimiter(),
        )

    def _forget_if_unlisted(self, target_id: str, now: float) -> None:
        if target_id in self._usable_target_ids:
            return
        record = self.records[target_id]
        if (
            not record.running
            and now > record.last_used_at + UNLISTED_RECORD_SECONDS
        ):
            self.records.pop(target_id)
            self._cold_limiters.pop(target_id, None)
