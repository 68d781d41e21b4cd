"""Runs a whole fleet on this machine and checks what it promises.

`python -m jacinthcroft_testkit.demo` starts the platform's stand-in, six VMs
in three availability zones and six targets for each service of the two
example deployments, sends requests while three VM processes are killed, and
exits 0 only if every statement that it prints holds.
"""

import argparse
import asyncio
import pathlib
import random
import sys
from collections.abc import Sequence

from attrs import define, evolve, field, frozen
from jacinthcroft_config import Problem, Service, parse_address
from jacinthcroft_http import ConnectionPool

from jacinthcroft_testkit.fleet import Fleet, FleetPlan
from jacinthcroft_testkit.internal.caller import Caller, Recorder
from jacinthcroft_testkit.internal.control import make_pool
from jacinthcroft_testkit.internal.deployments import deploy_examples
from jacinthcroft_testkit.internal.history import History, OutcomeKind
from jacinthcroft_testkit.internal.kinds import kinds_of
from jacinthcroft_testkit.internal.latency import Latency
from jacinthcroft_testkit.internal.load import run_closed, run_mixed
from jacinthcroft_testkit.internal.report import (
    Comparison,
    print_row,
    print_table,
)
from jacinthcroft_testkit.internal.requests import (
    Balancer,
    Entrance,
    RequestKind,
)
from jacinthcroft_testkit.internal.statements import (
    Statement,
    state_promises,
    state_settled,
)
from jacinthcroft_testkit.internal.target_messages import Traits

_EXAMPLES = pathlib.Path('examples')
_KILLED = ('vm4', 'vm5', 'vm6')
_TARGETS_PER_SERVICE = 6
_LATENCY_SERVICE = 'balances'
_TRAITS = Traits(service_ms=5, spread=0)


@frozen
class DemoPlan:
    """How much the demo sends; `answered_share` is of all requests."""

    requests: int = 800
    rate: float = 25
    latency_requests: int = 200
    answered_share: float = 0.9
    seed: int = 1


@define(eq=False)
class Demo:
    """One run of the demo on a running fleet."""

    _fleet: Fleet
    _plan: DemoPlan
    _services: Sequence[Service]
    _pool: ConnectionPool
    _randomness: random.Random
    _recorder: Recorder = field(factory=Recorder, init=False)
    _balancer: Balancer = field(init=False)
    _killed_late: list[str] = field(factory=list, init=False)

    async def run(self) -> bool:
        """Runs everything and returns whether every statement holds."""
        self._balancer = Balancer(self._entrances(), self._randomness)
        comparison = await self._compare_latency()
        async with asyncio.TaskGroup() as group:
            load = group.create_task(self._load())
            group.create_task(self._kill_vms(load))
        history = History(
            tuple(self._recorder.sent),
            tuple(self._recorder.outcomes),
            await self._fleet.read_runs(),
        )
        print_table(history, self._recorder.final, comparison)
        statements = self._state(history)
        sys.stdout.write('\n'.join(str(one) for one in statements))
        sys.stdout.write('\n')
        return all(statement.holds for statement in statements)

    async def _compare_latency(self) -> Comparison:
        kind = next(
            kind for kind in self._kinds() if kind.service == _LATENCY_SERVICE
        )
        ports = await self._fleet.targets.add(('direct',), _TRAITS)
        address = parse_address(ports['direct'])
        assert not isinstance(address, Problem), address
        direct = await self._time_calls(
            evolve(kind, api_key=''),
            [Entrance('direct', address)],
            Recorder('direct'),
        )
        through = await self._time_calls(
            kind,
            self._entrances(),
            Recorder('fleet'),
        )
        return Comparison(direct, through)

    async def _time_calls(
        self,
        kind: RequestKind,
        entrances: list[Entrance],
        recorder: Recorder,
    ) -> Latency:
        balancer = Balancer(entrances, self._randomness)
        caller = self._caller(balancer, recorder)
        requests = self._plan.latency_requests
        await run_closed(caller, [kind], 1, requests, self._randomness)
        return Latency.from_records(recorder.sent, recorder.outcomes)

    async def _load(self) -> None:
        await run_mixed(
            self._caller(self._balancer, self._recorder),
            self._kinds(),
            self._plan.rate,
            self._plan.requests,
            self._randomness,
        )

    async def _kill_vms(self, load: 'asyncio.Task[None]') -> None:
        step = self._plan.requests // (len(_KILLED) + 1)
        for number, name in enumerate(_KILLED, start=1):
            await self._recorder.wait_for_settled(number * step)
            await self._fleet.vms.kill(name)
            if load.done():
                self._killed_late.append(name)
            print_row(f'killed {name} after', len(self._recorder.final))
            self._fleet.vms.entries.pop(name)
            seconds = await self._fleet.spread_vm_list()
            self._balancer.retire(name)
            print_row('  its list in force after', f'{seconds:.2f} s')

    def _state(self, history: History) -> list[Statement]:
        final = self._recorder.final
        answered = sum(one.kind is OutcomeKind.ANSWERED for one in final)
        wanted = round(self._plan.answered_share * self._plan.requests)
        shortfall = () if answered >= wanted else (f'{answered} answered',)
        return [
            Statement('three VMs died during the load', self._killed_late),
            Statement(f'at least {wanted} requests were answered', shortfall),
            state_settled(history, (one.number for one in final)),
            *state_promises(history, self._services),
        ]

    def _kinds(self) -> list[RequestKind]:
        return [kind for one in self._services for kind in kinds_of(one)]

    def _entrances(self) -> list[Entrance]:
        entries = self._fleet.vms.entries.values()
        return [Entrance(vm.name, vm.callers) for vm in entries]

    def _caller(
        self,
        balancer: Balancer,
        recorder: Recorder,
    ) -> Caller:
        return Caller(balancer, recorder, self._pool, self._randomness)


async def run_demo(examples: pathlib.Path, plan: DemoPlan) -> bool:
    """Runs the demo on a fleet of its own."""
    print_row('seed', plan.seed)
    async with Fleet.from_plan(FleetPlan(seed=plan.seed)) as fleet:
        services = await deploy_examples(
            fleet,
            examples,
            _TARGETS_PER_SERVICE,
            _TRAITS,
        )
        print_row('services', len(services))
        await fleet.start_vms()
        print_row('VMs ready', ', '.join(fleet.vms.names()))
        randomness = random.Random(plan.seed)
        demo = Demo(fleet, plan, services, make_pool(), randomness)
        return await demo.run()


def main() -> int:
    """Returns 0 if every statement holds, 1 if not."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--examples', type=pathlib.Path, default=_EXAMPLES)
    parser.add_argument('--seed', type=int, default=1)
    arguments = parser.parse_args()
    plan = DemoPlan(seed=arguments.seed)
    return int(not asyncio.run(run_demo(arguments.examples, plan)))


if __name__ == '__main__':
    sys.exit(main())
