"""How tests steer stand-ins: typed messages over HTTP and JSON.

A `ControlDesk` answers `POST /control/<message class>`; `ask` sends one
message. Both sides share the attrs classes of the messages.
"""

import json
import signal
import sys
from asyncio import Event, get_running_loop
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import cattrs
from attrs import frozen
from jacinthcroft_config import Address
from jacinthcroft_http import (
    Answer,
    BadRequest,
    ConnectionPool,
    Handler,
    IncomingRequest,
    OutgoingRequest,
    PoolLimits,
    Response,
    Server,
    ServerLimits,
)

LOOPBACK = '127.0.0.1'
CONTROL_PREFIX = '/control/'
_MESSAGE_LIMIT_BYTES = 64_000_000
_ASK_TIMEOUT_SECONDS = 20.0
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404

_Message = TypeVar('_Message')
_Reply = TypeVar('_Reply')
_converter = cattrs.Converter()


@frozen
class Done:
    """A command was carried out and has nothing to tell."""


@frozen
class Count:
    """How many things a command met."""

    count: int


class ControlError(Exception):
    """A stand-in could not be reached or refused a message."""


@frozen
class _Binding:
    message: type[Any]
    handler: Callable[[Any], Awaitable[Any]]


class ControlDesk:
    """Answers control messages by their class."""

    def __init__(self) -> None:
        """Starts without any message."""
        self._bindings: dict[str, _Binding] = {}

    def register(
        self,
        message: type[_Message],
        handler: Callable[[_Message], Awaitable[Any]],
    ) -> None:
        """Answers messages of a class by what the handler returns."""
        self._bindings[message.__name__] = _Binding(message, handler)

    async def handle(self, request: IncomingRequest) -> Response:
        """Answers one request to the control port."""
        name = request.path.removeprefix(CONTROL_PREFIX)
        binding = self._bindings.get(name)
        if binding is None:
            return Response.text(_NOT_FOUND, f'no message {name}\n')
        body = await request.read_body(_MESSAGE_LIMIT_BYTES)
        assert isinstance(body, bytes), 'a control message of this size?'
        message = _converter.structure(json.loads(body), binding.message)
        reply = await binding.handler(message)
        return Response.json(_OK, _converter.unstructure(reply))


async def ask(
    pool: ConnectionPool,
    stand_in: Address,
    message: Any,
    reply: type[_Reply],
) -> _Reply:
    """Sends a control message and returns the reply.

    Raises:
        ControlError: If there is no proper reply.
    """
    request = OutgoingRequest(
        stand_in.host,
        stand_in.port,
        'POST',
        CONTROL_PREFIX + type(message).__name__,
        body=json.dumps(_converter.unstructure(message)).encode(),
    )
    answer = await pool.send(request, _ASK_TIMEOUT_SECONDS)
    if not isinstance(answer, Answer):
        raise ControlError(f'{stand_in}: {answer}')
    body = await answer.read(_MESSAGE_LIMIT_BYTES)
    if answer.status != _OK or not isinstance(body, bytes):
        raise ControlError(f'{stand_in}: {answer.status} {body!r}')
    return _converter.structure(json.loads(body), reply)


def make_pool() -> ConnectionPool:
    """Returns a pool for control messages."""
    return ConnectionPool.from_limits(PoolLimits())


async def serve(handler: Handler, port: int = 0) -> tuple[Server, Address]:
    """Serves a handler on a loopback port, for port 0 a free one."""
    server = Server.from_limits(ServerLimits(), handler, _refuse_bad_request)
    return server, Address(LOOPBACK, await server.start(LOOPBACK, port))


async def serve_until_stopped(handler: Handler) -> None:
    """Runs a stand-in's port until SIGTERM; prints `ready host:port`."""
    stopping = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        get_running_loop().add_signal_handler(number, stopping.set)
    server, address = await serve(handler)
    sys.stdout.write(f'ready {address}\n')
    sys.stdout.flush()
    await stopping.wait()
    await server.drain(0)


def _refuse_bad_request(fault: BadRequest) -> Response:
    return Response.text(_BAD_REQUEST, f'{fault.reason}\n')
