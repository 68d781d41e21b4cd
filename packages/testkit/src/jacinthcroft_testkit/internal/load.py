"""Loads: closed loops of callers and open loops at a rate."""

import asyncio
import random
from collections.abc import Sequence

from attrs import frozen
from jacinthcroft_http import now

from jacinthcroft_testkit.internal.caller import Caller
from jacinthcroft_testkit.internal.requests import RequestKind


@frozen
class OpenLoop:
    """Requests of one kind at `rate` a second, whatever the answers.

    Times between requests are exponential. At most `limit` requests are
    under way; later ones wait for a place before they are sent.
    """

    kind: RequestKind
    rate: float
    seconds: float
    limit: int = 500


async def run_closed(
    caller: Caller,
    kinds: Sequence[RequestKind],
    workers: int,
    requests: int,
    randomness: random.Random,
) -> None:
    """Sends a number of requests, at most `workers` at once."""
    queue = [randomness.choice(kinds) for _ in range(requests)]
    async with asyncio.TaskGroup() as group:
        for _ in range(workers):
            group.create_task(_work_off(caller, queue))


async def run_mixed(
    caller: Caller,
    kinds: Sequence[RequestKind],
    rate: float,
    requests: int,
    randomness: random.Random,
) -> None:
    """Sends requests of random kinds at a rate, whatever the answers."""
    due = now()
    async with asyncio.TaskGroup() as group:
        for _ in range(requests):
            due += randomness.expovariate(rate)
            await asyncio.sleep(max(0, due - now()))
            group.create_task(caller.call(randomness.choice(kinds)))


async def run_open(
    caller: Caller,
    loops: Sequence[OpenLoop],
    randomness: random.Random,
) -> None:
    """Runs open loops at the same time, to the end of the last answer."""
    async with asyncio.TaskGroup() as group:
        for loop in loops:
            seed = randomness.random()
            group.create_task(_run_loop(caller, loop, random.Random(seed)))


async def _work_off(caller: Caller, queue: list[RequestKind]) -> None:
    while queue:
        await caller.call(queue.pop())


async def _run_loop(
    caller: Caller,
    loop: OpenLoop,
    randomness: random.Random,
) -> None:
    places = asyncio.Semaphore(loop.limit)
    begun = now()
    due = randomness.expovariate(loop.rate)
    async with asyncio.TaskGroup() as group:
        while due < loop.seconds:
            await asyncio.sleep(max(0, begun + due - now()))
            group.create_task(_call_in(places, caller, loop.kind))
            due += randomness.expovariate(loop.rate)


async def _call_in(
    places: asyncio.Semaphore,
    caller: Caller,
    kind: RequestKind,
) -> None:
    async with places:
        await caller.call(kind)
