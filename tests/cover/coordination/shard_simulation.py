"""A simulation of a few VMs of one shard over an unreliable network.

It is a test helper rather than a cluster simulator: it delivers coordination
messages with losses, duplicates, delays and one-way partitions, gives each VM
its own clocks, and pauses and restarts VMs.

It raises `Violation` as soon as two VMs hold the shard at the same time, a
key is run twice or a claim's verdict contradicts the runs.
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
CONFIG = CoordinationConfig(shard_count=1)

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
    """An invariant of the protocol did not hold."""


@frozen
class Variant:
    """The classes that the VMs run, which a test may replace by broken ones."""

    witness: _MakeWitness = Witness
    coordinator: _MakeCoordinator = Coordinator
    claim: _MakeClaim = Claim.start


@frozen
class Faults:
    """The network's faults.

    `loss`, `duplication` and `slow` are probabilities. A message
    takes up to `slow_seconds` if it is slow, else up to `usual_seconds`.
    """

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
    """One incarnation of a VM with its own clocks.

    `rate` is the speed of its boot clock; `wall_clock_skew` is the
    offset of its wall clock in seconds.
    """

    vm: str
    incarnation: str
    rate: float
    wall_clock_skew: float
    witness: Witness
    coordinator: Coordinator
    lists: dict[int, Placement] = field(factory=dict)
    claims: dict[str, Claim] = field(factory=dict)
    paused_until: float = 0

    def clock(self, true_time: float) -> float:
        return true_time * self.rate

    def wall(self, true_time: float) -> float:
        return WALL_START + true_time + self.wall_clock_skew

    @property
    def newest_placement(self) -> Placement:
        return self.lists[max(self.lists)]

    def adopt(self, placement: Placement, true_time: float) -> None:
        now = self.clock(true_time)
        self.lists[placement.revision] = placement
        self.coordinator.learn_history((placement,), now)
        self.witness.learn_history((placement,))
        self.coordinator.adopt(placement, now)
        self.witness.adopt(placement, now)


@frozen
class Envelope:
    """A request or its reply in the network.

    `sender` sent the request to the VM `to`. `requester` names the component of
    the sender that handles the reply: 'coordinator', 'witness' or a claim ID.
    """

    sender: Process
    to: str
    sent_at: float
    message: CoordinationRequest
    reply: CoordinationReply | None = None
    requester: str = 'coordinator'


@define(eq=False)
class Simulation:
    """The fleet, its network and the runs of each key.

    `published` holds the placement of each list, list 1 first. `blocked_links`
    holds the links, as sender and receiver, that deliver nothing. `runs` holds
    the claims that ran each key, and `held` all VMs that have been holders.
    """

    rng: random.Random
    faults: Faults = field(factory=Faults)
    variant: Variant = field(factory=Variant)
    time: float = 0
    processes: dict[str, Process] = field(factory=dict)
    published: list[Placement] = field(factory=list)
    blocked_links: set[tuple[str, str]] = field(factory=set)
    runs: dict[str, list[str]] = field(factory=dict)
    keys: list[str] = field(factory=list)
    held: set[str] = field(factory=set)
    _in_flight: list[tuple[float, int, Envelope]] = field(factory=list)
    _sequence: 'itertools.count[int]' = field(factory=itertools.count)

    def publish(self, names: tuple[str, ...]) -> None:
        revision = len(self.published) + 1
        vm_list = make_list(revision, names)
        self.published.append(Placement.from_vm_list(vm_list, CONFIG))

    def start(self, vm: str, revision: int) -> None:
        """Starts a VM, or restarts it without its state."""
        known = self.processes.get(vm)
        rate = known.rate if known else self.rng.uniform(0.96, 1.04)
        wall_clock_skew = (
            known.wall_clock_skew if known else self.rng.uniform(-0.9, 0.9)
        )
        incarnation = f'{vm}#{next(self._sequence)}'
        now = self.time * rate
        wall = WALL_START + self.time + wall_clock_skew
        process = Process(
            vm,
            incarnation,
            rate,
            wall_clock_skew,
            self.variant.witness(vm, incarnation, now, wall, CONFIG),
            self.variant.coordinator(vm, incarnation, now, CONFIG),
        )
        self.processes[vm] = process
        process.adopt(self.published[revision - 1], self.time)

    def is_reading_back(self, vm: str) -> bool:
        """Whether the VM has started and still reads its state back."""
        process = self.processes.get(vm)
        return process is not None and not process.witness.is_recovered

    def pause(self, vm: str, seconds: float) -> None:
        self.processes[vm].paused_until = self.time + seconds

    def adopt(self, vm: str, revision: int) -> None:
        placement = self.published[revision - 1]
        self.processes[vm].adopt(placement, self.time)

    def heal_and_adopt_newest(self) -> None:
        """Ends all partitions and lets every VM adopt the newest list."""
        self.blocked_links.clear()
        for vm in self.processes:
            self.adopt(vm, len(self.published))

    def drain(self, vm: str) -> None:
        process = self.processes[vm]
        now = process.clock(self.time)
        for outgoing in process.coordinator.release(now):
            self._send(process, outgoing, 'coordinator')

    def advance(self, seconds: float) -> None:
        """Lets time pass; VMs that are not paused tick ten times a second."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.time += STEP_SECONDS
            self._deliver_due_messages()
            for process in tuple(self.processes.values()):
                if process.paused_until <= self.time:
                    self._tick(process)
            self._deliver_due_messages()
            self.check_holders()

    def new_key(self, age: float | None = None) -> str:
        if age is None:
            age = self.rng.uniform(-1.9, 30)
        key = make_key(WALL_START + self.time - age, len(self.keys))
        self.keys.append(key)
        return key

    def claim(self, vm: str, key: str) -> None:
        """Starts a claim; the next tick after its verdict ends it."""
        process = self.processes[vm]
        claim_id = f'claim{next(self._sequence)}'
        claim = self.variant.claim(
            key,
            claim_id,
            process.newest_placement,
            CONFIG,
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
            raise Violation(f'two holders at {self.time} s: {holders}')

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
                process.adopt(placement, self.time)

    def _end_claim(self, process: Process, claim_id: str, claim: Claim) -> None:
        verdict = claim.verdict(process.clock(self.time))
        if verdict is None:
            return
        process.claims.pop(claim_id)
        self._check_verdict(claim, verdict)
        is_abandoned = self._happens(0.3)
        if is_abandoned or not isinstance(verdict, ClaimGranted):
            self._settle(process, claim.settle_released())
            return
        self._record_run(claim)
        answer = RecordedAnswer(200, (), claim_id)
        self._settle(process, claim.settle_answered(answer))

    def _happens(self, probability: float) -> bool:
        return self.rng.random() < probability

    def _record_run(self, claim: Claim) -> None:
        runs = self.runs.setdefault(claim.key, [])
        runs.append(claim.claim_id)
        if len(runs) > 1:
            raise Violation(f'{claim.key} ran twice at {self.time} s: {runs}')

    def _check_verdict(self, claim: Claim, verdict: object) -> None:
        runs = self.runs.get(claim.key, [])
        match verdict:
            case ClaimAnswered(answer) if answer.body_base64 not in runs:
                raise Violation(
                    f'{claim.key} has an answer that no run returned'
                )
            case ClaimUnavailable(is_not_run_certain=True) if runs:
                raise Violation(
                    f'{claim.key} has run but is reported as certainly not run'
                )

    def _settle(
        self,
        process: Process,
        messages: tuple[Outgoing, ...],
    ) -> None:
        if self._happens(0.7):
            for outgoing in messages:
                self._send(process, outgoing, 'settled')

    def _send(
        self, process: Process, outgoing: Outgoing, requester: str
    ) -> None:
        envelope = Envelope(
            process,
            outgoing.to,
            process.clock(self.time),
            outgoing.message,
            requester=requester,
        )
        self._transmit(process.vm, outgoing.to, envelope)

    def _transmit(
        self, sender_vm: str, receiver_vm: str, envelope: Envelope
    ) -> None:
        rng = self.rng
        if sender_vm == receiver_vm:
            self._schedule_delivery(0, envelope)
            return
        if (sender_vm, receiver_vm) in self.blocked_links:
            return
        copies = 2 if self._happens(self.faults.duplication) else 1
        for _ in range(copies):
            if self._happens(self.faults.loss):
                continue
            is_slow = self._happens(self.faults.slow)
            max_delay = (
                self.faults.slow_seconds
                if is_slow
                else self.faults.usual_seconds
            )
            self._schedule_delivery(rng.uniform(0, max_delay), envelope)

    def _schedule_delivery(self, delay: float, envelope: Envelope) -> None:
        due = self.time + delay
        heapq.heappush(self._in_flight, (due, next(self._sequence), envelope))

    def _deliver_due_messages(self) -> None:
        while self._in_flight and self._in_flight[0][0] <= self.time:
            self._deliver(heapq.heappop(self._in_flight)[2])

    def _deliver(self, envelope: Envelope) -> None:
        name = envelope.sender.vm if envelope.reply else envelope.to
        process = self.processes.get(name)
        if process is None:
            return
        if process.paused_until > self.time:
            self._schedule_delivery(process.paused_until - self.time, envelope)
        elif envelope.reply is None:
            self._handle_request(process, envelope)
        elif process is envelope.sender:
            self._handle_reply(process, envelope, envelope.reply)

    def _handle_request(self, process: Process, envelope: Envelope) -> None:
        reply = process.witness.handle(
            envelope.message,
            process.clock(self.time),
            process.wall(self.time),
        )
        answer = evolve(envelope, reply=reply)
        self._transmit(process.vm, envelope.sender.vm, answer)

    def _handle_reply(
        self,
        process: Process,
        envelope: Envelope,
        reply: CoordinationReply,
    ) -> None:
        now = process.clock(self.time)
        if envelope.requester == 'witness':
            process.witness.receive(envelope.to, reply, now)
        elif envelope.requester == 'coordinator':
            process.coordinator.receive(
                envelope.to,
                reply,
                envelope.sent_at,
                now,
            )
        claim = process.claims.get(envelope.requester)
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
