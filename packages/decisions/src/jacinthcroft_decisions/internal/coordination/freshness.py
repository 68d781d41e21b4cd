"""Whether a VM has heard from enough VMs to trust its configuration.

VMs ask one another in turn and pass on which VMs they have heard from and how
long ago. They send ages instead of times, because clocks differ. An age is
counted from when the request was sent, so a delay only makes it larger.
"""

import random
from collections.abc import Iterable

from attrs import define, field, frozen

from jacinthcroft_decisions.internal.coordination.config import (
    CoordinationConfig,
    majority_of,
)
from jacinthcroft_decisions.internal.coordination.placement import Placement

_NEVER = float('-inf')


@frozen
class LastContact:
    """How many seconds ago a VM was heard from, directly or through others."""

    vm: str
    age: float


@define
class Freshness:
    """When one VM last heard from each other VM, on its own boot clock."""

    vm: str
    config: CoordinationConfig
    _heard_at: dict[str, float] = field(factory=dict, init=False)

    def note_reply(
        self,
        sender: str,
        asked_at: float,
        contacts: Iterable[LastContact],
        now: float,
    ) -> None:
        """Records a VM's reply to a request sent at `asked_at`."""
        self._note_contact(sender, asked_at)
        for contact in contacts:
            self._note_contact(contact.vm, asked_at - max(contact.age, 0))
        self._drop_old_contacts(now)

    def recent_contacts(self, now: float) -> tuple[LastContact, ...]:
        """Returns this VM and those heard from within the freshness limit."""
        others = (
            LastContact(vm, now - heard_at)
            for vm, heard_at in self._heard_at.items()
            if self._is_recent(heard_at, now)
        )
        return (LastContact(self.vm, 0), *others)

    def is_fresh(self, now: float, placement: Placement) -> bool:
        """Whether a majority of the list is among the recent contacts.

        Contact with the platform does not count, because the platform may
        return stale data to this VM alone.
        """
        heard_vms = {contact.vm for contact in self.recent_contacts(now)}
        count = len(heard_vms.intersection(placement.members))
        return count >= majority_of(len(placement.members))

    def choose_peers(
        self,
        rng: random.Random,
        placement: Placement,
        count: int,
    ) -> tuple[str, ...]:
        """Picks at most `count` other VMs of the list at random."""
        others = [vm for vm in placement.members if vm != self.vm]
        return tuple(rng.sample(others, min(count, len(others))))

    def _note_contact(self, vm: str, heard_at: float) -> None:
        if vm != self.vm:
            last_heard_at = self._heard_at.get(vm, _NEVER)
            self._heard_at[vm] = max(last_heard_at, heard_at)

    def _is_recent(self, heard_at: float, now: float) -> bool:
        return now - heard_at <= self.config.freshness_limit

    def _drop_old_contacts(self, now: float) -> None:
        self._heard_at = {
            vm: heard_at
            for vm, heard_at in self._heard_at.items()
            if self._is_recent(heard_at, now)
        }
