"""Limits the bytes of response bodies that a process holds at a time.

A body is held while it is read from a target, and then until its caller has
received it. While the budget is used up, bodies are read one after the other,
the oldest first, so that the others cannot block each other for good.
"""

import asyncio
import weakref
from typing import Final, Self

from jacinthcroft_http.internal.clock import now
from jacinthcroft_http.internal.waiting import Wakeup

# The start of a body needs no budget: a connection buffers as much anyway, and
# large bodies must not delay the many small ones.
FREE_BODY_BYTES: Final = 65536


class BufferBudget:
    """The bytes of bodies that a process may hold beyond their free start."""

    def __init__(self, limit_bytes: int) -> None:
        """Creates a budget of which nothing is used."""
        self.held_bytes = 0
        self._limit_bytes = limit_bytes
        # The bodies that are being read, the oldest first.
        self._readers: dict[BodyReservation, None] = {}

    @classmethod
    def from_limit(cls, limit_bytes: int) -> Self:
        """Creates a budget with a limit in bytes."""
        return cls(limit_bytes)

    def reserve(self, deadline: float) -> 'BodyReservation':
        """Begins to read a body that is useless after `deadline`."""
        reservation = BodyReservation(self, deadline)
        self._readers[reservation] = None
        return reservation

    def has_room_for(self, reservation: 'BodyReservation') -> bool:
        """Whether a body may be read on."""
        if self.held_bytes < self._limit_bytes:
            return True
        return next(iter(self._readers), None) is reservation

    def take(self, size: int) -> None:
        """Counts bytes that are held from now on."""
        self.held_bytes += size

    def give_back(self, size: int) -> None:
        """Counts bytes that are held no more."""
        self.held_bytes -= size
        self._wake_readers()

    def remove_reader(self, reservation: 'BodyReservation') -> None:
        """Lets the next body be the oldest that is read."""
        self._readers.pop(reservation, None)
        self._wake_readers()

    def _wake_readers(self) -> None:
        for reservation in self._readers:
            reservation.wake()


class BodyReservation:
    """The part of the budget that one body uses."""

    def __init__(self, budget: BufferBudget, deadline: float) -> None:
        """Creates a reservation that holds nothing."""
        self._budget = budget
        self._deadline = deadline
        self._free_bytes = FREE_BODY_BYTES
        self._held_bytes = 0
        self._wakeup = Wakeup()

    async def grow(self, size: int) -> bool:
        """Counts bytes that are held from now on; waits until there is room.

        Returns:
            False if there was no room before the deadline.
        """
        counted = max(0, size - self._free_bytes)
        self._free_bytes -= size - counted
        if counted and not self._budget.has_room_for(self):
            try:
                async with asyncio.timeout(max(0, self._deadline - now())):
                    await self._wait_for_room()
            except TimeoutError:
                return False
        self._held_bytes += counted
        self._budget.take(counted)
        return True

    def wake(self) -> None:
        """Checks again whether there is room."""
        self._wakeup.wake()

    def release(self) -> None:
        """Gives everything back, because the body is not needed."""
        self._budget.remove_reader(self)
        self._budget.give_back(self._held_bytes)
        self._held_bytes = 0

    def release_with(self, holder: object) -> None:
        """Gives everything back when `holder`, which has the body, is gone."""
        self._budget.remove_reader(self)
        if self._held_bytes:
            weakref.finalize(
                holder, self._budget.give_back, self._held_bytes
            ).atexit = False
            self._held_bytes = 0

    async def _wait_for_room(self) -> None:
        while not self._budget.has_room_for(self):
            await self._wakeup.wait()
