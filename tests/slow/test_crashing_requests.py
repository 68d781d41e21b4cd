"""A request that crashes its targets is stopped before it costs many."""

import asyncio

from jacinthcroft_http import Answer, OutgoingRequest
from jacinthcroft_testkit.internal.documents import EXAMPLE_KEY
from jacinthcroft_testkit.internal.history import RunResult
from jacinthcroft_testkit.internal.target_messages import Faults

from tests.slow.traffic_support import SERVICE, TEAM, Scene, ScenePlan, scene

_PLAN = ScenePlan()
_MARKER = 'crash'
_PATH = f'/{SERVICE}/items/{_MARKER}'
_SENDINGS = 24
# Two strikes, and one more run that is under way meanwhile.
_MOST_LOST = 3
_ANSWER_LIMIT_BYTES = 100_000


def test_a_crashing_request_sent_through_all_vms_loses_few_targets() -> None:
    """It is refused everywhere afterwards, and others go on."""

    async def _run() -> None:
        async with scene(_PLAN) as running:
            faults = Faults(crash_marker=_MARKER)
            await running.fleet.targets.set_faults('*', faults)
            async with running.under_load(30):
                for _ in range(_SENDINGS):
                    await _send_through_all(running)
                bodies = await _send_through_all(running)
                await running.wait_for_runs(60)
            runs = await running.runs()
            crashed = {
                (run.target, run.boot_id)
                for run in runs
                if _MARKER in run.path and run.result is RunResult.CRASHED
            }
            assert 2 <= len(crashed) <= _MOST_LOST
            assert all(b'"quarantined"' in body for body in bodies), bodies

    asyncio.run(_run())


async def _send_through_all(running: Scene) -> list[bytes]:
    names = running.fleet.vms.names()
    return [await _send(running, name) for name in names]


async def _send(running: Scene, vm: str) -> bytes:
    address = running.fleet.vms.entries[vm].callers
    key = ('authorization', f'Bearer {EXAMPLE_KEY}{TEAM}')
    request = OutgoingRequest(address.host, address.port, 'GET', _PATH, [key])
    answer = await running.pool.send(request, 4)
    if not isinstance(answer, Answer):
        return b''
    body = await answer.read(_ANSWER_LIMIT_BYTES)
    return body if isinstance(body, bytes) else b''
