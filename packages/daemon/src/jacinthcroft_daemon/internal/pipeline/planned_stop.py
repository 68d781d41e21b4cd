"""Lets running requests end during a planned stop and gives up the rest."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from attrs import define, field
from jacinthcroft_decisions.dispatch import StopPlan
from jacinthcroft_http import now


class GivenUp(Exception):
    """The VM stops before the request could be finished."""


@define(eq=False)
class PlannedStop:
    """The planned stop of this VM, if one has begun."""

    plan: StopPlan | None = None
    _running: set[asyncio.Timeout] = field(factory=set)

    def may_take(self, expires: float) -> bool:
        """Whether to take a request that waits for its response to `expires`.

        Args:
            expires: Seconds on this VM's clock.
        """
        return self.plan is None or self.plan.may_take(expires, now())

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Marks its body as a running request.

        Raises:
            GivenUp: If `give_up` was called meanwhile.
        """
        timeout = asyncio.timeout(None)
        self._running.add(timeout)
        try:
            async with timeout:
                yield
        except TimeoutError:
            if timeout.expired():
                raise GivenUp from None
            raise
        finally:
            self._running.discard(timeout)

    def give_up(self) -> int:
        """Ends all running requests; returns how many there were."""
        at_once = asyncio.get_running_loop().time()
        for timeout in self._running:
            timeout.reschedule(at_once)
        return len(self._running)
