"""A copy of what is published, as far as it is known here.

Items carry the platform's revisions, which only rise. Copies that are merged
in any order therefore end up alike, and never go back.
"""

import math
from typing import Final

from attrs import define, evolve, field, frozen

# Entries that lapsed while the platform was away are used on for so long
# after its return, in seconds; those that live are back within two.
LAPSE_GRACE_SECONDS: Final = 2.2
# An absence shorter than this cannot make entries lapse, in seconds.
ABSENCE_SECONDS: Final = 2.0
# How long after its return the platform may still report lapses, in seconds.
LATE_LAPSE_SECONDS: Final = 1.0
# Deleted items that are remembered, so that copies can be brought up to date
# by changes alone.
MAX_DELETED: Final = 1024


@frozen
class Item:
    """A published item; a deleted one has no value.

    One that may only have lapsed is used until `kept_until` on this VM's
    clock.
    """

    key: str
    revision: int
    value: bytes | None
    kept_until: float | None = None


@frozen
class Changes:
    """Items newer than some version, or all of them."""

    items: tuple[Item, ...]
    version: int
    is_whole: bool


@define
class PublishedState:
    """All items by key, and when the platform last confirmed them."""

    version: int = 0
    confirmed_at: float = -math.inf
    _items: dict[str, Item] = field(factory=dict)
    _complete_from: int = 0
    _returned_at: float = -math.inf

    @property
    def items(self) -> tuple[Item, ...]:
        """All items that are known, also deleted ones."""
        return tuple(self._items.values())

    def live_values(self, now: float) -> dict[str, tuple[int, bytes]]:
        """Returns (revision, value) of what is published, by key."""
        live: dict[str, tuple[int, bytes]] = {}
        for item in self._items.values():
            is_over = item.kept_until is not None and now > item.kept_until
            if item.value is not None and not is_over:
                live[item.key] = (item.revision, item.value)
        return live

    def next_lapse(self, now: float) -> float | None:
        """Returns when the next kept item ends, or None."""
        times = [
            item.kept_until
            for item in self._items.values()
            if item.kept_until is not None and item.kept_until > now
        ]
        return min(times, default=None)

    def absorb(self, changes: Changes, now: float) -> bool:
        """Merges changes; returns whether anything is new."""
        is_new = False
        if changes.is_whole:
            if changes.version < self.version:
                return False
            is_new = self._drop_missing(changes, now)
        for item in changes.items:
            known = self._items.get(item.key)
            if known is None or known.revision < item.revision:
                self._put(item, known, now)
                is_new = True
        self.version = max(self.version, changes.version)
        self._forget_deleted()
        return is_new

    def confirm(self, at: float) -> None:
        """Notes that the platform vouched for this copy at some time."""
        is_first = self.confirmed_at == -math.inf
        if not is_first and at - self.confirmed_at > ABSENCE_SECONDS:
            self._returned_at = at
        self.confirmed_at = max(self.confirmed_at, at)

    def age(self, now: float) -> float:
        """Returns the seconds since the platform confirmed this copy."""
        return now - self.confirmed_at

    def changes_since(self, version: int) -> Changes:
        """Returns what a copy of that version lacks."""
        if version < self._complete_from:
            return Changes(self.items, self.version, is_whole=True)
        newer = tuple(
            item for item in self._items.values() if item.revision > version
        )
        return Changes(newer, self.version, is_whole=False)

    def _put(self, item: Item, known: Item | None, now: float) -> None:
        if known is not None and self._may_have_lapsed(item, known, now):
            item = evolve(
                item,
                value=known.value,
                kept_until=now + LAPSE_GRACE_SECONDS,
            )
        self._items[item.key] = item

    def _may_have_lapsed(self, item: Item, known: Item, now: float) -> bool:
        if item.value is not None or known.value is None:
            return False
        if known.kept_until is not None:
            return False
        is_back = now < self._returned_at + LATE_LAPSE_SECONDS
        return is_back or self.age(now) > ABSENCE_SECONDS

    def _drop_missing(self, changes: Changes, now: float) -> bool:
        listed = {item.key for item in changes.items}
        missing = [
            item
            for item in self._items.values()
            if item.key not in listed and item.value is not None
        ]
        for item in missing:
            deleted = Item(item.key, changes.version, None)
            self._put(deleted, item, now)
        return bool(missing)

    def _forget_deleted(self) -> None:
        deleted = [item for item in self.items if item.value is None]
        excess = len(deleted) - MAX_DELETED
        if excess <= 0:
            return
        deleted.sort(key=lambda item: item.revision)
        for item in deleted[:excess]:
            self._complete_from = max(self._complete_from, item.revision)
            self._items.pop(item.key)
