"""Keeps this VM's view current: few VMs watch the platform, all ask peers.

The VMs that rank first for the watch read the platform with a waiting call.
The others look there now and then, the rarer the more VMs there are, so that
a revision is seen within seconds although the platform is away or stale for
all who watch, and the calls of a large fleet stay few. Every VM asks a few
random peers for news on a short interval, which passes a revision through
the whole fleet in a few rounds and tells, at the same time, who is there.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Final

from jacinthcroft_config import Faults, Tunables, VmList, load_vm_list
from jacinthcroft_http import now

from jacinthcroft_daemon.internal.fleet.bundles import (
    MissingParts,
    PartStore,
    UnusableBundle,
)
from jacinthcroft_daemon.internal.fleet.list_history import PublishedText
from jacinthcroft_daemon.internal.fleet.messages import (
    PartsReply,
    PartsRequest,
    UpdatesReply,
    UpdatesRequest,
)
from jacinthcroft_daemon.internal.fleet.view import FleetView
from jacinthcroft_daemon.internal.peers import (
    NoPeerReply,
    PeerClient,
    PeerRouter,
)
from jacinthcroft_daemon.internal.platform import (
    NoNewerValue,
    Platform,
    PlatformUnavailable,
)
from jacinthcroft_daemon.internal.telemetry import log_event

_PEERS_A_ROUND: Final = 3
_PEER_TIMEOUT_SECONDS: Final = 1.0
_AWAY_PAUSE_SECONDS: Final = 0.5
# All VMs that do not watch share this rate of looks at one value.
_SHARED_READS_PER_SECOND: Final = 4.0
_SHORTEST_READ_INTERVAL_SECONDS: Final = 2.0
# Restarts of the whole fleet must not put all looks into the same moment.
_READ_INTERVAL_SPREAD: Final = (0.5, 1.5)

# Peers asked for the newest list before the first one is adopted.
_FIRST_PEERS: Final = 16
_HISTORY_INTERVAL_SECONDS: Final = 2.0

Listener = Callable[[], None]


class FleetUpdater:
    """Reads the platform, asks peers, answers peers, adopts what is newer."""

    def __init__(
        self,
        view: FleetView,
        tunables: Tunables,
        platform: Platform,
        peers: PeerClient,
        on_change: Listener,
    ) -> None:
        """Calls `on_change` after every adopted revision."""
        self._view = view
        self._tunables = tunables
        self._platform = platform
        self._peers = peers
        self._on_change = on_change
        self._parts = PartStore()
        self._bundle = PublishedText(0, '{"services": {}}')
        self._refused: dict[str, int] = {}
        self._random = random.Random()
        self._wants_history = True
        self._history_at = 0.0
        self._adopting = asyncio.Lock()

    def register(self, router: PeerRouter) -> None:
        """Answers peers' questions for news and parts."""
        router.register('news', UpdatesRequest, self._handle_updates_request)
        router.register('parts', PartsRequest, self._handle_parts_request)

    def request_history(self) -> None:
        """Asks peers for earlier VM lists in one of the next rounds."""
        if now() - self._history_at > _HISTORY_INTERVAL_SECONDS:
            self._wants_history = True

    async def run_platform_watch(self, name: str) -> None:
        """Reads one published value again and again, for ever."""
        while True:
            is_watcher = self._is_watcher()
            outcome = await self._platform.read(
                name,
                self._judged_revision(name),
                self._tunables.platform_wait_seconds if is_watcher else 0,
            )
            if isinstance(outcome, PlatformUnavailable):
                log_event('warning', 'platform-away', detail=outcome.detail)
                await asyncio.sleep(_AWAY_PAUSE_SECONDS)
                continue
            if not isinstance(outcome, NoNewerValue):
                published = PublishedText(outcome.revision, outcome.text)
                await self._adopt(name, published, from_vm=None)
                if self._judged_revision(name) < published.revision:
                    # Not all of its parts could be read yet.
                    await asyncio.sleep(_AWAY_PAUSE_SECONDS)
            if not is_watcher:
                await asyncio.sleep(self._read_interval())

    async def run_gossip(self) -> None:
        """Asks a few peers for news on every interval, for ever."""
        interval = self._tunables.gossip_interval_ms / 1000
        while True:
            chosen = self._view.freshness.choose_peers(
                self._random,
                self._view.placement,
                _PEERS_A_ROUND,
            )
            await asyncio.gather(*(self._request_updates(vm) for vm in chosen))
            await asyncio.sleep(interval)

    def _is_watcher(self) -> bool:
        placement = self._view.placement
        watchers = placement.candidates(placement.shard_of('platform-watch'))
        first = watchers[: self._tunables.platform_watchers]
        return not first or self._view.vm in first

    def _held_revision(self, name: str) -> int:
        if name == 'vms':
            return self._view.vm_list.revision
        return self._bundle.revision

    def _has_bundle(self, published: PublishedText) -> bool:
        return self._bundle.revision >= published.revision

    def _judged_revision(self, name: str) -> int:
        # A refused revision is not read again and again; one between it and
        # the one in force may still come from a peer.
        return max(self._held_revision(name), self._refused.get(name, 0))

    def _read_interval(self) -> float:
        members = len(self._view.vm_list.vms)
        interval = max(
            _SHORTEST_READ_INTERVAL_SECONDS,
            members / _SHARED_READS_PER_SECOND,
        )
        return interval * self._random.uniform(*_READ_INTERVAL_SPREAD)

    async def _request_updates(self, vm: str) -> None:
        asked_at = now()
        reply = await self._peers.send_request(
            vm,
            'news',
            UpdatesRequest(
                self._view.vm_list.revision,
                self._bundle.revision,
                self._wants_history,
            ),
            UpdatesReply,
            _PEER_TIMEOUT_SECONDS,
        )
        if isinstance(reply, NoPeerReply):
            return
        if reply.history:
            self._wants_history = False
            self._history_at = now()
        if self._remember(reply.history):
            self._on_change()
        if reply.vm_list is not None:
            await self._adopt('vms', reply.vm_list, from_vm=vm)
        if reply.bundle is not None:
            await self._adopt('bundle', reply.bundle, from_vm=vm)
        # Only now: a VM that wakes late must not count as fresh before the
        # withdrawals that it slept through are in force.
        if reply.bundle is None or self._has_bundle(reply.bundle):
            self._view.freshness.note_reply(vm, asked_at, reply.heard, now())

    async def _adopt(
        self,
        name: str,
        published: PublishedText,
        from_vm: str | None,
    ) -> None:
        if name == 'bundle' and from_vm is None:
            # Not under the lock: a platform that hangs would hold up what
            # peers tell, and with it this VM's freshness.
            await self._read_parts(published)
        # Two sources may offer the same revision at once; the lock makes the
        # second one see that it is no longer newer.
        async with self._adopting:
            if published.revision <= self._held_revision(name):
                return
            if name == 'vms':
                await self._adopt_list(published)
            else:
                await self._adopt_bundle(published, from_vm)

    async def _adopt_list(self, published: PublishedText) -> None:
        vm_list = load_vm_list(published.text, published.revision, 'vms')
        if isinstance(vm_list, VmList) and not self._view.vm_list.revision:
            # What the platform shows may be old, and a restarted witness
            # relies on its first list being the newest that peers know.
            published = await self._newest_of_peers(vm_list, published)
            vm_list = load_vm_list(published.text, published.revision, 'vms')
        if isinstance(vm_list, Faults):
            self._refused['vms'] = published.revision
            log_event(
                'error',
                'vm-list-refused',
                revision=published.revision,
                detail=str(vm_list.faults[0]),
            )
            return
        if self._view.adopt_list(vm_list, published.text):
            log_event('info', 'vm-list-adopted', revision=published.revision)
            self._on_change()

    async def _newest_of_peers(
        self,
        vm_list: VmList,
        published: PublishedText,
    ) -> PublishedText:
        question = UpdatesRequest(published.revision, 0, wants_history=True)
        others = [vm for vm in vm_list.vms if vm.name != self._view.vm]
        replies = await asyncio.gather(
            *(
                self._peers.send_request_to(
                    vm.peers,
                    vm.name,
                    'news',
                    question,
                    UpdatesReply,
                    _PEER_TIMEOUT_SECONDS,
                )
                for vm in others[:_FIRST_PEERS]
            ),
        )
        for reply in replies:
            if isinstance(reply, NoPeerReply):
                continue
            self._remember(reply.history)
            offered = reply.vm_list
            if offered and offered.revision > published.revision:
                published = offered
        return published

    def _remember(self, history: tuple[PublishedText, ...]) -> bool:
        known = len(self._view.list_history.published)
        for published in history:
            self._view.list_history.add_from_peer(published)
        return len(self._view.list_history.published) > known

    async def _adopt_bundle(
        self,
        published: PublishedText,
        from_vm: str | None,
    ) -> None:
        assembled = self._parts.assemble(published)
        if isinstance(assembled, MissingParts) and from_vm is not None:
            await self._fetch_parts(assembled.digests, from_vm)
            assembled = self._parts.assemble(published)
        if isinstance(assembled, MissingParts):
            log_event(
                'warning',
                'bundle-parts-missing',
                count=len(
                    assembled.digests,
                ),
                revision=published.revision,
            )
            return
        if isinstance(assembled, UnusableBundle):
            self._refused['bundle'] = published.revision
            log_event(
                'error',
                'bundle-refused',
                revision=published.revision,
                detail=assembled.detail,
            )
            return
        if self._view.adopt_configuration(assembled, now()):
            self._bundle = published
            self._parts.keep_only(published)
            log_event('info', 'bundle-adopted', revision=published.revision)
            self._on_change()

    async def _fetch_parts(
        self,
        digests: tuple[str, ...],
        from_vm: str,
    ) -> None:
        reply = await self._peers.send_request(
            from_vm,
            'parts',
            PartsRequest(digests),
            PartsReply,
            _PEER_TIMEOUT_SECONDS,
        )
        texts = () if isinstance(reply, NoPeerReply) else reply.texts
        for text in texts:
            self._parts.add(text)

    async def _read_parts(self, published: PublishedText) -> None:
        """Reads a bundle's missing parts from the platform."""
        assembled = self._parts.assemble(published)
        if not isinstance(assembled, MissingParts):
            return
        for digest in assembled.digests:
            outcome = await self._platform.read(f'part-{digest}', 0, 0)
            if isinstance(outcome, NoNewerValue | PlatformUnavailable):
                return
            self._parts.add(outcome.text)

    async def _handle_updates_request(
        self,
        sender: str,
        question: UpdatesRequest,
    ) -> UpdatesReply:
        view = self._view
        lists = view.list_history.published
        has_newer_list = view.vm_list.revision > question.list_revision
        has_newer_bundle = (
            self._bundle.revision > question.configuration_revision
        )
        return UpdatesReply(
            vm_list=lists[-1] if has_newer_list else None,
            bundle=self._bundle if has_newer_bundle else None,
            history=lists if question.wants_history else (),
            heard=view.freshness.recent_contacts(now()),
        )

    async def _handle_parts_request(
        self,
        sender: str,
        question: PartsRequest,
    ) -> PartsReply:
        return PartsReply(self._parts.texts(question.digests))
