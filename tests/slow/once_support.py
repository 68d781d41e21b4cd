"""The fleet, callers and checks that the tests of requests and keys share.

One module's tests share one fleet: starting it takes longer than most of
them. A reset before each test heals what the one before broke.
"""

import asyncio
import functools
import random
import time
from collections.abc import Coroutine, Iterable, Iterator, Sequence
from typing import Any, TypeVar

from attrs import define, evolve, field
from jacinthcroft_config import Vm, VmState, hash_key
from jacinthcroft_http import ConnectionPool, now
from jacinthcroft_testkit import (
    History,
    Outcome,
    OutcomeKind,
    Run,
    find_false_refusals,
    find_foreign_answers,
    find_phantom_answers,
    find_repeated_runs,
    find_seen_credentials,
    find_torn_answers,
    find_wrong_teams,
)
from jacinthcroft_testkit.fleet import Fleet, FleetPlan
from jacinthcroft_testkit.internal.caller import Caller, Recorder
from jacinthcroft_testkit.internal.control import make_pool
from jacinthcroft_testkit.internal.identifiers import make_uuid7
from jacinthcroft_testkit.internal.links import Mode, Setting
from jacinthcroft_testkit.internal.platform_messages import Availability
from jacinthcroft_testkit.internal.requests import (
    Balancer,
    Entrance,
    RequestKind,
)
from jacinthcroft_testkit.internal.schedules import Change
from jacinthcroft_testkit.internal.target_messages import (
    Behaviour,
    Faults,
    Traits,
)
from jacinthcroft_testkit.internal.waiting import wait_until

SERVICE = 'transfers'
# What the coordination's terms say, in seconds.
LEASE_TERM_SECONDS = 3.0
FRESHNESS_SECONDS = 5.0
IN_FORCE_SECONDS = 8.0
PATIENCE_SECONDS = 30.0
_BOOKED_IN_A_ROW = 2
_BURST_SECONDS = 1.5
_LOOK_PAUSE_SECONDS = 0.1

Result = TypeVar('Result')

SERVICE_TEXT = """
service = "transfers"

[limits]
slots = 2
cold_slots = 2
cold_start_seconds = 0.5
connections = 300
floor = 0.5

[[routes]]
name = "book"
methods = ["POST"]
path = "/transfers"
teams = ["app"]
idempotent = false
class = "transfers"
deadline_ms = 8000

[[routes]]
name = "look"
methods = ["GET"]
path = "/transfers/{transfer}"
teams = ["app", "shop"]
idempotent = true
class = "states"
deadline_ms = 3000

[[routes]]
name = "rates"
methods = ["GET"]
path = "/rates/{day}"
access = "open"
idempotent = true
class = "states"
deadline_ms = 3000

[teams.app]
rate = 400.0
burst = 800
keys = ["sha256:APP"]

[teams.shop]
rate = 400.0
burst = 800
keys = [SHOP]
"""


def write_service(shop_keys: Sequence[str] = ('key-shop',)) -> str:
    """Returns the service file with the given keys of team shop."""
    hashes = ', '.join(f'"sha256:{hash_key(key)}"' for key in shop_keys)
    text = SERVICE_TEXT.replace('APP', hash_key('key-app'))
    return text.replace('SHOP', hashes)


BOOK = RequestKind(
    SERVICE,
    'app',
    'key-app',
    'POST',
    '/transfers',
    is_idempotent=False,
    body=b'{}',
    timeout=12,
)
LOOK = RequestKind(SERVICE, 'shop', 'key-shop', 'GET', '/transfers/{n}')
LOOK_BY_SPARE_KEY = evolve(LOOK, api_key='key-spare')


@define(eq=False)
class Bench:
    """A running fleet and one recorder for everything sent to it."""

    fleet: Fleet
    pool: ConnectionPool
    runner: asyncio.Runner
    randomness: random.Random
    recorder: Recorder = field(factory=Recorder)
    gone: dict[str, Vm] = field(factory=dict)
    _begun_at: float = field(factory=now)
    _resets: int = 0

    def run(self, scenario: Coroutine[Any, Any, Result]) -> Result:
        """Runs a scenario in the fleet's own event loop."""
        return self.runner.run(scenario)

    @property
    def vms(self) -> list[str]:
        """The VMs that the next list will name."""
        return self.fleet.vms.names()

    def new_key(self) -> str:
        """Returns a fresh idempotency key."""
        return make_uuid7(time.time(), self.randomness)

    def new_path(self, kind: RequestKind) -> str:
        """Returns a path that no other request has."""
        return kind.path_of(self.recorder.next_request())

    async def send(
        self,
        vm: str,
        kind: RequestKind,
        path: str,
        key: str = '',
    ) -> Outcome:
        """Sends once through one VM."""
        entry = self.fleet.vms.entries.get(vm) or self.gone[vm]
        entrance = Entrance(vm, entry.callers)
        caller = Caller(
            Balancer([entrance], self.randomness),
            self.recorder,
            self.pool,
            self.randomness,
        )
        return await caller.send(kind, path, key, entrance)

    async def look(self, vm: str, kind: RequestKind = LOOK) -> Outcome:
        """Sends a new idempotent request once."""
        return await self.send(vm, kind, self.new_path(kind))

    async def book(self, vm: str) -> Outcome:
        """Sends a new non-idempotent request once."""
        return await self.send(vm, BOOK, self.new_path(BOOK), self.new_key())

    async def runs_of_key(self, key: str) -> list[Run]:
        """Returns the runs of one idempotency key."""
        runs = await self.fleet.read_runs()
        return [run for run in runs if run.key == key]

    async def wait_for_run(self, key: str) -> None:
        """Waits until a target has begun to work on a key."""

        async def has_begun() -> bool:
            return bool(await self.runs_of_key(key))

        await wait_until(has_begun, f'a run of {key}', PATIENCE_SECONDS)

    async def wait_until_booking(self, vms: Iterable[str] = ()) -> None:
        """Waits until every named VM, or all, books new work again."""
        for vm in tuple(vms) or self.vms:
            await wait_until(
                functools.partial(self._books, vm),
                f'{vm} books',
                PATIENCE_SECONDS,
            )

    async def storm(
        self,
        vms: Sequence[str],
        keys: int,
        seconds: float,
        sendings: int = 3,
    ) -> list[Outcome]:
        """Sends each of many keys several times, through random VMs."""
        plans = [
            (self.new_path(BOOK), self.randomness.uniform(0, seconds))
            for _ in range(keys)
        ]
        bursts = await asyncio.gather(
            *(self._burst(vms, path, at, sendings) for path, at in plans),
        )
        return [outcome for burst in bursts for outcome in burst]

    async def storm_until_answered(
        self,
        vms: Sequence[str],
        keys: int,
    ) -> None:
        """Sends storms until a request of one of them is answered.

        Raises:
            WaitedTooLong: If that takes longer than any takeover may.
        """

        async def is_answered() -> bool:
            return answered(await self.storm(vms, keys, seconds=1)) > 0

        await wait_until(is_answered, 'an answer', PATIENCE_SECONDS)

    async def reset(self) -> None:
        """Heals the fleet, whatever a test left, and begins a new history."""
        for vm in self.vms:
            if self.fleet.vms.process(vm).has_ended:
                await self.fleet.vms.start(vm)
            self.fleet.vms.resume(vm)
            self.fleet.vms.mark(vm, VmState.LIVE)
        await self._take_faults_away()
        # A list that comes into force later may move the cell, and with it
        # stop what books already.
        await self.fleet.spread_vm_list()
        await self.wait_until_booking()
        self._begun_at = now()
        self._resets += 1
        self.recorder = Recorder(f'{self._resets}-')

    async def reset_keys(self) -> None:
        """Resets, and waits until `key-shop` is in force everywhere."""
        await self.reset()
        await self.wait_in_force(await self.publish_shop_keys('key-shop'))

    async def heal(self) -> None:
        """Takes every fault away and waits until all VMs book again."""
        await self._take_faults_away()
        await self.wait_until_booking()

    async def split(self, sources: Iterable[str], to: Sequence[str]) -> None:
        """Cuts everything that some VMs send to others; replies as well."""
        for source in sources:
            for other in to:
                if source != other:
                    await self.fleet.links.set(
                        f'{source}>{other}',
                        Setting(Mode.CUT),
                    )

    async def play(self, changes: Sequence[Change]) -> None:
        """Carries out a schedule of link faults."""
        begun = now()
        for change in changes:
            await asyncio.sleep(max(0, begun + change.at - now()))
            await self.fleet.links.set(
                change.pattern,
                change.setting,
                (change.direction,),
            )

    async def restart(self, vm: str) -> None:
        """Kills a VM and starts it anew, without memory."""
        await self.fleet.vms.kill(vm)
        await self.fleet.vms.start(vm)
        await self.fleet.vms.wait_ready([vm])

    async def publish_shop_keys(self, *keys: str) -> int:
        """Publishes other keys of team shop and returns the revision."""
        self.fleet.services.replace_text(SERVICE, write_service(keys))
        return await self.fleet.publish_services()

    async def revisions(self) -> dict[str, int]:
        """Returns each VM's configuration revision, 0 where none answers."""
        found = {}
        for vm in self.vms:
            status = await self.fleet.vms.read_status(vm)
            found[vm] = status['configuration_revision'] if status else 0
        return found

    async def wait_in_force(self, revision: int, *but: str) -> None:
        """Waits until a revision is in force on all VMs but some."""

        async def is_in_force() -> bool:
            revisions = await self.revisions()
            return all(
                there >= revision
                for vm, there in revisions.items()
                if vm not in but
            )

        await wait_until(
            is_in_force,
            f'revision {revision}',
            IN_FORCE_SECONDS,
        )

    async def look_everywhere(
        self,
        kind: RequestKind,
        seconds: float,
    ) -> list[Outcome]:
        """Sends through every VM, one after the other, for some time."""
        until = now() + seconds
        found = []
        while now() < until:
            looks = (self.look(vm, kind) for vm in self.vms)
            found.extend(await asyncio.gather(*looks))
            await asyncio.sleep(_LOOK_PAUSE_SECONDS)
        return found

    async def history(self) -> History:
        """Returns everything sent, received and run so far."""
        return History(
            tuple(self.recorder.sent),
            tuple(self.recorder.outcomes),
            await self.runs(),
        )

    async def runs(self) -> tuple[Run, ...]:
        """Returns what ran since the last reset."""
        runs = await self.fleet.read_runs()
        return tuple(run for run in runs if run.started >= self._begun_at)

    async def check(self) -> None:
        """Checks the whole history against what single requests promise."""
        history = await self.history()
        violations = (
            *find_repeated_runs(history.runs),
            *find_false_refusals(history),
            *find_foreign_answers(history),
            *find_torn_answers(history),
            *find_phantom_answers(history),
            *find_wrong_teams(history),
            *find_seen_credentials(history.runs),
        )
        assert not violations

    async def _take_faults_away(self) -> None:
        await self.fleet.links.set('*', Setting())
        await self.fleet.targets.set_faults('*', Faults())
        for reader in ('*', *self.vms):
            await self.fleet.platform.pin(reader, None)
            await self.fleet.platform.treat(reader, Availability.UP)

    async def _books(self, vm: str) -> bool:
        for _ in range(_BOOKED_IN_A_ROW):
            outcome = await self.book(vm)
            if outcome.kind is not OutcomeKind.ANSWERED:
                return False
        return True

    async def _burst(
        self,
        vms: Sequence[str],
        path: str,
        at: float,
        sendings: int,
    ) -> list[Outcome]:
        # The times are drawn first, so that a seed gives one schedule.
        moments = [
            (
                self.randomness.choice(vms),
                self.randomness.uniform(0, _BURST_SECONDS),
            )
            for _ in range(sendings)
        ]
        await asyncio.sleep(at)
        key = self.new_key()
        return await asyncio.gather(
            *(self._send_at(pause, vm, path, key) for vm, pause in moments),
        )

    async def _send_at(
        self,
        pause: float,
        vm: str,
        path: str,
        key: str,
    ) -> Outcome:
        await asyncio.sleep(pause)
        return await self.send(vm, BOOK, path, key)


async def start_bench(runner: asyncio.Runner, seed: int) -> Bench:
    """Starts six VMs in three zones and six targets, with faulty links."""
    plan = FleetPlan(vms=6, with_faults=True, seed=seed)
    fleet = await Fleet.from_plan(plan).__aenter__()
    bench = Bench(fleet, make_pool(), runner, random.Random(seed))
    try:
        await _start(bench)
    except BaseException:
        await fleet.__aexit__(None, None, None)
        raise
    return bench


async def _start(bench: Bench) -> None:
    names = [f'transfers-{number + 1}' for number in range(6)]
    traits = Traits(service_ms=20, spread=0)
    await bench.fleet.add_service(SERVICE, write_service(), names, traits)
    await bench.fleet.start_vms()
    await bench.wait_until_booking()


def make_bench(seed: int) -> Iterator[Bench]:
    """Yields a bench for a module's fixture, and ends its processes."""
    with asyncio.Runner() as runner:
        bench = runner.run(start_bench(runner, seed))
        try:
            yield bench
        finally:
            runner.run(bench.fleet.__aexit__(None, None, None))


def slow_down(seconds: float) -> Faults:
    """Returns faults that let every run take so many seconds."""
    return Faults(shares={Behaviour.LATE: 1}, late_seconds=seconds)


def answered(outcomes: Iterable[Outcome]) -> int:
    """Returns how many outcomes are answers."""
    kinds = [outcome.kind for outcome in outcomes]
    return kinds.count(OutcomeKind.ANSWERED)
