"""Callers that keep their connection until the VM's process is gone."""

import asyncio
import itertools
import random
from typing import Final

from attrs import define, field, frozen
from jacinthcroft_http import (
    Answer,
    ConnectionPool,
    Interrupted,
    NothingSent,
    OutgoingRequest,
    PoolLimits,
    now,
)

from tests.soak.targets import answer_body

DEADLINE_SECONDS: Final = 1.5
# What a caller waits beyond its deadline for an answer that comes late.
LATE_SECONDS: Final = 4.0
PAUSE_SECONDS: Final = 0.25
UNSAFE_SHARE: Final = 0.6
LEAVING_SHARE: Final = 0.03
MAX_BODY_BYTES: Final = 20_000


@frozen
class Call:
    """One attempt of a caller, and what it got; `status` 0 is no answer."""

    request_id: str
    vm: str
    key: str
    path: str
    method: str
    body: bytes
    sent_at: float
    ended_at: float
    status: int
    is_own: bool
    detail: str

    @property
    def is_unsafe(self) -> bool:
        """Whether it may run only once."""
        return self.method == 'POST'

    @property
    def says_not_run(self) -> bool:
        """Whether its refusal promises that it has not run."""
        return self.status in {408, 421, 429, 503}


@define(eq=False)
class Callers:
    """Callers of all VMs; `keys` are those that they use by turns."""

    hosts: tuple[str, ...]
    port: int
    keys: list[str]
    source: random.Random
    calls: list[Call] = field(factory=list)
    _numbers: 'itertools.count[int]' = field(factory=itertools.count)

    async def run(self, number: int) -> None:
        """Calls until cancelled."""
        limits = PoolLimits(1, 10.0, 1.0)
        pool = ConnectionPool.from_limits(limits)
        host = self.hosts[number % len(self.hosts)]
        try:
            while True:
                pause = self.source.expovariate(1 / PAUSE_SECONDS)
                await asyncio.sleep(pause)
                is_reached = await self._call(pool, host)
                if not is_reached:
                    host = self.source.choice(self.hosts)
        finally:
            await pool.close()

    async def _call(self, pool: ConnectionPool, host: str) -> bool:
        source = self.source
        is_unsafe = source.random() < UNSAFE_SHARE
        request_id = f'r{next(self._numbers)}'
        key = source.choice(self.keys)
        path = f'/{"unsafe" if is_unsafe else "safe"}/{request_id}'
        size = source.randrange(MAX_BODY_BYTES) if is_unsafe else 0
        body = source.randbytes(size)
        request = OutgoingRequest(
            host,
            self.port,
            'POST' if is_unsafe else 'GET',
            path,
            [
                ('host', 'h.example'),
                ('x-attempt-id', request_id),
                ('x-request-deadline', str(int(DEADLINE_SECONDS * 1000))),
                ('authorization', f'Bearer {key}'),
            ],
            body if is_unsafe else None,
        )
        sent_at = now()
        patience = DEADLINE_SECONDS + LATE_SECONDS
        if source.random() < LEAVING_SHARE:
            patience = source.uniform(0.01, DEADLINE_SECONDS)
        outcome = await pool.send(request, patience)
        status, received = 0, b''
        detail = getattr(outcome, 'detail', '')
        if isinstance(outcome, Answer):
            read = await outcome.read(MAX_BODY_BYTES * 2)
            if isinstance(read, bytes):
                status, received = outcome.status, read
            else:
                detail = f'answer of status {outcome.status} cut: {read}'
        self.calls.append(
            Call(
                request_id,
                host,
                key,
                path,
                request.method,
                body,
                sent_at,
                now(),
                status,
                received == answer_body(request_id, path),
                detail,
            ),
        )
        is_gone = isinstance(outcome, (NothingSent, Interrupted))
        return not is_gone
