"""Reserved ports are one process's own, and it can listen on them."""

import asyncio
import socket

import pytest
from jacinthcroft_http import IncomingRequest, Response
from jacinthcroft_testkit.internal.control import serve
from jacinthcroft_testkit.internal.ports import PortAllocator


async def _answer(request: IncomingRequest) -> Response:
    return Response(200)


async def _serve_twice(port: int) -> None:
    for _ in range(2):
        server, address = await serve(_answer, port)
        assert address.port == port
        await server.drain(0)


def test_a_server_listens_on_a_reserved_port_also_after_a_restart() -> None:
    ports = PortAllocator()
    asyncio.run(_serve_twice(ports.take().port))
    ports.close()


def test_nobody_else_gets_a_reserved_port() -> None:
    ports = PortAllocator()
    address = ports.take()
    assert ports.take() != address
    with socket.socket() as other, pytest.raises(OSError, match='in use'):
        other.bind((address.host, address.port))
    ports.close()
