"""Every caller gets the whole answer to its own request, or sees the cut.

And what is no proper request gets its own refusal and harms no other work.
"""

import asyncio
import itertools
import json
import random
import time
from collections.abc import Iterator

import pytest
from attrs import evolve, frozen
from jacinthcroft_testkit import OutcomeKind
from jacinthcroft_testkit.internal.answers import AnswerBody
from jacinthcroft_testkit.internal.identifiers import make_uuid7
from jacinthcroft_testkit.internal.requests import RequestKind
from jacinthcroft_testkit.internal.target_messages import Behaviour, Faults

from tests.slow.once_support import (
    BOOK,
    LOOK,
    PATIENCE_SECONDS,
    Bench,
    answered,
    make_bench,
)

_BIG = evolve(LOOK, answer_bytes=300_000)
_KEY = b'authorization: Bearer key-shop'
_HEAD_LIMIT_BYTES = 16_384


def _request(*lines: bytes, body: bytes = b'') -> bytes:
    request_line, *fields = lines
    head = (request_line, b'host: a', *fields, b'', body)
    return b'\r\n'.join(head)


_GOOD = _request(b'GET /transfers/good?n=good HTTP/1.1', _KEY)
_LOOK_LINE = b'GET /transfers/1 HTTP/1.1'
_BOOK_LINE = b'POST /transfers HTTP/1.1'


@pytest.fixture(scope='module')
def module_bench() -> Iterator[Bench]:
    yield from make_bench(seed=41)


@pytest.fixture
def bench(module_bench: Bench) -> Bench:
    """Returns the module's fleet, healed and with an empty history."""
    module_bench.run(module_bench.reset())
    return module_bench


@frozen
class Reply:
    """One answer read from a raw connection."""

    status: int
    body: bytes

    @property
    def reason(self) -> str:
        """The reason of a refusal."""
        return str(json.loads(self.body)['reason'])

    @property
    def outcome(self) -> str:
        """What a refusal says of the work."""
        return str(json.loads(self.body)['outcome'])

    @property
    def path(self) -> str:
        """Which request a target's whole answer states."""
        stated = AnswerBody.from_bytes(self.body)
        assert stated is not None
        assert stated.is_whole
        return stated.path


class Wire:
    """A raw connection to one VM's callers' port."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Talks over a connection that is open."""
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, bench: Bench, vm: str) -> 'Wire':
        """Connects to a VM."""
        address = bench.fleet.vms.entries[vm].callers
        return cls(*await asyncio.open_connection(address.host, address.port))

    def write(self, sent: bytes) -> None:
        """Sends bytes as they are."""
        self._writer.write(sent)

    async def read(self) -> Reply:
        """Reads one whole answer."""
        async with asyncio.timeout(PATIENCE_SECONDS):
            head = await self._reader.readuntil(b'\r\n\r\n')
            fields = dict(
                line.lower().split(b': ', maxsplit=1)
                for line in head.split(b'\r\n')[1:]
                if line
            )
            length = fields.get(b'content-length')
            if length is None:
                body = await self._read_chunks()
            else:
                body = await self._reader.readexactly(int(length))
        return Reply(int(head.split(b' ')[1]), body)

    async def is_closed(self) -> bool:
        """Waits for the end and tells whether nothing came before it."""
        async with asyncio.timeout(PATIENCE_SECONDS):
            return await self._reader.read(1) == b''

    def close(self) -> None:
        """Ends the connection."""
        self._writer.close()

    async def _read_chunks(self) -> bytes:
        body = b''
        while True:
            size = int(await self._reader.readuntil(b'\r\n'), 16)
            body += (await self._reader.readexactly(size + 2))[:-2]
            if not size:
                return body


@pytest.mark.parametrize(
    ('behaviour', 'kind'),
    [
        (Behaviour.LATE, LOOK),
        (Behaviour.CROSS, LOOK),
        (Behaviour.CROSS, BOOK),
        (Behaviour.CUT, LOOK),
        (Behaviour.CUT, _BIG),
        (Behaviour.CUT, BOOK),
        (Behaviour.RESET, BOOK),
    ],
)
def test_answers_that_go_wrong_reach_no_caller_as_whole(
    bench: Bench,
    behaviour: Behaviour,
    kind: RequestKind,
) -> None:
    async def scenario() -> None:
        faults = Faults(shares={behaviour: 0.4}, late_seconds=2.9)
        await bench.fleet.targets.set_faults('*', faults)
        paths = [bench.new_path(kind) for _ in range(60)]
        key = '' if kind.is_idempotent else 'new'
        outcomes = await asyncio.gather(
            *(
                bench.send(vm, kind, path, key and bench.new_key())
                for vm, path in zip(bench.vms * 10, paths, strict=True)
            ),
        )
        assert answered(outcomes)
        if not kind.is_idempotent:
            # Something really went wrong, and the caller was told.
            assert any(one.outcome == 'unknown' for one in outcomes)
        await bench.check()

    bench.run(scenario())


def test_a_cut_answer_is_seen_as_cut_however_often(bench: Bench) -> None:
    async def scenario() -> None:
        faults = Faults(shares={Behaviour.CUT: 1})
        await bench.fleet.targets.set_faults('*', faults)
        looks = [
            bench.look(vm, kind) for vm in bench.vms for kind in (LOOK, _BIG)
        ]
        outcomes = await asyncio.gather(*looks)
        assert not answered(outcomes)
        booked = await asyncio.gather(*(bench.book(vm) for vm in bench.vms))
        # It ran, so nobody may say that it did not.
        assert {one.outcome for one in booked} == {'unknown'}
        await bench.check()

    bench.run(scenario())


def test_a_late_answer_never_goes_to_the_next_request(bench: Bench) -> None:
    async def scenario() -> None:
        # The answers come after the callers' deadline of 3 s.
        faults = Faults(shares={Behaviour.LATE: 0.3}, late_seconds=3.2)
        await bench.fleet.targets.set_faults('*', faults)
        rounds = [bench.look_everywhere(LOOK, 6) for _ in range(2)]
        outcomes = list(itertools.chain(*await asyncio.gather(*rounds)))
        assert answered(outcomes)
        await bench.fleet.targets.set_faults('*', Faults())
        outcomes = await bench.look_everywhere(LOOK, 1)
        assert answered(outcomes)
        await bench.check()

    bench.run(scenario())


def test_back_to_back_requests_are_answered_in_their_order(
    bench: Bench,
) -> None:
    async def scenario() -> None:
        wire = await Wire.open(bench, 'vm1')
        paths = [f'/transfers/{number}?n={number}' for number in range(100)]
        for path in paths:
            line = f'GET {path} HTTP/1.1'
            wire.write(_request(line.encode(), _KEY))
        replies = [await wire.read() for _ in paths]
        wire.close()
        assert [reply.path for reply in replies] == paths

    bench.run(scenario())


def test_a_killed_vm_leaves_no_answer_that_looks_whole(bench: Bench) -> None:
    async def scenario() -> None:
        load = asyncio.gather(
            *(bench.look_everywhere(_BIG, 3) for _ in range(4)),
        )
        await asyncio.sleep(1)
        await bench.fleet.vms.kill('vm6')
        rounds = await load
        outcomes = list(itertools.chain(*rounds))
        kinds = {one.kind for one in outcomes}
        assert OutcomeKind.CONNECTION_LOST in kinds
        assert OutcomeKind.ANSWERED in kinds
        await bench.check()

    bench.run(scenario())


_BAD_REQUESTS = {
    'no HTTP': (b'no http at all\r\n\r\n', 400, 'malformed-request'),
    'bad header': (
        _request(_LOOK_LINE, b'bad header'),
        400,
        'malformed-request',
    ),
    'both lengths': (
        _request(
            _BOOK_LINE,
            b'content-length: 3',
            b'transfer-encoding: chunked',
            body=b'0\r\n\r\n',
        ),
        400,
        'conflicting-length',
    ),
    'two lengths': (
        _request(
            _BOOK_LINE,
            b'content-length: 3',
            b'content-length: 4',
            body=b'abc',
        ),
        400,
        'conflicting-length',
    ),
    'large head': (
        _request(_LOOK_LINE, b'x-long: %s' % (b'a' * _HEAD_LIMIT_BYTES)),
        431,
        'head-too-large',
    ),
    'unknown route': (
        _request(b'GET /nowhere HTTP/1.1', _KEY),
        404,
        'unknown-route',
    ),
    'other method': (
        _request(b'PATCH /transfers/1 HTTP/1.1', _KEY),
        405,
        'method-not-allowed',
    ),
    'no key': (_request(_LOOK_LINE), 401, 'key-missing'),
    'unknown key': (
        _request(_LOOK_LINE, b'authorization: Bearer key-gone'),
        401,
        'key-unknown',
    ),
    'no idempotency key': (
        _request(_BOOK_LINE, _KEY, b'content-length: 0'),
        400,
        'idempotency-key-missing',
    ),
    'odd idempotency key': (
        _request(_BOOK_LINE, _KEY, b'idempotency-key: 7'),
        400,
        'idempotency-key-invalid',
    ),
}


@pytest.mark.parametrize('name', _BAD_REQUESTS)
def test_a_bad_request_gets_its_own_refusal_and_harms_no_other(
    bench: Bench,
    name: str,
) -> None:
    sent, status, reason = _BAD_REQUESTS[name]

    async def scenario() -> None:
        runs = len(await bench.runs())
        other = await Wire.open(bench, 'vm1')
        wire = await Wire.open(bench, 'vm1')
        other.write(_GOOD[:20])
        # The answer to the request before comes first, and whole.
        wire.write(_GOOD)
        wire.write(sent)
        assert (await wire.read()).path == '/transfers/good?n=good'
        refusal = await wire.read()
        assert (refusal.status, refusal.reason) == (status, reason)
        assert refusal.outcome == 'not-run'
        other.write(_GOOD[20:])
        assert (await other.read()).status == 200
        for one in (wire, other):
            one.close()
        assert len(await bench.runs()) == runs + 2

    bench.run(scenario())


@pytest.mark.parametrize('line', [b'POST /nowhere HTTP/1.1', _BOOK_LINE])
def test_a_refusal_is_unknown_where_another_vm_may_have_run_the_key(
    bench: Bench,
    line: bytes,
) -> None:
    async def scenario() -> None:
        # Another VM may know the route already, or have a faster clock.
        ahead = make_uuid7(time.time() + 60, bench.randomness)
        field = f'idempotency-key: {ahead}'
        wire = await Wire.open(bench, 'vm3')
        wire.write(
            _request(line, b'authorization: Bearer key-app', field.encode())
        )
        assert (await wire.read()).outcome == 'unknown'
        wire.close()

    bench.run(scenario())


def test_heads_without_end_are_refused_in_time(bench: Bench) -> None:
    async def scenario() -> None:
        wires = [await Wire.open(bench, 'vm2') for _ in range(20)]
        trickle = asyncio.create_task(_trickle(wires))
        outcomes = await bench.look_everywhere(LOOK, 2)
        assert len(outcomes) == answered(outcomes)
        for wire in wires:
            refusal = await wire.read()
            assert (refusal.status, refusal.reason) == (408, 'head-timeout')
            assert refusal.outcome == 'not-run'
        trickle.cancel()
        await bench.check()

    bench.run(scenario())


async def _trickle(wires: list[Wire]) -> None:
    for wire in wires:
        wire.write(b'GET /transfers/1 HTTP/1.1\r\nx-slow: ')
    while True:
        for wire in wires:
            wire.write(b'a')
        await asyncio.sleep(0.1)


def test_random_bytes_harm_no_other_work(bench: Bench) -> None:
    async def scenario() -> None:
        noise = random.Random(5)
        load = asyncio.create_task(bench.look_everywhere(LOOK, 2))
        for number in range(100):
            wire = await Wire.open(bench, f'vm{number % 6 + 1}')
            wire.write(noise.randbytes(noise.randint(1, 400)))
            wire.write(b'\r\n\r\n')
            if number % 2:
                assert (await wire.read()).status == 400
            wire.close()
        outcomes = await load
        assert len(outcomes) == answered(outcomes)
        await bench.check()

    bench.run(scenario())
