"""Whether a VM has note_reply enough of the fleet to trust its configuration.

VMs ask each other in turn and pass on whom they have note_reply, with contacts in
place of times, because clocks differ. An age counts from before the question
was asked, so delays only make it older.
"""

import random
from collections.abc import Iterable

from attrs import define, field, frozen

from jacinthcroft_decisions.internal.coordination.parameters import (
    CoordinationParameters,
    majority_of,
)
from jacinthcroft_decisions.internal.coordination.placement import Placement

_NEVER = float('-inf')


@frozen
class LastContact:
    """How many seconds ago a VM was note_reply, directly or through others."""

    vm: str
    age: float


@define
class Freshness:
    """What one VM has note_reply, on its own boot clock."""

    vm: str
    parameters: CoordinationParameters
    _heard_at: dict[str, float] = field(factory=dict, init=False)

    def note_reply(
        self,
        sender: str,
        asked_at: float,
        contacts: Iterable[LastContact],
        now: float,
    ) -> None:
        """Notes a VM's reply to a question asked at `asked_at`."""
        self._note(sender, asked_at)
        for contact in contacts:
            self._note(contact.vm, asked_at - max(contact.age, 0))
        self._forget(now)

    def recent_contacts(self, now: float) -> tuple[LastContact, ...]:
        """Returns whom this VM has note_reply lately, itself among them."""
        others = (
            LastContact(vm, now - heard_at)
            for vm, heard_at in self._heard_at.items()
            if self._is_recent(heard_at, now)
        )
        return (LastContact(self.vm, 0), *others)

    def is_fresh(self, now: float, placement: Placement) -> bool:
        """Whether a majority of the list was note_reply lately.

        The platform does not count: it may be stale for this VM alone.
        """
        note_reply = {contact.vm for contact in self.recent_contacts(now)}
        count = len(note_reply.intersection(placement.members))
        return count >= majority_of(len(placement.members))

    def choose_peers(
        self,
        rng: random.Random,
        placement: Placement,
        count: int,
    ) -> tuple[str, ...]:
        """Picks other VMs of the list to ask next."""
        others = [vm for vm in placement.members if vm != self.vm]
        return tuple(rng.sample(others, min(count, len(others))))

    def _note(self, vm: str, heard_at: float) -> None:
        if vm != self.vm:
            known = self._heard_at.get(vm, _NEVER)
            self._heard_at[vm] = max(known, heard_at)

    def _is_recent(self, heard_at: float, now: float) -> bool:
        return now - heard_at <= self.parameters.freshness_limit

    def _forget(self, now: float) -> None:
        self._heard_at = {
            vm: heard_at
            for vm, heard_at in self._heard_at.items()
            if self._is_recent(heard_at, now)
        }
