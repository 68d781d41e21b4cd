"""What a VM adopts from the platform and from its peers' updates."""

import asyncio
import hashlib
import json
from typing import Any

from jacinthcroft_config import Tunables, VmList, hash_key, load_vm_list
from jacinthcroft_daemon.internal.fleet.list_history import PublishedText
from jacinthcroft_daemon.internal.fleet.messages import PartsReply, UpdatesReply
from jacinthcroft_daemon.internal.fleet.updater import FleetUpdater
from jacinthcroft_daemon.internal.fleet.view import FleetView
from jacinthcroft_daemon.internal.peers import PeerClient, Signer
from jacinthcroft_daemon.internal.platform import NoNewerValue, PlatformValue
from jacinthcroft_decisions.coordination import CoordinationConfig
from jacinthcroft_http import ConnectionPool, PoolLimits, now

_SERVICE = f"""
service = "labels"
[limits]
slots = 1
cold_slots = 1
cold_start_seconds = 1.0
connections = 10
floor = 0.5
[[routes]]
name = "look"
methods = ["GET"]
path = "/labels"
teams = ["shop"]
idempotent = true
class = "labels"
deadline_ms = 1000
[teams.shop]
rate = 1.0
burst = 1
keys = ["sha256:{hash_key('key')}"]
[targets.t1]
address = "127.0.0.1:9"
zone = "muc1"
"""
_LOOP_ITERATIONS = 100
_DIGEST = hashlib.sha256(_SERVICE.encode()).hexdigest()
_BUNDLE = json.dumps({'services': {'labels': _DIGEST}})
_LIST = json.dumps(
    {
        'vms': [
            {
                'name': name,
                'zone': 'muc1',
                'state': 'live',
                'callers': f'{host}:1',
                'peers': f'{host}:2',
                'operators': f'{host}:3',
            }
            for name, host in (('vm1', '127.0.0.1'), ('vm2', '127.0.0.2'))
        ],
        'zones_out': [],
    },
)


class _Platform:
    """Offers the given bundle, or nothing, and counts the reads."""

    def __init__(self, bundle: str | None = None) -> None:
        self.reads = 0
        self.part_requested = asyncio.Event()
        self._bundle = bundle

    async def read(
        self,
        name: str,
        after: int,
        wait_seconds: float,
    ) -> PlatformValue | NoNewerValue:
        self.reads += 1
        await asyncio.sleep(0)
        if self._bundle is None or after >= 3:
            await asyncio.Event().wait()
        return PlatformValue(name, 3, self._bundle or '')


class _Peers(PeerClient):
    """A peer with a newer bundle, whose parts it sends only once released."""

    def __init__(self) -> None:
        pool = ConnectionPool.from_limits(PoolLimits())
        super().__init__('vm1', Signer(b'secret'), pool, lambda _: None)
        self.parts_requested = asyncio.Event()
        self.released = asyncio.Event()

    async def send_request(
        self,
        to_vm: str,
        kind: str,
        message: object,
        reply_type: type[Any],
        timeout: float,
    ) -> Any:
        if kind == 'news':
            bundle = PublishedText(2, _BUNDLE)
            return UpdatesReply(None, bundle, (), ())
        self.parts_requested.set()
        await self.released.wait()
        return PartsReply((_SERVICE,))


def _make_view() -> FleetView:
    view = FleetView('vm1', 'muc1', CoordinationConfig(), now())
    vm_list = load_vm_list(_LIST, 1, 'vms')
    assert isinstance(vm_list, VmList)
    view.adopt_list(vm_list, _LIST)
    return view


def test_vm_is_not_fresh_before_received_updates_are_in_force() -> None:
    async def scenario() -> None:
        view, peers, adopted = _make_view(), _Peers(), asyncio.Event()
        updater = FleetUpdater(
            view, Tunables(), _Platform(), peers, adopted.set
        )
        gossip = asyncio.create_task(updater.run_gossip())
        await peers.parts_requested.wait()
        assert not view.is_fresh(now())
        peers.released.set()
        await adopted.wait()
        assert view.configuration.revision == 2
        gossip.cancel()

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_refused_revision_is_read_once_and_older_one_adopted() -> None:
    async def scenario() -> None:
        view, peers, adopted = _make_view(), _Peers(), asyncio.Event()
        platform = _Platform('not a bundle')
        updater = FleetUpdater(view, Tunables(), platform, peers, adopted.set)
        watch = asyncio.create_task(updater.run_platform_watch('bundle'))
        for _ in range(_LOOP_ITERATIONS):
            await asyncio.sleep(0)
        assert platform.reads == 2
        gossip = asyncio.create_task(updater.run_gossip())
        await peers.parts_requested.wait()
        peers.released.set()
        await adopted.wait()
        assert view.configuration.revision == 2
        for task in (watch, gossip):
            task.cancel()

    asyncio.run(asyncio.wait_for(scenario(), 10))


class _PlatformHangingOnParts(_Platform):
    """Offers a bundle, but hangs when a part is read."""

    async def read(
        self,
        name: str,
        after: int,
        wait_seconds: float,
    ) -> PlatformValue | NoNewerValue:
        if name.startswith('part-'):
            self.part_requested.set()
            await asyncio.Event().wait()
        return await super().read(name, after, wait_seconds)


def test_peers_updates_are_adopted_while_the_platform_hangs() -> None:
    async def scenario() -> None:
        view, peers, adopted = _make_view(), _Peers(), asyncio.Event()
        peers.released.set()
        platform = _PlatformHangingOnParts(_BUNDLE)
        updater = FleetUpdater(view, Tunables(), platform, peers, adopted.set)
        watch = asyncio.create_task(updater.run_platform_watch('bundle'))
        await platform.part_requested.wait()
        gossip = asyncio.create_task(updater.run_gossip())
        await adopted.wait()
        assert view.configuration.revision == 2
        for task in (watch, gossip):
            task.cancel()

    asyncio.run(asyncio.wait_for(scenario(), 10))
