"""Updates this VM's view of the fleet from the platform and from peers.

Two values are published on the platform: the list of VMs and the bundle of
service configurations. The watchers, a few VMs that rank first for this,
read them by long polling. The other VMs poll at an interval that grows with
the number of VMs. This limits the reads of a large fleet, and a new revision
is still seen within seconds if the platform is unavailable or stale for all
watchers.

All VMs gossip: on a short interval, each asks a few random peers for newer
revisions. A revision reaches the whole fleet in a few rounds, and the replies
show which VMs are reachable.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Final

from jacinthcroft_config import Faults, Tunables, VmList, load_vm_list
from jacinthcroft_http import now

from jacinthcroft_daemon.internal.fleet.bundles import (
    InvalidBundle,
    MissingParts,
    PartStore,
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

_PEERS_PER_ROUND: Final = 3
_REPLY_TIMEOUT_SECONDS: Final = 1.0
_READ_RETRY_SECONDS: Final = 0.5
# The VMs that are not watchers together read each value at this rate.
_FLEET_READS_PER_SECOND: Final = 4.0
_MIN_READ_INTERVAL_SECONDS: Final = 2.0
# Random factors prevent VMs that started together from reading at the same
# time.
_READ_INTERVAL_FACTORS: Final = (0.5, 1.5)

# How many peers are asked for the newest list before the first is adopted.
_MAX_FIRST_LIST_PEERS: Final = 16
_HISTORY_INTERVAL_SECONDS: Final = 2.0

ChangeListener = Callable[[], None]


class FleetUpdater:
    """Adopts newer revisions from the platform and peers, and serves peers."""

    def __init__(
        self,
        view: FleetView,
        tunables: Tunables,
        platform: Platform,
        peers: PeerClient,
        on_change: ChangeListener,
    ) -> None:
        """Calls `on_change` after a revision or an earlier list is added."""
        self._view = view
        self._tunables = tunables
        self._platform = platform
        self._peers = peers
        self._on_change = on_change
        self._parts = PartStore()
        self._bundle = PublishedText(0, '{"services": {}}')
        self._refused_revisions: dict[str, int] = {}
        self._random = random.Random()
        self._wants_history = True
        self._history_received_at = 0.0
        self._adoption_lock = asyncio.Lock()

    def register(self, router: PeerRouter) -> None:
        """Registers the handlers of peers' requests for updates and parts."""
        router.register('news', UpdatesRequest, self._handle_updates_request)
        router.register('parts', PartsRequest, self._handle_parts_request)

    def request_history(self) -> None:
        """Requests earlier VM lists from peers in the next rounds.

        Does nothing if peers sent their lists a short time ago.
        """
        if now() - self._history_received_at > _HISTORY_INTERVAL_SECONDS:
            self._wants_history = True

    async def run_platform_watch(self, name: str) -> None:
        """Reads and adopts one published value until cancelled."""
        while True:
            is_watcher = self._is_watcher()
            read_result = await self._platform.read(
                name,
                self._last_judged_revision(name),
                self._tunables.platform_wait_seconds if is_watcher else 0,
            )
            if isinstance(read_result, PlatformUnavailable):
                log_event('warning', 'platform-away', detail=read_result.detail)
                await asyncio.sleep(_READ_RETRY_SECONDS)
                continue
            if not isinstance(read_result, NoNewerValue):
                published = PublishedText(
                    read_result.revision, read_result.text
                )
                await self._adopt(name, published, from_vm=None)
                if self._last_judged_revision(name) < published.revision:
                    # Some of the bundle's parts could not be read.
                    await asyncio.sleep(_READ_RETRY_SECONDS)
            if not is_watcher:
                await asyncio.sleep(self._read_interval())

    async def run_gossip(self) -> None:
        """Asks a few peers for updates on every interval until cancelled."""
        interval = self._tunables.gossip_interval_ms / 1000
        while True:
            chosen_peers = self._view.freshness.choose_peers(
                self._random,
                self._view.placement,
                _PEERS_PER_ROUND,
            )
            await asyncio.gather(
                *(self._request_updates(vm) for vm in chosen_peers)
            )
            await asyncio.sleep(interval)

    def _is_watcher(self) -> bool:
        placement = self._view.placement
        ranked = placement.candidates(placement.shard_of('platform-watch'))
        watchers = ranked[: self._tunables.platform_watchers]
        return not watchers or self._view.vm in watchers

    def _revision_in_force(self, name: str) -> int:
        if name == 'vms':
            return self._view.vm_list.revision
        return self._bundle.revision

    def _is_bundle_adopted(self, published: PublishedText) -> bool:
        return self._bundle.revision >= published.revision

    def _last_judged_revision(self, name: str) -> int:
        # A refused revision is not read again from the platform. Peers may
        # still offer an older revision that is newer than the one in force.
        return max(
            self._revision_in_force(name), self._refused_revisions.get(name, 0)
        )

    def _read_interval(self) -> float:
        vm_count = len(self._view.vm_list.vms)
        interval = max(
            _MIN_READ_INTERVAL_SECONDS,
            vm_count / _FLEET_READS_PER_SECOND,
        )
        return interval * self._random.uniform(*_READ_INTERVAL_FACTORS)

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
            _REPLY_TIMEOUT_SECONDS,
        )
        if isinstance(reply, NoPeerReply):
            return
        if reply.history:
            self._wants_history = False
            self._history_received_at = now()
        if self._add_earlier_lists(reply.history):
            self._on_change()
        if reply.vm_list is not None:
            await self._adopt('vms', reply.vm_list, from_vm=vm)
        if reply.bundle is not None:
            await self._adopt('bundle', reply.bundle, from_vm=vm)
        # A VM that was suspended must not count as fresh before the
        # withdrawals that it missed are in force, so the reply is recorded
        # only after its contents have been adopted.
        if reply.bundle is None or self._is_bundle_adopted(reply.bundle):
            self._view.freshness.note_reply(vm, asked_at, reply.heard, now())

    async def _adopt(
        self,
        name: str,
        published: PublishedText,
        from_vm: str | None,
    ) -> None:
        if name == 'bundle' and from_vm is None:
            # The platform is read without the lock. If it hangs, updates from
            # peers must go on, since this VM's freshness depends on them.
            await self._read_parts(published)
        # Two sources may offer the same revision at the same time. With the
        # lock, the second one finds that the revision is no longer newer.
        async with self._adoption_lock:
            if published.revision <= self._revision_in_force(name):
                return
            if name == 'vms':
                await self._adopt_list(published)
            else:
                await self._adopt_bundle(published, from_vm)

    async def _adopt_list(self, published: PublishedText) -> None:
        vm_list = load_vm_list(published.text, published.revision, 'vms')
        if isinstance(vm_list, VmList) and not self._view.vm_list.revision:
            # The platform may offer an old list, but the first list that a
            # restarted witness adopts must be the newest that peers know.
            published = await self._find_newest_list(vm_list, published)
            vm_list = load_vm_list(published.text, published.revision, 'vms')
        if isinstance(vm_list, Faults):
            self._refused_revisions['vms'] = published.revision
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

    async def _find_newest_list(
        self,
        vm_list: VmList,
        published: PublishedText,
    ) -> PublishedText:
        request = UpdatesRequest(published.revision, 0, wants_history=True)
        others = [vm for vm in vm_list.vms if vm.name != self._view.vm]
        replies = await asyncio.gather(
            *(
                self._peers.send_request_to(
                    vm.peers,
                    vm.name,
                    'news',
                    request,
                    UpdatesReply,
                    _REPLY_TIMEOUT_SECONDS,
                )
                for vm in others[:_MAX_FIRST_LIST_PEERS]
            ),
        )
        for reply in replies:
            if isinstance(reply, NoPeerReply):
                continue
            self._add_earlier_lists(reply.history)
            offered = reply.vm_list
            if offered and offered.revision > published.revision:
                published = offered
        return published

    def _add_earlier_lists(self, history: tuple[PublishedText, ...]) -> bool:
        known_count = len(self._view.list_history.published)
        for published in history:
            self._view.list_history.add_from_peer(published)
        return len(self._view.list_history.published) > known_count

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
        if isinstance(assembled, InvalidBundle):
            self._refused_revisions['bundle'] = published.revision
            log_event(
                'error',
                'bundle-refused',
                revision=published.revision,
                detail=assembled.detail,
            )
            return
        if self._view.adopt_configuration(assembled, now()):
            self._bundle = published
            self._parts.discard_other_parts(published)
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
            _REPLY_TIMEOUT_SECONDS,
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
            read_result = await self._platform.read(f'part-{digest}', 0, 0)
            if isinstance(read_result, NoNewerValue | PlatformUnavailable):
                return
            self._parts.add(read_result.text)

    async def _handle_updates_request(
        self,
        sender: str,
        request: UpdatesRequest,
    ) -> UpdatesReply:
        view = self._view
        lists = view.list_history.published
        has_newer_list = view.vm_list.revision > request.list_revision
        has_newer_bundle = (
            self._bundle.revision > request.configuration_revision
        )
        return UpdatesReply(
            vm_list=lists[-1] if has_newer_list else None,
            bundle=self._bundle if has_newer_bundle else None,
            history=lists if request.wants_history else (),
            heard=view.freshness.recent_contacts(now()),
        )

    async def _handle_parts_request(
        self,
        sender: str,
        request: PartsRequest,
    ) -> PartsReply:
        return PartsReply(self._parts.find_texts(request.digests))
