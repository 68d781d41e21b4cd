"""Waiting for what another process does, with a bound."""

import asyncio
from collections.abc import Awaitable, Callable

from jacinthcroft_http import now

_POLL_SECONDS = 0.05


class WaitedTooLong(Exception):
    """Something did not become true in time."""


async def wait_until(
    check: Callable[[], Awaitable[bool]],
    what: str,
    timeout: float,
) -> float:
    """Waits until a check holds and returns how many seconds that took.

    Raises:
        WaitedTooLong: If it does not hold within `timeout` seconds.
    """
    begun = now()
    while not await check():
        if now() - begun > timeout:
            raise WaitedTooLong(f'{what} within {timeout} s')
        await asyncio.sleep(_POLL_SECONDS)
    return now() - begun
