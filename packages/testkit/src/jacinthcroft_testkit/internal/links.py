"""TCP links that can be made to misbehave, each direction by itself.

A `Link` listens on a port of its own and carries every connection to its
destination through two `_Pipe` objects, which obey the link's `Setting` of
their direction at every chunk. `LinkTable` holds the links of one proxy by
name (`source>destination`) and changes many by a pattern.
"""

import asyncio
import contextlib
import enum
import fnmatch
import socket
import struct

from attrs import define, field, frozen
from jacinthcroft_config import Address

_CHUNK_BYTES = 65536
_MILLISECONDS_PER_SECOND = 1000
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_LOOPBACK = '127.0.0.1'


class Mode(enum.Enum):
    """What a link does with one direction's bytes.

    `CUT` swallows bytes, the end of the stream and resets; a connection that
    has lost any of these stays cut. `FREEZE` keeps bytes back until the mode
    changes. `RESET` resets present and new connections, `REFUSE` stops
    listening and leaves present connections alone; both hold for the whole
    link.
    """

    PASS = 'pass'
    CUT = 'cut'
    DELAY = 'delay'
    FREEZE = 'freeze'
    RESET = 'reset'
    REFUSE = 'refuse'


class Direction(enum.Enum):
    """Which way bytes flow, seen from the side that connects."""

    FORWARD = 'forward'
    BACKWARD = 'backward'


BOTH_DIRECTIONS = (Direction.FORWARD, Direction.BACKWARD)


@frozen
class Setting:
    """A mode; `delay_ms` counts for `DELAY` only."""

    mode: Mode = Mode.PASS
    delay_ms: int = 0


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection by a reset instead of an end of stream."""
    sock = writer.get_extra_info('socket')
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                _RESET_ON_CLOSE,
            )
    writer.transport.abort()


class Link:
    """One listening port whose connections go to one destination."""

    def __init__(self, name: str, destination: Address) -> None:
        """Prepares a link that passes everything once it listens."""
        self._name = name
        self._destination = destination
        self._settings = dict.fromkeys(Direction, Setting())
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._port = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._is_unused = asyncio.Event()
        self._is_unused.set()
        self._passed_bytes = 0

    @property
    def name(self) -> str:
        """The link's name."""
        return self._name

    @property
    def address(self) -> Address:
        """Where the link listens."""
        return Address(_LOOPBACK, self._port)

    @property
    def passed_bytes(self) -> int:
        """How many bytes went through, both directions together."""
        return self._passed_bytes

    def count(self, size: int) -> None:
        """Adds bytes that went through."""
        self._passed_bytes += size

    def setting(self, direction: Direction) -> Setting:
        """Returns what one direction does now."""
        return self._settings[direction]

    async def listen(self) -> None:
        """Starts to listen; on the same port as before, if any."""
        self._server = await asyncio.start_server(
            self._carry,
            _LOOPBACK,
            self._port,
        )
        self._port = self._server.sockets[0].getsockname()[1]

    async def change(self, direction: Direction, setting: Setting) -> None:
        """Puts a setting in force for present and new connections."""
        self._settings[direction] = setting
        self._changed.set()
        self._changed = asyncio.Event()
        if setting.mode is Mode.RESET:
            self._reset_all()
        if self._has_mode(Mode.REFUSE):
            self._stop_listening()
        elif self._server is None:
            await self.listen()

    async def close(self) -> None:
        """Stops listening and resets all connections."""
        self._stop_listening()
        for direction in Direction:
            self._settings[direction] = Setting()
        self._changed.set()
        self._reset_all()
        await self._is_unused.wait()

    async def wait_while_frozen(self, direction: Direction) -> None:
        """Returns as soon as the direction is not frozen."""
        while self._settings[direction].mode is Mode.FREEZE:
            await self._changed.wait()

    def _has_mode(self, mode: Mode) -> bool:
        return any(setting.mode is mode for setting in self._settings.values())

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def _reset_all(self) -> None:
        for writer in tuple(self._writers):
            reset(writer)

    async def _carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self._has_mode(Mode.RESET):
            reset(writer)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._destination.host,
                self._destination.port,
            )
        except OSError:
            reset(writer)
            return
        except asyncio.CancelledError:
            reset(writer)
            raise
        ends = {writer, far_writer}
        self._writers |= ends
        self._is_unused.clear()
        forward = _Pipe(self, Direction.FORWARD, reader, far_writer)
        backward = _Pipe(self, Direction.BACKWARD, far_reader, writer)
        try:
            await asyncio.gather(forward.carry(), backward.carry())
        finally:
            self._release(ends)

    def _release(self, ends: set[asyncio.StreamWriter]) -> None:
        self._writers -= ends
        if not self._writers:
            self._is_unused.set()
        for end in ends:
            end.close()


class LinkTable:
    """All links of one fault proxy."""

    def __init__(self) -> None:
        """Starts without links."""
        self._links: dict[str, Link] = {}

    async def add(self, name: str, destination: Address) -> Address:
        """Creates a link and returns where it listens."""
        link = Link(name, destination)
        await link.listen()
        self._links[name] = link
        return link.address

    async def close(self) -> None:
        """Closes all links."""
        for link in self._links.values():
            await link.close()

    def passed_bytes(self, pattern: str) -> dict[str, int]:
        """Returns the bytes that went through links of a pattern."""
        names = fnmatch.filter(self._links, pattern)
        return {name: self._links[name].passed_bytes for name in names}

    async def change(
        self,
        pattern: str,
        directions: tuple[Direction, ...],
        setting: Setting,
    ) -> int:
        """Changes every link whose name fits the shell-style pattern.

        Returns:
            How many links fitted.
        """
        names = fnmatch.filter(self._links, pattern)
        for name in names:
            for direction in directions:
                await self._links[name].change(direction, setting)
        return len(names)


@define
class _Pipe:
    """One direction of one connection."""

    _link: Link
    _direction: Direction
    _reader: asyncio.StreamReader
    _writer: asyncio.StreamWriter
    _has_lost_bytes: bool = field(default=False, init=False)

    async def carry(self) -> None:
        """Carries bytes until either end closes."""
        try:
            await self._carry_chunks()
        except OSError:
            self._note_loss()
            self._pass_on_end(is_reset=True)
            return
        self._pass_on_end(is_reset=False)

    def _note_loss(self) -> None:
        mode = self._link.setting(self._direction).mode
        self._has_lost_bytes |= mode is Mode.CUT

    def _pass_on_end(self, *, is_reset: bool) -> None:
        if self._has_lost_bytes:
            return
        if is_reset:
            reset(self._writer)
            return
        with contextlib.suppress(OSError):
            self._writer.write_eof()

    async def _carry_chunks(self) -> None:
        while True:
            chunk = await self._reader.read(_CHUNK_BYTES)
            await self._link.wait_while_frozen(self._direction)
            self._note_loss()
            if not chunk:
                return
            if self._has_lost_bytes:
                continue
            await self._pass_on(chunk, self._link.setting(self._direction))

    async def _pass_on(self, chunk: bytes, setting: Setting) -> None:
        if setting.mode is Mode.DELAY:
            await asyncio.sleep(setting.delay_ms / _MILLISECONDS_PER_SECOND)
        self._writer.write(chunk)
        self._link.count(len(chunk))
        await self._writer.drain()
