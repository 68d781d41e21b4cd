"""Waiting without tasks: one bare future or timer at a time."""

import asyncio
from collections.abc import Callable


class Wakeup:
    """Lets one coroutine wait for something that callbacks tell."""

    def __init__(self) -> None:
        """Starts with nobody waiting."""
        self._loop = asyncio.get_running_loop()
        self._future: asyncio.Future[None] | None = None

    async def wait(self) -> None:
        """Waits for the next `wake`; earlier ones do not count."""
        self._future = self._loop.create_future()
        await self._future

    def wake(self) -> None:
        """Wakes the coroutine that waits, if there is one."""
        if self._future is not None and not self._future.done():
            self._future.set_result(None)


class Timeout:
    """Calls back once when it is not stopped in time."""

    def __init__(self) -> None:
        """Starts without a call pending."""
        self._loop = asyncio.get_running_loop()
        self._handle: asyncio.TimerHandle | None = None

    @property
    def is_pending(self) -> bool:
        """Whether a call is pending."""
        return self._handle is not None

    def start(self, seconds: float, callback: Callable[[], object]) -> None:
        """Replaces a pending call by one in some seconds."""
        self.stop()
        self._handle = self._loop.call_later(seconds, callback)

    def stop(self) -> None:
        """Drops the pending call, if there is one."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
