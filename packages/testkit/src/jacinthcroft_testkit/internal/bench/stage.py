"""One loaded service on one running fleet: where experiments happen."""

import asyncio
import math
import random
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager

from attrs import define, field, frozen
from jacinthcroft_http import ConnectionPool, now

from jacinthcroft_testkit.fleet import Fleet, FleetPlan
from jacinthcroft_testkit.internal.bench.experiments import System
from jacinthcroft_testkit.internal.caller import (
    Caller,
    Recorder,
    ResendPolicy,
)
from jacinthcroft_testkit.internal.control import make_pool
from jacinthcroft_testkit.internal.documents import (
    EXAMPLE_KEY,
    ServicePlan,
    write_service,
)
from jacinthcroft_testkit.internal.history import (
    Outcome,
    OutcomeKind,
    Run,
    Sent,
)
from jacinthcroft_testkit.internal.load import OpenLoop, run_open
from jacinthcroft_testkit.internal.requests import (
    Balancer,
    Entrance,
    RequestKind,
)
from jacinthcroft_testkit.internal.target_messages import Traits

SERVICE = 'recipes'
WARM_UP_LIMIT_SECONDS = 30
_WARM_UP_RATE = 80
_WARM_SHARE = 99


@frozen
class StagePlan:
    """A fleet with one service; `limits` are each team's rate and burst."""

    limits: Mapping[str, tuple[float, int]]
    vms: int = 6
    targets: int = 6
    traits: Traits = field(factory=lambda: Traits(service_ms=60))
    with_faults: bool = False


@define(eq=False)
class Stage:
    """A running fleet, its callers and what they recorded."""

    fleet: Fleet
    pool: ConnectionPool
    randomness: random.Random
    balancer: Balancer
    recorder: Recorder = field(factory=Recorder, init=False)
    warm_seconds: float = field(default=0, init=False)

    @property
    def targets(self) -> list[str]:
        """The names of the service's targets."""
        entries = self.fleet.services.targets_of(SERVICE)
        return [entry.name for entry in entries]

    def use_weights(self, weights: Mapping[str, float]) -> None:
        """Spreads callers over the VMs by weight from now on."""
        self.balancer = _balance(self.fleet, self.randomness, weights)

    async def send(self, rates: Mapping[str, float], seconds: float) -> None:
        """Sends reads for each team at its rate, until all are answered."""
        await run_open(
            self._caller(),
            [
                OpenLoop(read_kind(team), rate, seconds)
                for team, rate in rates.items()
            ],
            self.randomness,
        )

    async def read_runs(self) -> tuple[Run, ...]:
        """Returns all runs so far."""
        return (await self.fleet.targets.read_journal()).runs

    def settled(
        self,
        team: str = '',
        begin: float = 0,
        end: float = math.inf,
    ) -> list[tuple[Sent, Outcome]]:
        """Returns the requests sent in a time, with their outcomes."""
        sent = self.recorder.sent
        pairs = [(sent[one.number], one) for one in self.recorder.final]
        return [
            (request, outcome)
            for request, outcome in pairs
            if begin <= request.at < end and (not team or request.team == team)
        ]

    def _caller(self) -> Caller:
        # The bench counts what one sending meets; nobody tries again.
        return Caller(
            self.balancer,
            self.recorder,
            self.pool,
            self.randomness,
            ResendPolicy(sendings=1),
        )


@asynccontextmanager
async def stage(
    system: System,
    plan: StagePlan,
    seed: int,
) -> AsyncIterator[Stage]:
    """Starts a fleet of one system and warms it up."""
    fleet_plan = FleetPlan(
        vms=plan.vms,
        with_faults=plan.with_faults,
        seed=seed,
        daemon=system.value,
    )
    randomness = random.Random(seed)
    async with Fleet.from_plan(fleet_plan) as fleet:
        await fleet.add_service(
            SERVICE,
            write_service(ServicePlan(SERVICE, plan.limits)),
            [f't{number + 1}' for number in range(plan.targets)],
            plan.traits,
        )
        await fleet.start_vms()
        pool = make_pool()
        balancer = _balance(fleet, randomness, {})
        running = Stage(fleet, pool, randomness, balancer)
        await _warm_up(running, plan)
        yield running
        await pool.close()


def read_kind(team: str) -> RequestKind:
    """Returns the reads of a team."""
    return RequestKind(
        SERVICE,
        team,
        EXAMPLE_KEY + team,
        'GET',
        f'/{SERVICE}/items/i{{n}}',
        timeout=3,
    )


def answered_share(pairs: Sequence[tuple[Sent, Outcome]]) -> float:
    """Returns the percentage of requests with an own, whole 200 answer."""
    if not pairs:
        return math.nan
    good = sum(is_served(outcome) for _, outcome in pairs)
    return 100 * good / len(pairs)


def refused_share(
    pairs: Sequence[tuple[Sent, Outcome]],
    reason: str,
) -> float:
    """Returns the percentage of requests refused for a reason."""
    refused = sum(outcome.reason == reason for _, outcome in pairs)
    return 100 * refused / max(1, len(pairs))


def is_served(outcome: Outcome) -> bool:
    """Whether the caller got what it asked for."""
    is_good = outcome.kind is OutcomeKind.ANSWERED and outcome.status == 200
    return is_good and outcome.is_own and outcome.is_whole


async def wait_at(begun: float, seconds: float) -> None:
    """Waits until so many seconds after a time."""
    await asyncio.sleep(max(0, begun + seconds - now()))


async def _warm_up(running: Stage, plan: StagePlan) -> None:
    """Sends a moderate load until a whole second of it is served."""
    rates = dict.fromkeys(plan.limits, _WARM_UP_RATE / len(plan.limits))
    begun = now()
    while now() < begun + WARM_UP_LIMIT_SECONDS:
        second = now()
        await running.send(rates, 1)
        if answered_share(running.settled('', second)) >= _WARM_SHARE:
            break
    running.warm_seconds = now() - begun


def _balance(
    fleet: Fleet,
    randomness: random.Random,
    weights: Mapping[str, float],
) -> Balancer:
    entries = fleet.vms.entries.values()
    entrances = [Entrance(vm.name, vm.callers) for vm in entries]
    return Balancer(entrances, randomness, weights)
