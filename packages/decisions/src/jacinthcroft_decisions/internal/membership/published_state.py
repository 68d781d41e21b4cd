"""A VM's copy of the state that the platform publishes.

The platform keeps items by key, which operators and targets publish. Some VMs
read them from the platform and pass them on to other VMs. Each item carries
the platform's revision, which only rises. Copies that merge the same changes
in any order are therefore equal, and an older revision never replaces a newer
one.
"""

import math
from typing import Final

from attrs import define, evolve, field, frozen

# Items that expired during an outage of the platform, because their owners
# could not renew them, stay in use for this long after they are reported
# deleted; owners that are alive publish them again within two seconds.
EXPIRY_GRACE_SECONDS: Final = 2.2
# A shorter outage of the platform can't make items expire.
MIN_OUTAGE_SECONDS: Final = 2.0
# For this long after an outage the platform may still report expired items.
LATE_EXPIRY_SECONDS: Final = 1.0
# Deleted items are kept up to this number, so that other copies can be
# updated by changes alone.
MAX_DELETED_ITEMS: Final = 1024


@frozen
class Item:
    """A published item; a deleted one has no value.

    A deleted item that may only have expired in an outage keeps its value and
    is used until `kept_until` on this VM's clock.
    """

    key: str
    revision: int
    value: bytes | None
    kept_until: float | None = None


@frozen
class Changes:
    """The changed items that update a copy, or all items if `is_whole`.

    `version` is the platform's revision that the updated copy reaches.
    """

    items: tuple[Item, ...]
    version: int
    is_whole: bool


@define
class PublishedState:
    """A copy of all items, and when the platform last confirmed it.

    `version` is the platform's revision up to which the copy is complete;
    `confirmed_at` is on this VM's clock.
    """

    version: int = 0
    confirmed_at: float = -math.inf
    _items: dict[str, Item] = field(factory=dict)
    _changes_complete_since: int = 0
    _outage_ended_at: float = -math.inf

    @property
    def items(self) -> tuple[Item, ...]:
        """All items, including deleted ones."""
        return tuple(self._items.values())

    def live_values(self, now: float) -> dict[str, tuple[int, bytes]]:
        """Returns the revision and value of each item in use, by key."""
        live: dict[str, tuple[int, bytes]] = {}
        for item in self._items.values():
            is_grace_over = (
                item.kept_until is not None and now > item.kept_until
            )
            if item.value is not None and not is_grace_over:
                live[item.key] = (item.revision, item.value)
        return live

    def next_grace_end(self, now: float) -> float | None:
        """Returns when the next item stops to be kept in use, or None."""
        times = [
            item.kept_until
            for item in self._items.values()
            if item.kept_until is not None and item.kept_until > now
        ]
        return min(times, default=None)

    def merge(self, changes: Changes, now: float) -> bool:
        """Merges changes; returns whether they change any item."""
        has_changed = False
        if changes.is_whole:
            if changes.version < self.version:
                return False
            has_changed = self._delete_missing(changes, now)
        for item in changes.items:
            known = self._items.get(item.key)
            if known is None or known.revision < item.revision:
                self._store_item(item, known, now)
                has_changed = True
        self.version = max(self.version, changes.version)
        self._drop_excess_deleted()
        return has_changed

    def mark_confirmed(self, at: float) -> None:
        """Records that the platform confirmed this copy at the time `at`.

        A long gap since the last confirmation counts as an outage.
        """
        is_first = self.confirmed_at == -math.inf
        if not is_first and at - self.confirmed_at > MIN_OUTAGE_SECONDS:
            self._outage_ended_at = at
        self.confirmed_at = max(self.confirmed_at, at)

    def age(self, now: float) -> float:
        """Returns the seconds since the platform confirmed this copy."""
        return now - self.confirmed_at

    def changes_since(self, version: int) -> Changes:
        """Returns the changes that update a copy that has reached a version."""
        if version < self._changes_complete_since:
            return Changes(self.items, self.version, is_whole=True)
        newer = tuple(
            item for item in self._items.values() if item.revision > version
        )
        return Changes(newer, self.version, is_whole=False)

    def _store_item(self, item: Item, known: Item | None, now: float) -> None:
        if known is not None and self._may_have_expired(item, known, now):
            item = evolve(
                item,
                value=known.value,
                kept_until=now + EXPIRY_GRACE_SECONDS,
            )
        self._items[item.key] = item

    def _may_have_expired(self, item: Item, known: Item, now: float) -> bool:
        if item.value is not None or known.value is None:
            return False
        if known.kept_until is not None:
            return False
        is_just_after_outage = now < self._outage_ended_at + LATE_EXPIRY_SECONDS
        return is_just_after_outage or self.age(now) > MIN_OUTAGE_SECONDS

    def _delete_missing(self, changes: Changes, now: float) -> bool:
        listed = {item.key for item in changes.items}
        missing = [
            item
            for item in self._items.values()
            if item.key not in listed and item.value is not None
        ]
        for item in missing:
            deleted = Item(item.key, changes.version, None)
            self._store_item(deleted, item, now)
        return bool(missing)

    def _drop_excess_deleted(self) -> None:
        deleted = [item for item in self.items if item.value is None]
        excess = len(deleted) - MAX_DELETED_ITEMS
        if excess <= 0:
            return
        deleted.sort(key=lambda item: item.revision)
        for item in deleted[:excess]:
            self._changes_complete_since = max(
                self._changes_complete_since, item.revision
            )
            self._items.pop(item.key)
