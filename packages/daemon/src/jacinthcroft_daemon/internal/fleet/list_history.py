"""The VM lists that a VM has accepted or heard of, in order of revision."""

from typing import Final

from attrs import frozen
from jacinthcroft_config import Faults, load_vm_list
from jacinthcroft_decisions.coordination import (
    CoordinationConfig,
    Placement,
)

# Enough earlier lists to fence across every change of an hour at today's
# sizes; a list older than that outlived every lease and claim it governed.
_KEPT_LISTS: Final = 32


@frozen
class PublishedText:
    """A value as published, so that peers can pass it on unchanged."""

    revision: int
    text: str


@frozen
class _KnownList:
    """A list as published, and what it places where."""

    published: PublishedText
    placement: Placement


class ListHistory:
    """The latest lists; the last one is the newest."""

    def __init__(self, coordination_config: CoordinationConfig) -> None:
        """Starts without a list; `coordination_config` are the fleet's."""
        self._coordination_config = coordination_config
        self._known: dict[int, _KnownList] = {}

    @property
    def published(self) -> tuple[PublishedText, ...]:
        """The lists as published, oldest first."""
        return tuple(known.published for known in self._known.values())

    @property
    def placements(self) -> tuple[Placement, ...]:
        """The placements of the lists, oldest first."""
        return tuple(known.placement for known in self._known.values())

    def add(self, published: PublishedText, placement: Placement) -> None:
        """Keeps a list."""
        self._known[published.revision] = _KnownList(published, placement)
        # An earlier list may be learned after a newer one, but peers are
        # told the last one as the newest.
        kept = sorted(self._known)[-_KEPT_LISTS:]
        self._known = {revision: self._known[revision] for revision in kept}

    def add_from_peer(self, published: PublishedText) -> None:
        """Keeps a list that a peer has passed on, unless it is unreadable."""
        revision = published.revision
        if revision in self._known:
            return
        vm_list = load_vm_list(published.text, revision, 'vms')
        if not isinstance(vm_list, Faults):
            self.add(
                published,
                Placement.from_vm_list(vm_list, self._coordination_config),
            )
