"""This VM's copy of the published items, and the documents decoded from it."""

import zlib
from collections import OrderedDict
from math import isfinite
from typing import Any, Final

import msgpack
from attrs import define, field
from jacinthcroft_decisions.dispatch import Configuration, FleetDocuments
from jacinthcroft_decisions.membership import Changes, Item, PublishedState
from jacinthcroft_http import now

from jacinthcroft_daemon.internal.seeded.deployment import Translator
from jacinthcroft_daemon.internal.seeded.schemas import (
    InvalidMessage,
    Schema,
    is_finite,
    is_flag,
    is_text,
    is_whole,
    make_list,
    make_optional,
)
from jacinthcroft_daemon.internal.telemetry.events import log_event

_MILLIS_PER_SECOND: Final = 1000
# A copy is fresh up to this share of the time in which a withdrawn key must be
# refused. The rest of that time covers requests that are already on their way.
FRESH_AGE_SHARE: Final = 0.6
MAX_FORMER_TARGETS: Final = 4096
MAX_EXPANDED_COPY_BYTES: Final = 64_000_000
_ITEM: Final = Schema.from_checks(
    'item',
    key=is_text,
    revision=is_whole,
    content=make_optional(lambda found: isinstance(found, bytes)),
    kept_millis=make_optional(is_finite),
)
_CHANGES: Final = Schema.from_checks(
    'changes',
    version=is_whole,
    is_whole=is_flag,
    items=make_list(_ITEM.accepts),
)


@define
class DocumentsCopy:
    """Published items, merged from the platform and from other VMs."""

    translator: Translator
    revoke_seconds: float
    state: PublishedState = field(factory=PublishedState)
    documents: FleetDocuments = field(factory=FleetDocuments.empty)
    # Incarnations of the targets that were listed last, by id.
    _former: OrderedDict[str, str] = field(factory=OrderedDict)
    _next_grace_end: float | None = None
    _was_fresh: bool = False

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, once there is one."""
        return self.documents.configuration

    @property
    def is_fresh(self) -> bool:
        """Whether the copy is new enough to know the withdrawn keys."""
        return self.state.age(now()) < self.revoke_seconds * FRESH_AGE_SHARE

    def find_incarnation(self, target_id: str) -> str:
        """Returns the incarnation of a target that is or was listed."""
        entry = self.documents.targets.get(target_id)
        if entry is not None:
            return entry.incarnation
        return self._former.get(target_id, f'{target_id}@')

    def knows_as_gone(self, target_id: str) -> bool:
        """Whether a target must get nothing new, as far as this VM knows.

        A target that this VM has never seen may have just been added.
        """
        entry = self.documents.targets.get(target_id)
        if entry is None:
            return target_id in self._former
        is_evacuated = entry.zone in self.documents.evacuated_zones
        return is_evacuated or not entry.is_ready

    def merge_changes(self, changes: Changes) -> bool:
        """Merges changes; returns whether the documents were decoded again."""
        if not self.state.merge(changes, now()):
            return False
        self._translate()
        return True

    def mark_confirmed(self, at: float) -> None:
        """Records that the platform confirmed the copy at a time."""
        self.state.mark_confirmed(at)

    def tick(self) -> bool:
        """Drops items whose grace has ended.

        Returns:
            Whether the documents were decoded again.
        """
        is_fresh = self.is_fresh
        if is_fresh != self._was_fresh:
            self._was_fresh = is_fresh
            event = 'state-fresh' if is_fresh else 'state-stale'
            log_event('info', event, version=self.state.version)
        if self._next_grace_end is None or now() <= self._next_grace_end:
            return False
        self._translate()
        return True

    def export_changes(self, version: int) -> bytes:
        """Returns the compressed changes since a version."""
        changes = self.state.changes_since(version)
        rows = [_pack_item(item) for item in changes.items]
        packed = msgpack.packb((changes.version, changes.is_whole, rows))
        return zlib.compress(packed)

    def export_age(self) -> str:
        """Returns the copy's age in milliseconds, empty if not confirmed."""
        age = self.state.age(now())
        return str(round(age * _MILLIS_PER_SECOND)) if isfinite(age) else ''

    def _translate(self) -> None:
        at = now()
        before = self.documents
        after = self.translator.translate(self.state.live_values(at))
        after = _keep_newer_configuration(before, after)
        self.documents = after
        self._remember_former(before, after)
        self._next_grace_end = self.state.next_grace_end(at)
        _log_changes(before, after, self.state.version)

    def _remember_former(
        self, before: FleetDocuments, after: FleetDocuments
    ) -> None:
        for target_id in before.targets.keys() - after.targets.keys():
            self._former[target_id] = before.targets[target_id].incarnation
            self._former.move_to_end(target_id)
        while len(self._former) > MAX_FORMER_TARGETS:
            self._former.popitem(last=False)


def import_changes(exported: bytes) -> Changes:
    """Decodes the changes that another VM exported.

    Raises:
        InvalidMessage: If they are unreadable or too large.
    """
    try:
        fields = msgpack.unpackb(_decompress(exported))
    except (zlib.error, msgpack.UnpackException, ValueError) as error:
        raise InvalidMessage(f'changes: {error!r}') from error
    version, is_whole, rows = _CHANGES.check(fields)
    items = tuple(_unpack_item(row) for row in rows)
    return Changes(items, version, is_whole)


def _decompress(exported: bytes) -> bytes:
    # A few bytes may expand to gigabytes.
    stream = zlib.decompressobj()
    expanded = stream.decompress(exported, MAX_EXPANDED_COPY_BYTES)
    if not stream.eof:
        raise InvalidMessage(
            f'cut off, or more than {MAX_EXPANDED_COPY_BYTES} bytes'
        )
    return expanded


def _pack_item(item: Item) -> list[Any]:
    kept_millis = None
    if item.kept_until is not None:
        kept_millis = int((item.kept_until - now()) * _MILLIS_PER_SECOND)
    return [item.key, item.revision, item.value, kept_millis]


def _unpack_item(row: list[Any]) -> Item:
    key, revision, value, kept_millis = row
    kept_until = None
    if kept_millis is not None:
        kept_until = now() + kept_millis / _MILLIS_PER_SECOND
    return Item(key, revision, value, kept_until)


def _keep_newer_configuration(
    before: FleetDocuments,
    after: FleetDocuments,
) -> FleetDocuments:
    """Keeps the configuration in force unless the new one is newer."""
    if before.configuration is None:
        return after
    is_newer = (
        after.configuration is not None
        and after.configuration.version > before.configuration.version
    )
    if is_newer:
        return after
    return FleetDocuments(
        before.configuration,
        after.targets,
        after.evacuated_zones,
    )


def _log_changes(
    before: FleetDocuments,
    after: FleetDocuments,
    version: int,
) -> None:
    if after.configuration is not before.configuration:
        configuration = after.configuration
        log_event(
            'info',
            'configuration-adopted',
            version=configuration.version if configuration else None,
            state=version,
        )
    if after.evacuated_zones != before.evacuated_zones:
        zones = ','.join(sorted(after.evacuated_zones))
        log_event('info', 'zones-evacuated', zones=zones, state=version)
    _log_target_changes(before, after, version)


def _log_target_changes(
    before: FleetDocuments,
    after: FleetDocuments,
    version: int,
) -> None:
    ready_before = _find_ready_targets(before)
    ready_after = _find_ready_targets(after)
    for target_id in ready_before ^ ready_after:
        event = 'target-leaving'
        if target_id in ready_after:
            event = 'target-listed'
        log_event(
            'info',
            event,
            target=target_id,
            is_listed=target_id in after.targets,
            state=version,
        )


def _find_ready_targets(documents: FleetDocuments) -> set[str]:
    return {
        entry.target_id
        for entry in documents.targets.values()
        if entry.is_ready
    }
