"""Limits the bytes of response bodies that a process holds at a time.

A body is held while it is read from a target, and then until its caller has
received it. While the budget is used up, bodies are read one after the other,
the oldest first, so that they cannot block each other for good. Nothing is read
while bodies that wait for their callers use up the budget alone, so that a
process holds less than twice the limit and one more body.
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
        self._limit_bytes = limit_bytes
        # Of bodies that are being read, and of bodies that wait for callers.
        self._read_bytes = 0
        self._waiting_bytes = 0
        # The bodies that are being read, the oldest first.
        self._readers: dict[BodyReservation, None] = {}

    @classmethod
    def from_limit(cls, limit_bytes: int) -> Self:
        """Creates a budget with a limit in bytes."""
        return cls(limit_bytes)

    @property
    def held_bytes(self) -> int:
        """The bytes that are held now."""
        return self._read_bytes + self._waiting_bytes

    def reserve(self, deadline: float) -> 'BodyReservation':
        """Begins to read a body that is useless after `deadline`."""
        reservation = BodyReservation(self, deadline)
        self._readers[reservation] = None
        return reservation

    def has_room_for(self, reservation: 'BodyReservation') -> bool:
        """Whether a body may be read on."""
        if self.held_bytes < self._limit_bytes:
            return True
        is_oldest = next(iter(self._readers), None) is reservation
        return is_oldest and self._waiting_bytes < self._limit_bytes

    def take(self, size: int) -> None:
        """Counts bytes of a body that is being read."""
        self._read_bytes += size

    def finish_reading(
        self, reservation: 'BodyReservation', size: int, *, is_kept: bool
    ) -> None:
        """Counts the `size` bytes of a body as given back or as waiting."""
        self._readers.pop(reservation, None)
        self._read_bytes -= size
        if is_kept:
            self._waiting_bytes += size
        self._wake_readers()

    def give_back_with(self, holder: object, size: int) -> None:
        """Gives back waiting bytes when `holder`, which has them, is gone."""
        weakref.finalize(holder, self._give_back, size).atexit = False

    def _give_back(self, size: int) -> None:
        self._waiting_bytes -= size
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
        size = self._held_bytes
        self._held_bytes = 0
        self._budget.finish_reading(self, size, is_kept=False)

    def release_with(self, holder: object) -> None:
        """Gives everything back when `holder`, which has the body, is gone."""
        size = self._held_bytes
        self._held_bytes = 0
        self._budget.finish_reading(self, size, is_kept=True)
        if size:
            self._budget.give_back_with(holder, size)

    async def _wait_for_room(self) -> None:
        while not self._budget.has_room_for(self):
            await self._wakeup.wait()
