"""Keeps the VM lists that a VM adopted or received, in order of revision."""

from typing import Final

from attrs import frozen
from jacinthcroft_config import Faults, load_vm_list
from jacinthcroft_decisions.coordination import (
    CoordinationConfig,
    Placement,
)

# This covers the changes of an hour at current fleet sizes. A new holder must
# fence the witnesses of earlier lists; the leases and claims under an older
# list have all expired.
_MAX_KEPT_LISTS: Final = 32


@frozen
class PublishedText:
    """A published value's original text, which VMs pass on unchanged."""

    revision: int
    text: str


@frozen
class _HistoryEntry:
    """A published list and the placement that it gives."""

    published: PublishedText
    placement: Placement


class ListHistory:
    """The latest VM lists, oldest first."""

    def __init__(self, coordination_config: CoordinationConfig) -> None:
        """Starts without a list; `coordination_config` is the fleet's."""
        self._coordination_config = coordination_config
        self._entries: dict[int, _HistoryEntry] = {}

    @property
    def published(self) -> tuple[PublishedText, ...]:
        """The lists as published, oldest first."""
        return tuple(entry.published for entry in self._entries.values())

    @property
    def placements(self) -> tuple[Placement, ...]:
        """The placements of the lists, oldest first."""
        return tuple(entry.placement for entry in self._entries.values())

    def add(self, published: PublishedText, placement: Placement) -> None:
        """Adds a list and its placement; discards the oldest beyond a limit."""
        self._entries[published.revision] = _HistoryEntry(published, placement)
        # Sorted, because an earlier list may be added after a newer one and
        # peers are sent the last list as the newest.
        kept = sorted(self._entries)[-_MAX_KEPT_LISTS:]
        self._entries = {revision: self._entries[revision] for revision in kept}

    def add_from_peer(self, published: PublishedText) -> None:
        """Adds a list that a peer sent, unless it is known or invalid."""
        revision = published.revision
        if revision in self._entries:
            return
        vm_list = load_vm_list(published.text, revision, 'vms')
        if not isinstance(vm_list, Faults):
            self.add(
                published,
                Placement.from_vm_list(vm_list, self._coordination_config),
            )
