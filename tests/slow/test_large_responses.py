"""Targets that send megabytes or never stop, and callers that do not read.

The real program runs on a VM of 200 MB.
"""

import asyncio
import contextlib
import pathlib
import re
from collections import Counter
from collections.abc import AsyncIterator

import pytest
from jacinthcroft_http import (
    Answer,
    ConnectionPool,
    OutgoingRequest,
    PoolLimits,
    now,
)

from tests.soak.site import MEMORY_MB, Site

TARGETS = 16
CALLERS = 40
ROUNDS = 3
DEADLINE_MS = 1500
# A sound request beside them is answered within its latency objective.
OBJECTIVE_SECONDS = 0.8
_PEAK_MEMORY = re.compile(r'VmHWM:\s+(\d+) kB')


def _format_request(request_id: str) -> bytes:
    return (
        f'GET /safe/{request_id} HTTP/1.1\r\nHost: h.example\r\n'
        f'X-Attempt-Id: {request_id}\r\nX-Request-Deadline: {DEADLINE_MS}\r\n'
        'Authorization: Bearer team-0\r\n\r\n'
    ).encode()


def _read_peak_megabytes(site: Site) -> float:
    status = pathlib.Path(f'/proc/{site.vm_pid(site.hosts[0])}/status')
    found = _PEAK_MEMORY.search(status.read_text())
    assert found is not None
    return int(found[1]) / 1000


@contextlib.asynccontextmanager
async def _running_site(
    folder: pathlib.Path, behaviour: str
) -> AsyncIterator[Site]:
    """Starts a VM; half of its targets behave as told."""
    site = Site(folder, 1, TARGETS)
    try:
        await site.start()
        for target in list(site.targets.values())[: TARGETS // 2]:
            target.behaviour = behaviour
        yield site
    finally:
        await site.stop()


async def _call_without_reading(site: Site, name: str) -> None:
    """Sends a request and reads nothing of the answer until its deadline."""
    reader, writer = await asyncio.open_connection(
        site.hosts[0], site.front_port, limit=1024
    )
    writer.write(_format_request(name))
    await asyncio.sleep(DEADLINE_MS / 1000)
    reader.feed_eof()
    writer.transport.abort()


async def _call(site: Site, pool: ConnectionPool, name: str) -> int:
    headers = [
        ('host', 'h.example'),
        ('x-attempt-id', name),
        ('x-request-deadline', str(DEADLINE_MS)),
        ('authorization', 'Bearer team-0'),
    ]
    request = OutgoingRequest(
        site.hosts[0], site.front_port, 'GET', f'/safe/{name}', headers
    )
    answer = await pool.send(request, 2 * DEADLINE_MS / 1000)
    assert isinstance(answer, Answer), answer
    assert not isinstance(await answer.read(1 << 24), Exception)
    return answer.status


@pytest.mark.parametrize('behaviour', ['large', 'endless'])
def test_large_responses_fit_into_the_memory_of_a_small_vm(
    behaviour: str, tmp_path: pathlib.Path
) -> None:
    async def run() -> tuple[float, Counter[int], list[float]]:
        statuses: Counter[int] = Counter()
        seconds: list[float] = []
        pool = ConnectionPool.from_limits(PoolLimits())
        async with _running_site(tmp_path, behaviour) as site:
            for turn in range(ROUNDS):
                silent = [
                    _call_without_reading(site, f's{turn}-{number}')
                    for number in range(CALLERS)
                ]
                unread = asyncio.gather(*silent)
                for number in range(ROUNDS):
                    started_at = now()
                    status = await _call(site, pool, f'r{turn}-{number}')
                    seconds.append(now() - started_at)
                    statuses[status] += 1
                await unread
            # The program is alive and serves when the trouble is over.
            for target in site.targets.values():
                target.behaviour = 'serve'
            assert await _call(site, pool, 'last') == 200
            peak = _read_peak_megabytes(site)
            await pool.close()
        return peak, statuses, seconds

    peak, statuses, seconds = asyncio.run(run())
    assert peak < MEMORY_MB
    assert set(statuses) <= {200, 502, 503, 504}, statuses
    assert sorted(seconds)[len(seconds) // 2] < OBJECTIVE_SECONDS, seconds
