"""A request crashes each upstream that begins to run it, and comes again."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

from rig import CannotRun, Client, Rig, main, make_configuration, make_load, make_route

VMS = 3
TARGETS = 6
SERVICE = 'huvo11a'
REQUESTS_PER_SECOND = 8
CALM_SECONDS = 6.0
PLAY_SECONDS = 50.0
REPEAT_SECONDS = 2.0
# A crashed upstream is back after some seconds, as a new instance.
RESTART_SECONDS = 3.0
COLD_SECONDS = 3.0
STABLE_SECONDS = 3.0
# The rule "BUDGET": at most this many retries reach upstreams from StableMs
# after the third crash on.
MAX_RETRIES = 3
KEY = '2b9wu3fexd9dnn2ctnfz'
CRASHING_KEY = 's989anu6wsjnbanfqasn'
CRASHING_PATH = '/pufi791/9c'
CRASHING_BODY = b'\x00' * 64


def is_crashing(request):
    return request.target == CRASHING_PATH and request.body == CRASHING_BODY


class CrashingRig(Rig):
    """Starts each crashed upstream again as a new instance."""

    crashes = ()

    def on_crash(self, target, request, request_id):
        super().on_crash(target, request, request_id)
        self.crashes = (*self.crashes, self.now())
        self.spawn(self._replace(target))

    async def _replace(self, target):
        # The entry of an upstream that sends nothing is removed after three
        # heartbeat intervals.
        await asyncio.sleep(RESTART_SECONDS)
        await self.add_upstream(target.zone, COLD_SECONDS)
        await asyncio.sleep(4.5 - RESTART_SECONDS)
        await self.store.delete(f'servers/{target.target_id}')

    async def add_upstream(self, zone, cold_seconds=0.0):
        target = await self.add_target(SERVICE, zone, 0.15, cold_seconds)
        if self.has_trouble:
            target.crashes_on = is_crashing


async def repeat(rig):
    """The caller sends the request again and again, on a new connection."""
    sent = []
    end = rig.now() + PLAY_SECONDS
    while rig.now() < end:
        client = Client(rig, CRASHING_KEY)
        request_id = f'{rig.random.getrandbits(64):016x}'
        sent.append((rig.now(), request_id))
        await client.call('POST', CRASHING_PATH, 3000, CRASHING_BODY, request_id)
        client.close()
        await asyncio.sleep(REPEAT_SECONDS)
    return sent


async def play():
    configuration = make_configuration(
        7,
        [
            make_route('r-safe', '/lohu930/', 'safe', SERVICE),
            make_route('r-unsafe', '/pufi791/', 'unsafe', SERVICE),
        ],
        [SERVICE],
        {'huka270': [KEY], 'zigo840': [CRASHING_KEY]},
    )
    rig = CrashingRig(FOLDER, VMS, configuration)
    try:
        await rig.start()
        for index in range(TARGETS):
            await rig.add_upstream(rig.vms[index % 3].zone)
        await asyncio.sleep(1.5)
        clients = [Client(rig, KEY) for _ in range(40)]

        def make_request():
            if rig.random.random() < 0.3:
                return 'GET', '/lohu930/2f', 2500, b''
            return 'POST', '/pufi791/2f', 3000, b'x' * 500

        await make_load(rig, clients, REQUESTS_PER_SECOND, CALM_SECONDS, make_request)
        served = sum(answer[3] == 200 for answer in rig.answers)
        if served < len(rig.answers) * 0.9:
            raise CannotRun('the calm part was not calm')
        calm = len(rig.answers)
        sent, _ = await asyncio.gather(
            repeat(rig),
            make_load(rig, clients, REQUESTS_PER_SECOND, PLAY_SECONDS, make_request),
        )
    finally:
        await rig.stop()
    late = []
    if len(rig.crashes) >= 3:
        bound_at = rig.crashes[2] + STABLE_SECONDS
        late_ids = {request_id for at, request_id in sent if at > bound_at}
        late = [run for run in rig.runs if run[2] in late_ids]
    crashing_ids = {request_id for _, request_id in sent}
    ran = {run[2] for run in rig.runs}
    lost = [
        answer
        for answer in rig.answers[calm:]
        if answer[2].startswith('/pufi791/')
        and answer[1] not in crashing_ids
        and answer[1] in ran
        and answer[3] != 200
    ]
    text = (
        f'sent {len(sent)} times; upstreams crashed: {len(rig.crashes)}; retries '
        f'that reached an upstream later than {STABLE_SECONDS} s after the third '
        f'crash: {len(late)}; requests of others that ran and were not served: '
        f'{len(lost)}'
    )
    return rig.finish(text, 1 if len(late) > MAX_RETRIES else 0)


main(play)
