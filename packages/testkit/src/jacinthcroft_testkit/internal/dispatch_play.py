"""Plays a load against dispatch decisions in virtual time, without sockets.

Targets have slots and fail by episodes: while one lasts, most requests that
reach the target hang until their caller gives up. The same load can be
played with the product's decider and with a random choice as baseline.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from typing import Final, Protocol

from attrs import define, field, frozen
from jacinthcroft_decisions.dispatch import (
    IDLE_CONNECTION_SECONDS,
    Ask,
    Decider,
    Decision,
    Grant,
    Outcome,
    Report,
    TargetEntry,
)

from jacinthcroft_testkit.internal.target_use import TargetUse

# Seconds between turns of the deciding VM.
TICK_SECONDS: Final = 0.03
# How long a connection stays open without a request, in seconds.
IDLE_SECONDS: Final = 7.5
# How long a target that resets takes for it, in seconds.
RESET_SECONDS: Final = 0.01
# Requests that a target lets wait for a slot; more are turned down.
TARGET_QUEUE: Final = 8


@frozen
class Load:
    """What callers send and how targets fail; times in seconds.

    `sick_share` is the part of the time that a target is in an episode, in
    which it hangs in `hang_share` of its requests. `short_share` of the
    requests go to another route, and take `short_work`. The first
    `forget_share` of the targets forget connections that rested longer than
    `forget_seconds`. The first `reset_share` of them reset everything at once.
    If `sick_error_seconds` is set, a target in an episode does not hang but
    responds with an error after that time. `error_share` of all requests end
    with an ordinary error, after the usual work.
    """

    targets: tuple[TargetEntry, ...]
    per_second: float
    seconds: float
    work: float = 0.25
    deadline: float = 1.5
    objective: float = 0.8
    repeatable_share: float = 0.25
    sick_share: float = 0.3
    sick_seconds: float = 2.7
    hang_share: float = 0.75
    urgent_share: float = 0.5
    vms: int = 24
    short_share: float = 0.0
    short_work: float = 0.005
    forget_share: float = 0.0
    forget_seconds: float = 0.2
    reset_share: float = 0.0
    sick_error_seconds: float | None = None
    error_share: float = 0.0


@frozen
class PlayResult:
    """What callers got, as numbers of requests."""

    sent: int
    in_objective: int
    served: int
    refused: int
    failed: int
    refused_late: int
    by_rank: dict[int, float]
    most_running: int
    new_connections: int
    least_used_share: float
    floor_misses: int

    @property
    def served_share(self) -> float:
        """Which part of the requests got a whole answer."""
        return self.served / max(1, self.sent)


class Policy(Protocol):
    """Chooses targets, as the decider does."""

    def decide(self, ask: Ask, zone: str, now: float) -> Decision | None:
        """Decides an ask or lets it wait."""

    def handle_report(self, report: Report, now: float) -> list[Decision]:
        """Takes in how a send ended."""

    def tick(self, now: float) -> list[Decision]:
        """Takes a turn."""


@define
class RandomChoice:
    """The baseline: any target, at once, without memory."""

    targets: tuple[TargetEntry, ...]
    source: random.Random

    def decide(self, ask: Ask, zone: str, now: float) -> Decision | None:
        """Grants a random target that has not had the request."""
        left = [
            entry
            for entry in self.targets
            if entry.target_id not in ask.excluded
        ]
        entry = self.source.choice(left)
        return Grant(ask.key, entry.target_id, entry.host, entry.port, 0.6)

    def handle_report(self, report: Report, now: float) -> list[Decision]:
        """Learns nothing."""
        return []

    def tick(self, now: float) -> list[Decision]:
        """Decides nothing later."""
        return []


@define
class _Target:
    entry: TargetEntry
    episodes: list[float]
    running: int = 0
    waiting: list[Callable[[], None]] = field(factory=list)

    def end(self) -> None:
        """Ends a request."""
        self.running -= 1


@define
class _Request:
    sent_at: float
    is_repeatable: bool
    rank: int
    vm: str
    is_short: bool
    is_over: bool = False
    sends: int = 0
    tried: tuple[str, ...] = ()


@define
class DispatchPlay:
    """One play of a load; the same seed plays the same load."""

    load: Load
    policy: Policy
    source: random.Random
    _events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _order: 'itertools.count[int]' = field(factory=itertools.count)
    _targets: dict[str, _Target] = field(factory=dict)
    _asked: dict[tuple[str, int], _Request] = field(factory=dict)
    _tally: Counter[str] = field(factory=Counter)
    _ranks: Counter[tuple[int, str]] = field(factory=Counter)
    _most_running: int = 0
    _used: dict[tuple[str, str], float] = field(factory=dict)
    _rested: set[tuple[str, int]] = field(factory=set)
    _now: float = 0
    _use: TargetUse = field(init=False)

    def run(self) -> PlayResult:
        """Plays the whole load and returns what callers got."""
        self._prepare()
        while self._events:
            at, _, happen = heapq.heappop(self._events)
            self._now = at
            happen()
        tally = self._tally
        by_rank = {
            rank: self._ranks[(rank, 'served')] / self._ranks[(rank, 'sent')]
            for rank in (0, 1)
            if self._ranks[(rank, 'sent')]
        }
        return PlayResult(
            sent=tally['sent'],
            in_objective=tally['in_objective'],
            served=tally['served'],
            refused=tally['refused'],
            failed=tally['failed'],
            refused_late=tally['refused_late'],
            by_rank=by_rank,
            most_running=self._most_running,
            new_connections=tally['connections'],
            least_used_share=self._use.least_used_share,
            floor_misses=self._use.floor_misses,
        )

    def _prepare(self) -> None:
        load = self.load
        for entry in load.targets:
            self._targets[entry.target_id] = _Target(entry, self._episodes())
        self._use = TargetUse(
            load.seconds,
            load.sick_seconds,
            {
                target_id: target.episodes
                for target_id, target in self._targets.items()
            },
        )
        at = 0.0
        while at < load.seconds:
            at += self.source.expovariate(load.per_second)
            self._at(at, self._arrive)
        end = load.seconds + load.deadline
        for turn in range(int(end / TICK_SECONDS)):
            self._at(turn * TICK_SECONDS, self._tick)

    def _episodes(self) -> list[float]:
        load = self.load
        gap = load.sick_seconds * (1 / max(load.sick_share, 0.001) - 1)
        starts: list[float] = []
        at = self.source.uniform(-load.sick_seconds, gap)
        while at < load.seconds + load.deadline:
            starts.append(at)
            at += load.sick_seconds + gap * self.source.uniform(0.5, 1.5)
        return starts

    def _at(self, at: float, happen: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), happen))

    def _tick(self) -> None:
        for decision in self.policy.tick(self._now):
            self._take(decision)

    def _arrive(self) -> None:
        load = self.load
        request = _Request(
            self._now,
            self.source.random() < load.repeatable_share,
            int(self.source.random() >= load.urgent_share),
            f'vm{self.source.randrange(load.vms)}',
            load.short_share > 0 and self.source.random() < load.short_share,
        )
        self._tally['sent'] += 1
        self._ranks[(request.rank, 'sent')] += 1
        self._at(self._now + load.deadline, lambda: self._expire(request))
        self._ask(request)

    def _ask(self, request: _Request) -> None:
        load = self.load
        waited = self._now - request.sent_at
        ask = Ask(
            request.vm,
            next(self._order),
            self.load.targets[0].service,
            '',
            request.is_repeatable,
            1 + request.sends,
            request.rank,
            load.deadline - waited,
            load.objective - waited,
            excluded=request.tried,
            route='short' if request.is_short else 'long',
        )
        self._asked[ask.key] = request
        decision = self.policy.decide(ask, 'a', self._now)
        if decision is not None:
            self._take(decision)

    def _take(self, decision: Decision) -> None:
        request = self._asked[decision.key]
        if isinstance(decision, Grant):
            self._send(request, decision)
        elif not request.sends and not request.is_over:
            self._give_up(request, 'refused')
            is_late = self._now - request.sent_at > self.load.objective
            self._tally['refused_late'] += is_late

    def _send(self, request: _Request, grant: Grant) -> None:
        if request.is_over:
            self._report(grant, Outcome.ABANDONED, self._now)
            return
        request.sends += 1
        request.tried = (*request.tried, grant.target_id)
        target = self._targets[grant.target_id]
        self._use.sends.append((self._now, grant.target_id))
        path = (request.vm, grant.target_id)
        idle = self._now - self._used.get(path, -IDLE_SECONDS)
        is_kept = idle < min(IDLE_SECONDS, grant.max_rest or IDLE_SECONDS)
        was_rested = is_kept and idle >= IDLE_CONNECTION_SECONDS
        self._tally['connections'] += not is_kept
        if was_rested and self._has_forgotten(target, idle):
            self._used.pop(path)
            self._rested.add(grant.key)
            self._lose(request, grant, Outcome.STALE, self._now)
            return
        self._used[path] = self._now
        if was_rested:
            self._rested.add(grant.key)
        if self._resets(target):
            begun = self._now
            self._used.pop(path)
            self._at(
                begun + RESET_SECONDS,
                lambda: self._lose(request, grant, Outcome.BROKEN, begun),
            )
            return
        if target.running >= target.entry.slots + TARGET_QUEUE:
            self._report(grant, Outcome.SHED, self._now)
            return
        target.running += 1
        self._most_running = max(self._most_running, target.running)
        self._start(request, grant, target)
        if request.is_repeatable and request.sends == 1:
            again = self._now + grant.patience
            self._at(again, lambda: self._try_again(request))

    def _has_forgotten(self, target: _Target, idle: float) -> bool:
        load = self.load
        place = load.targets.index(target.entry)
        is_forgetting = place < load.forget_share * len(load.targets)
        return is_forgetting and idle > load.forget_seconds

    def _resets(self, target: _Target) -> bool:
        place = self.load.targets.index(target.entry)
        return place < self.load.reset_share * len(self.load.targets)

    def _lose(
        self,
        request: _Request,
        grant: Grant,
        outcome: Outcome,
        begun: float,
    ) -> None:
        """Ends a send whose connection was reset."""
        self._report(grant, outcome, begun)
        if request.is_repeatable and request.sends == 1:
            self._ask(request)
        elif not request.is_repeatable and not request.is_over:
            self._give_up(request, 'failed')

    def _try_again(self, request: _Request) -> None:
        if not request.is_over:
            self._ask(request)

    def _start(
        self,
        request: _Request,
        grant: Grant,
        target: _Target,
    ) -> None:
        begun = self._now
        deadline = request.sent_at + self.load.deadline
        queued = max(0, target.running - target.entry.slots)
        usual = self.load.short_work if request.is_short else self.load.work
        work = usual * self.source.lognormvariate(-0.11, 0.47)
        ends = begun + work + queued * self.load.work / target.entry.slots
        is_sick = self._is_sick(target)
        error_seconds = self._draw_error_seconds(work, is_sick=is_sick)
        if error_seconds is not None:
            self._at(begun + error_seconds, target.end)
            self._at(
                begun + error_seconds,
                lambda: self._lose(request, grant, Outcome.ERROR, begun),
            )
            return
        if is_sick or ends > deadline:
            self._at(deadline, target.end)
            self._at(
                deadline,
                lambda: self._report(grant, Outcome.SILENT, begun),
            )
            return
        self._at(ends, target.end)
        self._at(ends, lambda: self._finish(request, grant, begun))

    def _draw_error_seconds(
        self, work: float, *, is_sick: bool
    ) -> float | None:
        """Returns after how long a target responds with an error, if any."""
        load = self.load
        if is_sick:
            return load.sick_error_seconds
        if load.error_share and self.source.random() < load.error_share:
            return work
        return None

    def _is_sick(self, target: _Target) -> bool:
        load = self.load
        is_in_episode = any(
            start <= self._now < start + load.sick_seconds
            for start in target.episodes
        )
        return is_in_episode and self.source.random() < load.hang_share

    def _finish(self, request: _Request, grant: Grant, begun: float) -> None:
        self._report(grant, Outcome.SERVED, begun)
        if request.is_over:
            return
        request.is_over = True
        self._tally['served'] += 1
        self._ranks[(request.rank, 'served')] += 1
        is_in_time = self._now - request.sent_at <= self.load.objective
        self._tally['in_objective'] += is_in_time

    def _report(self, grant: Grant, outcome: Outcome, begun: float) -> None:
        report = Report(
            grant.key,
            outcome,
            self._now - begun,
            grant.key in self._rested,
        )
        for decision in self.policy.handle_report(report, self._now):
            self._take(decision)

    def _expire(self, request: _Request) -> None:
        if not request.is_over:
            self._give_up(request, 'failed')

    def _give_up(self, request: _Request, tally: str) -> None:
        request.is_over = True
        self._tally[tally] += 1
        self._use.lost_at.append(self._now)


def play_decider(load: Load, decider: Decider, seed: int) -> PlayResult:
    """Plays a load with the product's decisions."""
    return DispatchPlay(load, decider, random.Random(seed)).run()


def play_random(load: Load, seed: int) -> PlayResult:
    """Plays a load with a random choice."""
    choice = RandomChoice(load.targets, random.Random(seed + 1))
    return DispatchPlay(load, choice, random.Random(seed)).run()
