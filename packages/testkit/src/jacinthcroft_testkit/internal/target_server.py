"""One stand-in target on its port.

Every handler runs in its connection's task, so a caller that disconnects
cancels its run. Raising `CancelledError` closes the connection unanswered.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from urllib.parse import parse_qsl

from attrs import frozen
from jacinthcroft_http import (
    BodyCut,
    IncomingRequest,
    Interrupted,
    Response,
    Server,
    now,
)

from jacinthcroft_testkit.internal.answers import AnswerBody
from jacinthcroft_testkit.internal.control import serve
from jacinthcroft_testkit.internal.history import RunResult
from jacinthcroft_testkit.internal.target_messages import Behaviour
from jacinthcroft_testkit.internal.target_state import TargetState

_MILLISECONDS_PER_SECOND = 1000
_BODY_LIMIT_BYTES = 16_000_000
_OK = 200
_ERROR = 500
_UNAVAILABLE = 503


@frozen
class Job:
    """One run that is ready to be answered."""

    state: TargetState
    request: IncomingRequest
    number: int

    @property
    def seconds_left(self) -> float | None:
        """What the request's deadline leaves, if it has one."""
        milliseconds = self.request.headers.get('deadline-ms')
        if milliseconds is None:
            return None
        return int(milliseconds) / _MILLISECONDS_PER_SECOND

    @property
    def headers(self) -> list[tuple[str, str]]:
        """The headers of the run's proper answer."""
        request_id = self.request.headers.get('x-request-id') or ''
        return [('x-request-id', request_id), *_signs(self.state)]

    @property
    def body(self) -> bytes:
        """The run's proper answer."""
        request_id = self.request.headers.get('x-request-id') or ''
        return _body(request_id, self.request.target)

    def finish(self, result: RunResult) -> None:
        """Enters the run's end into the journal."""
        self.state.finish(self.number, result, now())


Ending = Callable[[Job], Awaitable[Response]]
_endings: dict[Behaviour, Ending] = {}


def _ending(behaviour: Behaviour) -> Callable[[Ending], Ending]:
    def decorator(ending: Ending) -> Ending:
        _endings[behaviour] = ending
        return ending

    return decorator


@_ending(Behaviour.ANSWER)
async def _answer(job: Job) -> Response:
    job.finish(RunResult.COMPLETED)
    return Response(_OK, job.headers, job.body)


@_ending(Behaviour.STALL)
async def _stall(job: Job) -> Response:
    await asyncio.sleep(job.state.faults.stall_seconds)
    return await _answer(job)


@_ending(Behaviour.LATE)
async def _answer_late(job: Job) -> Response:
    await asyncio.sleep(job.state.faults.late_seconds)
    return await _answer(job)


@_ending(Behaviour.ERROR)
async def _fail(job: Job) -> Response:
    job.finish(RunResult.FAILED)
    return Response(_ERROR, job.headers, job.body)


@_ending(Behaviour.RESET)
async def _reset(job: Job) -> Response:
    job.finish(RunResult.RESET)
    raise asyncio.CancelledError


@_ending(Behaviour.CUT)
async def _cut(job: Job) -> Response:
    job.finish(RunResult.COMPLETED)
    body = job.body
    length = ('content-length', str(len(body)))
    half = body[: len(body) // 2]
    return Response(_OK, [*job.headers, length], _break_off(half))


@_ending(Behaviour.CROSS)
async def _cross(job: Job) -> Response:
    job.finish(RunResult.COMPLETED)
    other = job.state.run_before(job.number)
    headers = [('x-request-id', other.request_id), *_signs(job.state)]
    return Response(_OK, headers, _body(other.request_id, other.path))


class TargetServer:
    """One target's port; it stays the same when the target restarts."""

    def __init__(self, state: TargetState) -> None:
        """Prepares a target; `start` opens its port."""
        self._state = state
        self._server: Server | None = None
        self._port = 0
        self._restarting: asyncio.Task[None] | None = None

    @property
    def state(self) -> TargetState:
        """What the target remembers."""
        return self._state

    async def start(self) -> str:
        """Opens the port and returns `host:port`."""
        server, address = await serve(self._handle, self._port)
        self._server = server
        self._port = address.port
        return str(address)

    def crash(self) -> None:
        """Cuts everything; the target comes back cold after a while."""
        if self._restarting is None or self._restarting.done():
            self._state.restart(now())
            self._restarting = asyncio.create_task(self._restart())

    async def _restart(self) -> None:
        if self._server is not None:
            await self._server.drain(0)
        await asyncio.sleep(self._state.traits.restart_seconds)
        self._state.turn_cold(now())
        await self.start()

    async def _handle(self, request: IncomingRequest) -> Response:
        if request.path == '/health':
            return await self._report_health()
        if request.path == '/load':
            return self._report_load()
        # The body is read first: a request that never came whole never ran.
        await request.read_body(_BODY_LIMIT_BYTES)
        if self._state.must_shed:
            return self._shed(request)
        connections = self._server.open_connections if self._server else 0
        number = self._state.begin(request, now(), connections)
        return await self._run(Job(self._state, request, number))

    async def _run(self, job: Job) -> Response:
        marker = job.state.faults.crash_marker
        if marker and marker in job.request.target:
            self.crash()
        try:
            async with asyncio.timeout(job.seconds_left):
                await _work(job.state)
                ending = _endings[job.state.draw_behaviour()]
                return await ending(job)
        except TimeoutError as error:
            job.finish(RunResult.CANCELLED)
            raise asyncio.CancelledError from error
        except asyncio.CancelledError:
            job.finish(RunResult.CANCELLED)
            raise

    def _shed(self, request: IncomingRequest) -> Response:
        self._state.sheds += 1
        request_id = request.headers.get('x-request-id') or ''
        headers = [('x-request-id', request_id), ('x-shed', '1')]
        return Response(_UNAVAILABLE, [*headers, *_signs(self._state)])

    async def _report_health(self) -> Response:
        state = self._state
        state.probes += 1
        await asyncio.sleep(state.traits.probe_ms / _MILLISECONDS_PER_SECOND)
        is_healthy = state.faults.claimed_health
        if is_healthy is None:
            is_healthy = not state.stall_left(now())
        status = _OK if is_healthy else _UNAVAILABLE
        return Response(status, _signs(state))

    def _report_load(self) -> Response:
        running = self._state.faults.claimed_running
        if running is None:
            running = self._state.running
        return Response.json(_OK, {'running': running}, _signs(self._state))


async def _work(state: TargetState) -> None:
    await asyncio.sleep(state.draw_service_seconds(now()))
    left = state.stall_left(now())
    while left:
        await asyncio.sleep(left)
        left = state.stall_left(now())


async def _break_off(half: bytes) -> AsyncIterator[bytes]:
    yield half
    raise BodyCut(Interrupted('reset', 'cut on purpose'))


def _signs(state: TargetState) -> list[tuple[str, str]]:
    signs = [('x-boot-id', state.boot_id)]
    if state.faults.is_draining:
        signs.append(('x-draining', '1'))
    return signs


def _body(request_id: str, path: str) -> bytes:
    query = dict(parse_qsl(path.partition('?')[2]))
    size = int(query.get('bytes', 0))
    return AnswerBody.for_request(request_id, path, size).to_bytes()
