"""Ways to wait that need no task: a single future or timer."""

import asyncio
from collections.abc import Callable


class Wakeup:
    """Lets one coroutine wait for a call of `wake`."""

    def __init__(self) -> None:
        """Creates a wakeup for which no coroutine waits."""
        self._loop = asyncio.get_running_loop()
        self._future: asyncio.Future[None] | None = None

    async def wait(self) -> None:
        """Waits for the next `wake`; earlier calls have no effect."""
        self._future = self._loop.create_future()
        await self._future

    def wake(self) -> None:
        """Wakes the coroutine that waits, if there is one."""
        if self._future is not None and not self._future.done():
            self._future.set_result(None)


class Timeout:
    """Calls a function once after a delay, unless it is stopped."""

    def __init__(self) -> None:
        """Creates a timeout that is not started."""
        self._loop = asyncio.get_running_loop()
        self._handle: asyncio.TimerHandle | None = None

    @property
    def is_pending(self) -> bool:
        """Whether a call is pending."""
        return self._handle is not None

    def start(self, seconds: float, callback: Callable[[], object]) -> None:
        """Schedules the call and replaces a pending one."""
        self.stop()
        self._handle = self._loop.call_later(seconds, callback)

    def stop(self) -> None:
        """Cancels the pending call, if there is one."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
