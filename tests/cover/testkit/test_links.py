"""Links pass, hold, lose and reset bytes, each direction by itself."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest
from jacinthcroft_config import Address
from jacinthcroft_testkit.internal.links import (
    Direction,
    LinkTable,
    Mode,
    reset,
)
from jacinthcroft_testkit.internal.links import Setting as LinkSetting

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Scenario = Callable[[LinkTable, Address], Awaitable[None]]
_FORWARD = (Direction.FORWARD,)
# Closed when a test ends: a stream that is finalised later raises, because its
# event loop is closed then.
_opened: list[asyncio.StreamWriter] = []


async def _echo(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    try:
        while chunk := await reader.read(100):
            writer.write(chunk)
    finally:
        writer.close()


@asynccontextmanager
async def _linked_echo() -> AsyncIterator[tuple[LinkTable, Address]]:
    server = await asyncio.start_server(_echo, '127.0.0.1')
    host, port = server.sockets[0].getsockname()
    table = LinkTable()
    try:
        yield table, await table.add('vm1>t1', Address(host, port))
    finally:
        server.close()
        await _close_all(table)


async def _close_all(table: LinkTable) -> None:
    await table.close()
    while _opened:
        reset(_opened.pop())


def _run(scenario: Scenario) -> None:
    async def _scene() -> None:
        async with asyncio.timeout(20), _linked_echo() as (table, address):
            await scenario(table, address)

    asyncio.run(_scene())


async def _open(address: Address) -> Streams:
    reader, writer = await asyncio.open_connection(address.host, address.port)
    _opened.append(writer)
    return reader, writer


async def _is_quiet(reader: asyncio.StreamReader) -> bool:
    try:
        async with asyncio.timeout(0.1):
            await reader.read(100)
    except TimeoutError:
        return True
    return False


def test_a_link_passes_bytes_and_the_end_of_the_stream() -> None:
    async def scenario(table: LinkTable, address: Address) -> None:
        reader, writer = await _open(address)
        writer.write(b'hello')
        writer.write_eof()
        assert await reader.read() == b'hello'

    _run(scenario)


def test_a_frozen_direction_keeps_bytes_until_it_thaws() -> None:
    async def scenario(table: LinkTable, address: Address) -> None:
        reader, writer = await _open(address)
        await table.change('vm1>*', _FORWARD, LinkSetting(Mode.FREEZE))
        writer.write(b'hello')
        assert await _is_quiet(reader)
        await table.change('vm1>*', _FORWARD, LinkSetting())
        assert await reader.read(100) == b'hello'

    _run(scenario)


def test_a_connection_that_lost_bytes_stays_cut_and_a_new_one_works() -> None:
    async def scenario(table: LinkTable, address: Address) -> None:
        reader, writer = await _open(address)
        await table.change('*>t1', _FORWARD, LinkSetting(Mode.CUT))
        writer.write(b'lost')
        assert await _is_quiet(reader)
        await table.change('*>t1', _FORWARD, LinkSetting())
        writer.write(b'late')
        assert await _is_quiet(reader)
        fresh_reader, fresh_writer = await _open(address)
        fresh_writer.write(b'hello')
        assert await fresh_reader.read(100) == b'hello'

    _run(scenario)


def test_a_cut_swallows_a_reset_like_any_other_end() -> None:
    met = asyncio.Event()
    ended = asyncio.Event()

    async def watch(
        reader: asyncio.StreamReader,
        accepted: asyncio.StreamWriter,
    ) -> None:
        _opened.append(accepted)
        await reader.readexactly(5)
        met.set()
        try:
            await reader.read()
        finally:
            ended.set()

    async def scenario(table: LinkTable, _address: Address) -> None:
        server = await asyncio.start_server(watch, '127.0.0.1')
        host, port = server.sockets[0].getsockname()
        _, writer = await _open(await table.add('vm2>t2', Address(host, port)))
        writer.write(b'hello')
        await met.wait()
        await table.change('vm2>t2', _FORWARD, LinkSetting(Mode.CUT))
        reset(writer)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(ended.wait(), 0.2)
        server.close()

    _run(scenario)


def test_a_reset_link_resets_open_and_new_connections() -> None:
    async def scenario(table: LinkTable, address: Address) -> None:
        reader, writer = await _open(address)
        writer.write(b'hello')
        await reader.read(100)
        await table.change('vm1>t1', _FORWARD, LinkSetting(Mode.RESET))
        with pytest.raises(ConnectionResetError):
            await reader.read(100)
        fresh_reader, _ = await _open(address)
        with pytest.raises(ConnectionResetError):
            await fresh_reader.read(100)

    _run(scenario)


def test_a_refusing_link_keeps_its_port_for_later() -> None:
    async def scenario(table: LinkTable, address: Address) -> None:
        await table.change('vm1>t1', _FORWARD, LinkSetting(Mode.REFUSE))
        with pytest.raises(ConnectionRefusedError):
            await _open(address)
        await table.change('vm1>t1', _FORWARD, LinkSetting())
        await _open(address)

    _run(scenario)


def test_a_pattern_meets_only_its_links() -> None:
    async def scenario(table: LinkTable, address: Address) -> None:
        await table.add('vm2>t1', address)
        frozen = LinkSetting(Mode.FREEZE)
        assert await table.change('vm2>*', _FORWARD, frozen) == 1
        assert await table.change('*>t1', _FORWARD, frozen) == 2

    _run(scenario)


def test_a_closed_table_ends_its_connections_and_takes_no_more() -> None:
    async def scenario(table: LinkTable, address: Address) -> None:
        reader, writer = await _open(address)
        writer.write(b'x')
        assert await reader.read(1) == b'x'
        await table.change(
            'vm1>t1',
            (Direction.BACKWARD,),
            LinkSetting(Mode.FREEZE),
        )
        await table.close()
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(1)
        with pytest.raises(OSError, match='Connect'):
            await _open(address)

    _run(scenario)
