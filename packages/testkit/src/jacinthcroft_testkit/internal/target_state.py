"""What one stand-in target remembers: its runs and its temperature."""

import random

from attrs import define, evolve, field
from jacinthcroft_http import IncomingRequest

from jacinthcroft_testkit.internal.history import Run, RunResult
from jacinthcroft_testkit.internal.target_messages import (
    Behaviour,
    Faults,
    Traits,
)

_BOOT_ID_BITS = 64
_MILLISECONDS_PER_SECOND = 1000


@define
class TargetState:
    """One target without its sockets; times are given by the caller."""

    name: str
    traits: Traits
    randomness: random.Random
    faults: Faults = field(factory=Faults)
    sheds: int = 0
    probes: int = 0
    boot_id: str = field(init=False)
    _runs: list[Run] = field(factory=list, init=False)
    _running: set[int] = field(factory=set, init=False)
    _cold_since: float | None = field(default=None, init=False)
    _fallen_until: float = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        """Boots for the first time."""
        self.boot_id = self._draw_boot_id()

    @property
    def running(self) -> int:
        """How many requests run now."""
        return len(self._running)

    @property
    def runs(self) -> tuple[Run, ...]:
        """Everything that ever ran here."""
        return tuple(self._runs)

    @property
    def must_shed(self) -> bool:
        """Whether the next request would not find a slot."""
        return self.faults.is_shedding and self.running >= self.traits.slots

    def is_cold(self, now: float) -> bool:
        """Whether the target is in cold start."""
        if self._cold_since is None:
            return False
        return now - self._cold_since < self.traits.cold_seconds

    def turn_cold(self, now: float) -> None:
        """Begins a cold start without any sign."""
        self._cold_since = now

    def restart(self, now: float) -> None:
        """Crashes all that runs and begins a new life, cold."""
        for number in tuple(self._running):
            self.finish(number, RunResult.CRASHED, now)
        self.boot_id = self._draw_boot_id()
        self._fallen_until = 0
        self.turn_cold(now)

    def begin(
        self,
        request: IncomingRequest,
        now: float,
        connections: int,
    ) -> int:
        """Enters a run into the journal and returns its number there."""
        headers = request.headers
        number = len(self._runs)
        self._running.add(number)
        cold = self.is_cold(now)
        if cold and self.running > self.traits.cold_slots:
            self._fallen_until = now + self.traits.fall_seconds
        run = Run(
            target=self.name,
            request_id=headers.get('x-request-id') or '',
            key=headers.get('idempotency-key') or '',
            team=headers.get('x-team') or '',
            method=request.method,
            path=request.target,
            started=now,
            concurrency=self.running,
            connections=connections,
            cold_seconds=now - (self._cold_since or 0) if cold else None,
            has_seen_credentials=headers.get('authorization') is not None,
            boot_id=self.boot_id,
        )
        self._runs.append(run)
        return number

    def finish(self, number: int, result: RunResult, now: float) -> None:
        """Notes how a run ended; later words on the same run are ignored."""
        if number in self._running:
            self._running.remove(number)
            self._runs[number] = evolve(
                self._runs[number],
                ended=now,
                result=result,
            )

    def run_before(self, number: int) -> Run:
        """Returns the run before the given one, or that one itself."""
        return self._runs[max(0, number - 1)]

    def draw_behaviour(self) -> Behaviour:
        """Returns how to treat the next request."""
        point = self.randomness.random()
        for behaviour, share in self.faults.shares.items():
            point -= share
            if point < 0:
                return behaviour
        return Behaviour.ANSWER

    def draw_service_seconds(self, now: float) -> float:
        """Returns how long the next request runs."""
        spread = self.randomness.lognormvariate(0, self.traits.spread)
        milliseconds = self.traits.service_ms * spread * self.faults.slowness
        if self.is_cold(now):
            milliseconds *= self.traits.cold_factor
        # Work beyond the slots slows everything down.
        milliseconds *= max(1, self.running / self.traits.slots)
        return milliseconds / _MILLISECONDS_PER_SECOND

    def stall_left(self, now: float) -> float:
        """Returns for how many seconds the target is still fallen over."""
        return max(0, self._fallen_until - now)

    def _draw_boot_id(self) -> str:
        return f'{self.randomness.getrandbits(_BOOT_ID_BITS):016x}'
