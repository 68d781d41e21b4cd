"""A stand-in for an upstream: two slots, a short queue, instance ids."""

import asyncio
import itertools

from http1 import encode_response, read_message

SLOTS = 2
QUEUE = 8
KEEP_ALIVE_SECONDS = 10
HEARTBEAT_SECONDS = 1.5
_numbers = itertools.count(1)


class Target:
    """One upstream process; `runs` lists the requests that it began to run."""

    def __init__(self, rig, service, zone, work_seconds, cold_seconds=0.0):
        self.rig = rig
        self.service = service
        self.zone = zone
        self.work_seconds = work_seconds
        self.cold_until = rig.now() + cold_seconds
        self.target_id = f'i-{next(_numbers):04x}{rig.nonce}'
        self.is_alive = False
        self.crashes_on = None
        self._running = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._writers = set()
        self._tasks = set()
        self._seq = 0
        self._born = rig.unix_ms()
        self._host = rig.target_host
        self._port = 0
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        self._port = self._server.sockets[0].getsockname()[1]
        self.is_alive = True
        await self.publish('ready')

    async def publish(self, state):
        """Writes the entry, as an upstream's heartbeat does."""
        self._seq += 1
        cold_ms = int(max(0, self.cold_until - self.rig.now()) * 1000)
        await self.rig.store.put(
            f'servers/{self.target_id}',
            {
                'Address': f'{self._host}:{self._port}',
                'Info': {
                    'Service': self.service,
                    'Version': 'v1',
                    'Zone': self.zone,
                    'Slots': SLOTS,
                },
                'Status': {
                    'State': state,
                    'Seq': self._seq,
                    'ColdRemainingMs': cold_ms,
                },
                'born': self._born,
            },
        )

    def crash(self):
        """Ends as a process does: the kernel closes all its sockets."""
        self.is_alive = False
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.close()
        for task in tuple(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self._tasks.add(asyncio.current_task())
        try:
            while self.is_alive:
                request = await read_message(reader)
                if request is None:
                    return
                writer.write(await self._answer(request))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(asyncio.current_task())
            writer.close()

    async def _answer(self, request):
        headers = request.headers
        request_id = headers.get('x-attempt-id', '')
        pairs = [
            ('X-Attempt-Id', request_id),
            ('X-Instance-Id', self.target_id),
            ('Keep-Alive', f'timeout={KEEP_ALIVE_SECONDS}'),
        ]
        if request.target == '/health':
            return encode_response(200, pairs)
        expected = headers.get('x-expect-instance')
        self.rig.note('arrives', target=self.target_id, request=request_id)
        if expected not in (None, self.target_id):
            return encode_response(421, pairs)
        if self._running >= SLOTS + QUEUE:
            return encode_response(503, [*pairs, ('X-Not-Executed', '1')])
        self._running += 1
        try:
            async with self._slots:
                return await self._run(request, request_id, pairs)
        finally:
            self._running -= 1

    async def _run(self, request, request_id, pairs):
        self.rig.on_run(self, request, request_id)
        if self.crashes_on and self.crashes_on(request):
            self.rig.on_crash(self, request, request_id)
            self.crash()
            await asyncio.sleep(0)
            raise EOFError('crashed')
        is_cold = self.rig.now() < self.cold_until
        await asyncio.sleep(self.work_seconds * (2 if is_cold else 1))
        body = f'{self.target_id} {request_id} {request.target}\n'.encode()
        signature = ('X-Upstream-Signature', f'{self.target_id}.{request_id}')
        self.rig.note('ran', target=self.target_id, request=request_id)
        return encode_response(200, [*pairs, signature], body)
