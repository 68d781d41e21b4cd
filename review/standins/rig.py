"""Runs the project's program on several loopback VMs between stand-ins.

The program is started with the command of the deploy file, as one process for
each VM, and started again after a short delay when it ends.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback

from http1 import encode_request, read_message
from store import Store
from target import Target

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ('muc-a', 'nue-a', 'muc-b')
RESTART_SECONDS = 0.5
# A run that takes longer is given up.
RUN_SECONDS = 115.0
READY_INTERVAL_SECONDS = 1.0
_SETTINGS = """
[Self]
Node = "{name}"
Role = "proxy"
InstanceClass = "front"
Serves = ["front","control"]
Ip = "{ip}"
Zone = "{zone}"
Region = "muenchen"
CountsAsLoss = false
Bootstrap = {bootstrap}
[Self.Limits]
CpuShare = 0.86
CpuSpeed = 1
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[Network]
PortRange = [{peers},{last_peer}]
Seeds = [{seeds}]
[Network.Listen]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
Control = "{ip}:{control}"
[Network.Zones]
muc-a = "muenchen"
nue-a = "muenchen"
muc-b = "muenchen"
[Platform]
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1500
[Platform.Platform]
Address = "{store}"
form = "read"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
[Terms]
Contracts = ["base","drain","config","cost","retry","recover","health","tenants","quota","places","platform"]
[Terms.FaultTolerance]
Machines = 1
Zones = 1
Regions = 0
[Terms.Bounds]
SeedLagS = 3
ReuseAfterS = 2
StableMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
MaxStretchMs = 5000
FailClosed = true
RevokeMs = 5000
RetryBudget = 0.2
BudgetWindowS = 10
RetrySlack = 64
QuotaWindowS = 5
QuotaOvershoot = 0.25
QuotaSlack = 20
ColdOvershoot = 1.5
ColdSlack = 5
EvacuateMs = 5000
RecoveryS = 15
ProbesPerS = 3
FloorShare = 0.7
"""


class CannotRun(Exception):
    """The case could not be played."""


class Vm:
    """One VM and the process on it."""

    def __init__(self, rig, index):
        self.rig = rig
        self.name = f'front-{index}'
        self.zone = ZONES[index % len(ZONES)]
        self.ip = f'{rig.net}.{index + 1}'
        self.process = None
        self.starts = 0
        self.own_ends = []
        self.is_ready = False
        self.is_held_down = False

    async def supervise(self):
        """Keeps the process running until the rig stops."""
        settings = self.rig.folder / f'{self.name}.toml'
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['JACINTHCROFT_CONFIG'] = str(settings)
        while not self.rig.is_stopping:
            settings.write_text(self.rig.render_settings(self))
            log = (self.rig.folder / f'{self.name}.log').open('ab')
            self.process = await asyncio.create_subprocess_exec(
                *self.rig.command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
            log.close()
            self.starts += 1
            self.rig.note('starts', vm=self.name, pid=self.process.pid)
            code = await self.process.wait()
            self.is_ready = False
            if self.rig.is_stopping:
                return
            if code != -signal.SIGKILL and code != 0:
                self.own_ends.append(self.rig.now())
                self.rig.note('ends-by-itself', vm=self.name, code=code)
            else:
                self.rig.note('ends', vm=self.name, code=code)
            await asyncio.sleep(RESTART_SECONDS)
            while self.is_held_down and not self.rig.is_stopping:
                await asyncio.sleep(0.05)

    def kill(self):
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()


class Rig:
    """VMs, the store, upstreams and clients of one run."""

    def __init__(self, folder, vm_count, configuration):
        self.case = pathlib.Path(folder)
        self.nonce = secrets.token_hex(3)
        self.random = random.Random(int(os.environ.get('SEED', '1')))
        self.configuration = configuration
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.is_stopping = False
        self.has_trouble = os.environ.get('TROUBLE', '1') != '0'
        self.answers = []
        self.runs = []
        self.targets = []
        self._record = (self.case / 'record.txt').open('w')
        self._begun = time.monotonic()
        self._tasks = []
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        self.command = next(iter(deploy['roles'].values()))['run'].split(' ')
        if not (ROOT / 'target' / 'deps').is_dir():
            raise CannotRun('target/deps is missing: run the build first')
        high, low = self.random.randrange(60, 250), os.getpid() % 250 + 1
        self.net = f'127.{high}.{low}'
        self.target_host = f'{self.net}.200'
        ports = [_find_free_port(self.net) for _ in range(4)]
        self.front, self.ready, self.control, self.peers = ports
        self.store = Store(self.note)
        self.vms = [Vm(self, index) for index in range(vm_count)]

    def now(self):
        """Seconds since the run began."""
        return time.monotonic() - self._begun

    def unix_ms(self):
        return int(time.time() * 1000)

    def note(self, event, **fields):
        """Adds a line to record.txt."""
        pairs = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._record.write(f'{self.now():9.3f} {event} {pairs}\n')

    def on_run(self, target, request, request_id):
        """Notes that an upstream began to run a request."""
        self.runs.append((self.now(), target.target_id, request_id, request))
        self.note('runs', target=target.target_id, request=request_id)

    def on_crash(self, target, request, request_id):
        self.note('crashes', target=target.target_id, request=request_id)

    def render_settings(self, vm):
        seeds = ', '.join(f'"{seed.ip}:{self.control}"' for seed in self.vms[:3])
        return _SETTINGS.format(
            name=vm.name,
            ip=vm.ip,
            zone=vm.zone,
            bootstrap='true' if not vm.starts else 'false',
            seeds=seeds,
            front=self.front,
            ready=self.ready,
            control=self.control,
            peers=self.peers,
            last_peer=self.peers + 15,
            store=f'{self.net}.220:{self.store.port}',
        )

    async def start(self):
        """Starts the store and the VMs; waits until all VMs are ready."""
        await self.store.start(f'{self.net}.220')
        await self.store.put('op/config', self.configuration)
        self._spawn(self._beat())
        for vm in self.vms:
            self._spawn(vm.supervise())
            self._spawn(self._check_ready(vm))
        deadline = self.now() + 30
        while not all(vm.is_ready for vm in self.vms):
            if self.now() > deadline:
                raise CannotRun('the VMs did not become ready')
            await asyncio.sleep(0.1)

    async def add_target(self, service, zone, work_seconds, cold_seconds=0.0):
        target = Target(self, service, zone, work_seconds, cold_seconds)
        await target.start()
        self.targets.append(target)
        return target

    async def stop(self):
        """Ends every process that the run started."""
        self.is_stopping = True
        for vm in self.vms:
            vm.kill()
        for vm in self.vms:
            if vm.process:
                await vm.process.wait()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for target in self.targets:
            if target.is_alive:
                target.crash()
        self.store.stop()
        if os.environ.get('KEEP_LOGS'):
            for log in self.folder.glob('*.log'):
                shutil.copy(log, os.environ['KEEP_LOGS'])
        shutil.rmtree(self.folder, ignore_errors=True)
        self._record.flush()

    def finish(self, text, code):
        """Writes the result; returns the exit code."""
        self._record.write(f'{text}\nexit {code}\n')
        self._record.close()
        print(text)
        return code

    def choose_vm(self):
        """Returns the VM that the platform's address leads to."""
        return self.random.choice([vm for vm in self.vms if vm.is_ready] or self.vms)

    def spawn(self, coroutine):
        return self._spawn(coroutine)

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.append(task)
        return task

    async def _beat(self):
        while True:
            await asyncio.sleep(1.5)
            for target in tuple(self.targets):
                if target.is_alive and target.cold_until > self.now() - 2:
                    await target.publish('ready')

    async def _check_ready(self, vm):
        misses = 0
        while True:
            status = 0
            with contextlib.suppress(OSError, EOFError, TimeoutError, ValueError):
                async with asyncio.timeout(READY_INTERVAL_SECONDS):
                    reader, writer = await asyncio.open_connection(vm.ip, self.ready)
                    writer.write(encode_request('GET', '/-/ready', [('Host', vm.ip)]))
                    response = await read_message(reader)
                    status = response.status if response else 0
                    writer.close()
            misses = 0 if status == 200 else misses + 1
            if not misses:
                vm.is_ready = True
            elif misses > 1:
                vm.is_ready = False
            await asyncio.sleep(READY_INTERVAL_SECONDS)


class Client:
    """A client that keeps its connection for several requests."""

    def __init__(self, rig, key, host='ficu95.example'):
        self.rig = rig
        self.key = key
        self.host = host
        self.vm = None
        self._reader = None
        self._writer = None

    async def call(self, method, path, deadline_ms, body=b'', request_id=None):
        """Sends one request; returns (status or 0, response or None)."""
        rig = self.rig
        request_id = request_id or secrets.token_hex(8)
        status, response, fault = 0, None, ''
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                if self._writer is None:
                    self.vm = rig.choose_vm()
                    async with asyncio.timeout(1):
                        self._reader, self._writer = await asyncio.open_connection(
                            self.vm.ip, rig.front
                        )
                headers = [
                    ('Host', self.host),
                    ('X-Attempt-Id', request_id),
                    ('X-Request-Deadline', deadline_ms),
                    ('Authorization', f'Bearer {self.key}'),
                ]
                rig.note('sent', request=request_id, vm=self.vm.name, path=path)
                self._writer.write(encode_request(method, path, headers, body))
                response = await read_message(self._reader)
                status = response.status if response else 0
        except (OSError, EOFError, TimeoutError, ValueError) as error:
            fault = repr(error)
        closes = response is None or (
            response.headers.get('connection', '').lower() == 'close'
        )
        if closes:
            self.close()
        rig.note('answered', request=request_id, status=status, fault=fault)
        rig.answers.append((rig.now(), request_id, path, status))
        return status, response

    def close(self):
        if self._writer is not None:
            self._writer.close()
        self._writer = None


def _find_free_port(net):
    for _ in range(50):
        port = random.randrange(20_000, 30_000)
        try:
            for last in range(1, 17):
                with socket.socket() as probe:
                    probe.bind((f'{net}.{last}', port))
        except OSError:
            continue
        return port
    raise CannotRun('no free port')


def make_route(name, prefix, kind, service, timeout_ms=1500, attempts=2):
    return {
        'EntryKind': 'Routes',
        'Metadata': {'Name': name},
        'Spec': {
            'Hostname': 'ficu95.example',
            'Prefix': prefix,
            'RouteType': kind,
            'TimeoutMs': timeout_ms,
            'TargetLatencyMs': 800,
            'Priority': 1,
            'Service': service,
            'MaxAttempts': attempts,
            'Public': False,
        },
    }


def make_configuration(version, routes, services, tenants):
    """Returns a configuration; `tenants` maps names to keys."""
    resources = list(routes)
    for service in services:
        resources.append(
            {
                'EntryKind': 'Services',
                'Metadata': {'Name': service},
                'Spec': {
                    'HealthPath': '/health',
                    'MaxConns': 390,
                    'Protocol': 'h1',
                    'Tls': False,
                    'ColdStartS': 3.0,
                    'ColdPerS': 2.5,
                },
            }
        )
    for tenant, keys in tenants.items():
        resources.append(
            {
                'EntryKind': 'Tenants',
                'Metadata': {'Name': tenant},
                'Spec': {'ApiKeys': keys, 'Priority': 1},
            }
        )
    resources.append(
        {
            'EntryKind': 'Limits',
            'Metadata': {},
            'Spec': {
                'MaxHeaderBytes': 16384,
                'MaxBodyBytes': 67108864,
                'HeaderTimeoutMs': 3000,
                'IdleTimeoutMs': 15000,
            },
        }
    )
    return {'Version': f'{version:08x}', 'Resources': resources}


async def make_load(rig, clients, per_second, seconds, make_request):
    """Sends requests for some seconds from clients by turns."""
    free = list(clients)
    calls = set()
    end = rig.now() + seconds

    async def call(client):
        method, path, deadline_ms, body = make_request()
        try:
            await client.call(method, path, deadline_ms, body)
        finally:
            free.append(client)

    while rig.now() < end:
        await asyncio.sleep(rig.random.expovariate(per_second))
        if free:
            client = free.pop(0)
            task = asyncio.create_task(call(client))
            calls.add(task)
            task.add_done_callback(calls.discard)
    if calls:
        await asyncio.wait(calls, timeout=5)


async def _play_within_limit(play):
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    async with asyncio.timeout(RUN_SECONDS):
        return await play()


def main(play):
    """Runs a case; exits with 2 if it could not be played."""
    try:
        sys.exit(asyncio.run(_play_within_limit(play)))
    except SystemExit:
        raise
    except BaseException:
        traceback.print_exc()
        sys.exit(2)
