"""Stand-in for the platform: `python -m jacinthcroft_testkit.platform`.

It prints `ready host:port` of its only port, which serves the readers'
`GET /v1/values/<name>?reader=&after=&wait=` and the control messages.
"""

import asyncio
import collections
import fnmatch
from collections.abc import Mapping
from urllib.parse import parse_qsl, unquote

from attrs import asdict
from jacinthcroft_http import IncomingRequest, Response, now

from jacinthcroft_testkit.internal.control import (
    CONTROL_PREFIX,
    ControlDesk,
    Done,
    serve_until_stopped,
)
from jacinthcroft_testkit.internal.platform_messages import (
    Availability,
    Calls,
    CountCalls,
    Pin,
    PublishServices,
    PublishVms,
    Revision,
    Treat,
)
from jacinthcroft_testkit.internal.published import Published, Publisher

_VALUES_PREFIX = '/v1/values/'
_MILLISECONDS_PER_SECOND = 1000
_NOT_MODIFIED = 304
_NOT_FOUND = 404
_UNAVAILABLE = 503
_OK = 200


class Platform:
    """Answers readers and control messages."""

    def __init__(self) -> None:
        """Starts with nothing published."""
        self._publisher = Publisher()
        self._changed = asyncio.Event()
        self._treatments: dict[str, Treat] = {}
        self._calls: collections.Counter[int] = collections.Counter()
        self._desk = ControlDesk()
        self._desk.register(PublishServices, self._publish_services)
        self._desk.register(PublishVms, self._publish_vms)
        self._desk.register(Pin, self._pin)
        self._desk.register(Treat, self._treat)
        self._desk.register(CountCalls, self._count_calls)

    async def handle(self, request: IncomingRequest) -> Response:
        """Answers one request."""
        if request.path.startswith(CONTROL_PREFIX):
            return await self._desk.handle(request)
        self._calls[int(now())] += 1
        query = dict(parse_qsl(request.query))
        treatment = self._treatment_of(query.get('reader', ''))
        await asyncio.sleep(treatment.delay_ms / _MILLISECONDS_PER_SECOND)
        if treatment.availability is Availability.REFUSING:
            return Response.text(_UNAVAILABLE, 'unavailable\n')
        if treatment.availability is Availability.HANGING:
            await asyncio.Future()
        name = unquote(request.path.removeprefix(_VALUES_PREFIX))
        return await self._answer(name, query)

    async def _answer(self, name: str, query: Mapping[str, str]) -> Response:
        reader = query.get('reader', '')
        after = int(query.get('after', 0))
        until = now() + float(query.get('wait', 0))
        published = self._publisher.read(name, reader)
        while published is None or published.revision <= after:
            if not await self._wait_for_change(until):
                return _nothing_new(published)
            published = self._publisher.read(name, reader)
        return Response.json(_OK, asdict(published))

    async def _wait_for_change(self, until: float) -> bool:
        try:
            async with asyncio.timeout(until - now()):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def _treatment_of(self, reader: str) -> Treat:
        fitting = [
            treatment
            for pattern, treatment in self._treatments.items()
            if fnmatch.fnmatch(reader, pattern)
        ]
        return fitting[-1] if fitting else Treat(reader)

    def _announce_change(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _publish_services(self, message: PublishServices) -> Revision:
        revision = self._publisher.publish_services(message.texts)
        self._announce_change()
        return Revision(revision)

    async def _publish_vms(self, message: PublishVms) -> Revision:
        revision = self._publisher.publish_vms(message.vm_list)
        self._announce_change()
        return Revision(revision)

    async def _pin(self, message: Pin) -> Done:
        self._publisher.pin(message.readers, message.revision)
        self._announce_change()
        return Done()

    async def _treat(self, message: Treat) -> Done:
        # The latest treatment goes before earlier ones of wider patterns.
        self._treatments.pop(message.readers, None)
        self._treatments[message.readers] = message
        return Done()

    async def _count_calls(self, _message: CountCalls) -> Calls:
        if not self._calls:
            return Calls(())
        seconds = range(min(self._calls), int(now()) + 1)
        return Calls(tuple(self._calls[second] for second in seconds))


def _nothing_new(published: Published | None) -> Response:
    if published is None:
        return Response.text(_NOT_FOUND, 'unknown name\n')
    return Response(_NOT_MODIFIED)


def main() -> None:
    """Runs the platform stand-in until SIGTERM."""
    asyncio.run(_serve())


async def _serve() -> None:
    await serve_until_stopped(Platform().handle)


if __name__ == '__main__':
    main()
