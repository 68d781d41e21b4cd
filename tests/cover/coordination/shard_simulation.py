"""A few VMs, a bad network and the checks of what must always hold.

This is a test helper, no cluster simulator: it delivers the decisions'
messages with losses, copies, delays and one-way partitions, gives each VM
its own clocks, and pauses and restarts VMs. `Violation` is raised as soon
as two VMs hold a shard at one moment or a key is run twice.
"""

import heapq
import itertools
import random
import uuid
from collections.abc import Callable
from typing import TypeAlias

from attrs import define, evolve, field, frozen
from jacinthcroft_config import Address, Vm, VmList, VmState
from jacinthcroft_decisions.coordination import (
    Claim,
    ClaimAnswered,
    ClaimGranted,
    ClaimUnavailable,
    CoordinationConfig,
    CoordinationReply,
    CoordinationRequest,
    Coordinator,
    Outgoing,
    Placement,
    RecordedAnswer,
    Witness,
)

ZONES = ('z0', 'z1', 'z2')
STEP_SECONDS = 0.1
WALL_START = 1_000_000
TERMS = CoordinationConfig(shard_count=1)

_MakeWitness: TypeAlias = Callable[
    [str, str, float, float, CoordinationConfig], Witness
]
_MakeCoordinator: TypeAlias = Callable[
    [str, str, float, CoordinationConfig], Coordinator
]
_MakeClaim: TypeAlias = Callable[
    [str, str, Placement, CoordinationConfig, float], Claim
]


class Violation(AssertionError):
    """Something that must always hold did not."""


@frozen
class Variant:
    """Which classes the VMs run, so that broken ones can be tried."""

    witness: _MakeWitness = Witness
    coordinator: _MakeCoordinator = Coordinator
    claim: _MakeClaim = Claim.start


@frozen
class Faults:
    """How bad the network is: shares of messages, and seconds."""

    loss: float = 0.1
    duplication: float = 0.1
    slow: float = 0.05
    slow_seconds: float = 6
    usual_seconds: float = 0.05


def make_vm(name: str, zone: str, state: VmState = VmState.LIVE) -> Vm:
    address = Address('127.0.0.1', 1)
    return Vm(name, zone, state, address, address, address)


def make_list(revision: int, names: tuple[str, ...]) -> VmList:
    return VmList(
        revision,
        tuple(make_vm(name, zone_of(name)) for name in names),
    )


def zone_of(name: str) -> str:
    return ZONES[int(name.removeprefix('vm')) % len(ZONES)]


def make_key(wall: float, number: int) -> str:
    time_ms = int(wall * 1000)
    bits = (time_ms << 80) | (7 << 76) | (2 << 62) | number
    return f'key:transfers/app/{uuid.UUID(int=bits)}'


@define(eq=False)
class Process:
    """One incarnation of a VM with its own clocks."""

    vm: str
    incarnation: str
    rate: float
    skew: float
    witness: Witness
    coordinator: Coordinator
    lists: dict[int, Placement] = field(factory=dict)
    claims: dict[str, Claim] = field(factory=dict)
    paused_until: float = 0

    def clock(self, true_time: float) -> float:
        return true_time * self.rate

    def wall(self, true_time: float) -> float:
        return WALL_START + true_time + self.skew

    @property
    def newest(self) -> Placement:
        return self.lists[max(self.lists)]

    def take_list(self, placement: Placement, true_time: float) -> None:
        now = self.clock(true_time)
        self.lists[placement.revision] = placement
        self.coordinator.learn_history((placement,), now)
        self.witness.learn_history((placement,))
        self.coordinator.adopt(placement, now)
        self.witness.adopt(placement, now)


@frozen
class Envelope:
    """A request or its reply on the way; `owner` sent the request."""

    owner: Process
    to: str
    sent_at: float
    message: CoordinationRequest
    reply: CoordinationReply | None = None
    part: str = 'coordinator'


@define(eq=False)
class Simulation:
    """The fleet, the network between its VMs and the history of runs."""

    rng: random.Random
    faults: Faults = field(factory=Faults)
    variant: Variant = field(factory=Variant)
    time: float = 0
    processes: dict[str, Process] = field(factory=dict)
    published: list[Placement] = field(factory=list)
    blocked: set[tuple[str, str]] = field(factory=set)
    runs: dict[str, list[str]] = field(factory=dict)
    keys: list[str] = field(factory=list)
    held: set[str] = field(factory=set)
    _wire: list[tuple[float, int, Envelope]] = field(factory=list)
    _numbers: 'itertools.count[int]' = field(factory=itertools.count)

    def publish(self, names: tuple[str, ...]) -> None:
        revision = len(self.published) + 1
        vm_list = make_list(revision, names)
        self.published.append(Placement.from_vm_list(vm_list, TERMS))

    def start(self, vm: str, revision: int) -> None:
        """Starts a VM, or restarts it with all memory lost."""
        known = self.processes.get(vm)
        rate = known.rate if known else self.rng.uniform(0.96, 1.04)
        skew = known.skew if known else self.rng.uniform(-0.9, 0.9)
        incarnation = f'{vm}#{next(self._numbers)}'
        now = self.time * rate
        wall = WALL_START + self.time + skew
        process = Process(
            vm,
            incarnation,
            rate,
            skew,
            self.variant.witness(vm, incarnation, now, wall, TERMS),
            self.variant.coordinator(vm, incarnation, now, TERMS),
        )
        self.processes[vm] = process
        process.take_list(self.published[revision - 1], self.time)

    def is_reading_back(self, vm: str) -> bool:
        """Whether the VM has started and still reads its state back."""
        process = self.processes.get(vm)
        return process is not None and not process.witness.is_recovered

    def pause(self, vm: str, seconds: float) -> None:
        self.processes[vm].paused_until = self.time + seconds

    def adopt(self, vm: str, revision: int) -> None:
        placement = self.published[revision - 1]
        self.processes[vm].take_list(placement, self.time)

    def adopt_newest(self) -> None:
        """Ends all partitions; every VM learns the newest list."""
        self.blocked.clear()
        for vm in self.processes:
            self.adopt(vm, len(self.published))

    def drain(self, vm: str) -> None:
        process = self.processes[vm]
        now = process.clock(self.time)
        for outgoing in process.coordinator.release(now):
            self._send(process, outgoing, 'coordinator')

    def advance(self, seconds: float) -> None:
        """Lets time pass; every VM ticks ten times a second."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.time += STEP_SECONDS
            self._deliver_due()
            for process in tuple(self.processes.values()):
                if process.paused_until <= self.time:
                    self._tick(process)
            self._deliver_due()
            self.check_holders()

    def new_key(self, age: float | None = None) -> str:
        if age is None:
            age = self.rng.uniform(-1.9, 30)
        key = make_key(WALL_START + self.time - age, len(self.keys))
        self.keys.append(key)
        return key

    def claim(self, vm: str, key: str) -> None:
        """Starts a claim; its end is decided when its verdict is known."""
        process = self.processes[vm]
        claim_id = f'claim{next(self._numbers)}'
        claim = self.variant.claim(
            key,
            claim_id,
            process.newest,
            TERMS,
            process.clock(self.time),
        )
        process.claims[claim_id] = claim
        for outgoing in claim.requests():
            self._send(process, outgoing, claim_id)

    def holders(self) -> list[str]:
        return [
            process.vm
            for process in self.processes.values()
            if process.coordinator.holds(0, process.clock(self.time))
        ]

    def check_holders(self) -> None:
        holders = self.holders()
        self.held.update(holders)
        if len(holders) > 1:
            raise Violation(f'two holders at {self.time}: {holders}')

    def _tick(self, process: Process) -> None:
        now = process.clock(self.time)
        for outgoing in process.witness.tick(now):
            self._send(process, outgoing, 'witness')
        for outgoing in process.coordinator.tick(now):
            self._send(process, outgoing, 'coordinator')
        for claim_id, claim in tuple(process.claims.items()):
            self._end_claim(process, claim_id, claim)
        for revision in process.coordinator.missing_revisions:
            if self._happens(0.1):
                placement = self.published[revision - 1]
                process.take_list(placement, self.time)

    def _end_claim(self, process: Process, claim_id: str, claim: Claim) -> None:
        verdict = claim.verdict(process.clock(self.time))
        if verdict is None:
            return
        process.claims.pop(claim_id)
        self._check_verdict(claim, verdict)
        is_given_up = self._happens(0.3)
        if is_given_up or not isinstance(verdict, ClaimGranted):
            self._settle(process, claim.settle_released())
            return
        self._run(claim)
        answer = RecordedAnswer(200, (), claim_id)
        self._settle(process, claim.settle_answered(answer))

    def _happens(self, share: float) -> bool:
        return self.rng.random() < share

    def _run(self, claim: Claim) -> None:
        runs = self.runs.setdefault(claim.key, [])
        runs.append(claim.claim_id)
        if len(runs) > 1:
            raise Violation(f'{claim.key} ran twice at {self.time}: {runs}')

    def _check_verdict(self, claim: Claim, verdict: object) -> None:
        runs = self.runs.get(claim.key, [])
        match verdict:
            case ClaimAnswered(answer) if answer.body_base64 not in runs:
                raise Violation(f'{claim.key} has an answer of no run')
            case ClaimUnavailable(is_not_run_certain=True) if runs:
                raise Violation(f'{claim.key} ran and was said not to have')

    def _settle(
        self,
        process: Process,
        messages: tuple[Outgoing, ...],
    ) -> None:
        if self._happens(0.7):
            for outgoing in messages:
                self._send(process, outgoing, 'settled')

    def _send(self, process: Process, outgoing: Outgoing, part: str) -> None:
        envelope = Envelope(
            process,
            outgoing.to,
            process.clock(self.time),
            outgoing.message,
            part=part,
        )
        self._post(process.vm, outgoing.to, envelope)

    def _post(self, source: str, target: str, envelope: Envelope) -> None:
        rng = self.rng
        if source == target:
            self._push(0, envelope)
            return
        if (source, target) in self.blocked:
            return
        copies = 2 if self._happens(self.faults.duplication) else 1
        for _ in range(copies):
            if self._happens(self.faults.loss):
                continue
            is_slow = self._happens(self.faults.slow)
            limit = (
                self.faults.slow_seconds
                if is_slow
                else self.faults.usual_seconds
            )
            self._push(rng.uniform(0, limit), envelope)

    def _push(self, delay: float, envelope: Envelope) -> None:
        due = self.time + delay
        heapq.heappush(self._wire, (due, next(self._numbers), envelope))

    def _deliver_due(self) -> None:
        while self._wire and self._wire[0][0] <= self.time:
            self._deliver(heapq.heappop(self._wire)[2])

    def _deliver(self, envelope: Envelope) -> None:
        name = envelope.owner.vm if envelope.reply else envelope.to
        process = self.processes.get(name)
        if process is None:
            return
        if process.paused_until > self.time:
            self._push(process.paused_until - self.time, envelope)
        elif envelope.reply is None:
            self._answer(process, envelope)
        elif process is envelope.owner:
            self._hand_reply(process, envelope, envelope.reply)

    def _answer(self, process: Process, envelope: Envelope) -> None:
        reply = process.witness.handle(
            envelope.message,
            process.clock(self.time),
            process.wall(self.time),
        )
        answer = evolve(envelope, reply=reply)
        self._post(process.vm, envelope.owner.vm, answer)

    def _hand_reply(
        self,
        process: Process,
        envelope: Envelope,
        reply: CoordinationReply,
    ) -> None:
        now = process.clock(self.time)
        if envelope.part == 'witness':
            process.witness.receive(envelope.to, reply, now)
        elif envelope.part == 'coordinator':
            process.coordinator.receive(
                envelope.to,
                reply,
                envelope.sent_at,
                now,
            )
        claim = process.claims.get(envelope.part)
        if claim is not None:
            claim.receive(envelope.to, reply, now)


def new_fleet(
    seed: int,
    count: int = 7,
    faults: Faults | None = None,
    variant: Variant | None = None,
) -> Simulation:
    """Returns a fleet whose VMs have all just started with list 1."""
    simulation = Simulation(
        random.Random(seed),
        faults or Faults(),
        variant or Variant(),
    )
    names = tuple(f'vm{number}' for number in range(count))
    simulation.publish(names)
    for name in names:
        simulation.start(name, 1)
    return simulation
