"""Callers resend by policy, and record what they sent and received."""

import asyncio
import random
import time
import uuid

from hypothesis import given, settings
from hypothesis import strategies as st
from jacinthcroft_config import Address
from jacinthcroft_http import IncomingRequest, Response
from jacinthcroft_testkit.internal.answers import AnswerBody
from jacinthcroft_testkit.internal.caller import (
    Caller,
    Recorder,
    ResendPolicy,
)
from jacinthcroft_testkit.internal.control import make_pool, serve
from jacinthcroft_testkit.internal.history import OutcomeKind
from jacinthcroft_testkit.internal.identifiers import make_uuid7
from jacinthcroft_testkit.internal.ports import PortAllocator
from jacinthcroft_testkit.internal.requests import (
    Balancer,
    Entrance,
    RequestKind,
)
from jacinthcroft_testkit.internal.schedules import make_schedule

_TRANSFER = RequestKind('transfers', 'app', 'k', 'POST', '/t', False)
_UNKNOWN = b'{"outcome": "unknown", "reason": "outcome-unknown"}'
_PROBLEM = [('content-type', 'application/problem+json')]


async def _answer(request: IncomingRequest) -> Response:
    body = AnswerBody.for_request('', request.target, 10)
    return Response(200, body=body.to_bytes())


async def _refuse(request: IncomingRequest) -> Response:
    return Response(409, _PROBLEM, _UNKNOWN)


async def _call(refuser: Address | None) -> Recorder:
    if refuser is None:
        _, refuser = await serve(_refuse)
    _, answerer = await serve(_answer)
    entrances = [Entrance('vm1', refuser), Entrance('vm2', answerer)]
    randomness = random.Random(1)
    # All first sendings go to vm1.
    balancer = Balancer(entrances, randomness, {'vm1': 1, 'vm2': 0})
    recorder = Recorder()
    pool = make_pool()
    policy = ResendPolicy(pause_seconds=0)
    await Caller(balancer, recorder, pool, randomness, policy).call(_TRANSFER)
    await pool.close()
    return recorder


def _assert_resent_with_the_same_key(recorder: Recorder) -> None:
    first, second = recorder.sent
    assert (first.vm, second.vm) == ('vm1', 'vm2')
    assert first.key == second.key
    assert [one.kind for one in recorder.final] == [OutcomeKind.ANSWERED]
    assert recorder.outcomes[1].is_own
    assert recorder.outcomes[1].is_whole


def test_an_unknown_outcome_is_asked_for_again_at_another_vm() -> None:
    recorder = asyncio.run(_call(refuser=None))
    _assert_resent_with_the_same_key(recorder)
    assert recorder.outcomes[0].kind is OutcomeKind.REFUSED
    assert recorder.outcomes[0].reason == 'outcome-unknown'


def test_a_lost_connection_is_resent_through_another_vm() -> None:
    ports = PortAllocator()
    recorder = asyncio.run(_call(ports.take()))
    ports.close()
    _assert_resent_with_the_same_key(recorder)
    assert recorder.outcomes[0].kind is OutcomeKind.CONNECTION_LOST


@settings(derandomize=True)
@given(st.floats(min_value=0, max_value=2**38), st.integers())
def test_keys_are_uuids_of_version_7_with_their_time(
    wall: float,
    seed: int,
) -> None:
    key = uuid.UUID(make_uuid7(wall, random.Random(seed)))
    assert key.version == 7
    assert key.variant == uuid.RFC_4122
    assert key.int >> 80 == int(wall * 1000)


def test_two_keys_of_one_moment_differ() -> None:
    randomness = random.Random(1)
    wall = time.time()
    assert make_uuid7(wall, randomness) != make_uuid7(wall, randomness)


@settings(derandomize=True)
@given(st.integers())
def test_a_schedule_ends_each_fault_and_repeats_by_its_seed(seed: int) -> None:
    changes = make_schedule(random.Random(seed), ['vm1>*'], 30, 2)
    assert changes == make_schedule(random.Random(seed), ['vm1>*'], 30, 2)
    assert all(0 <= change.at <= 30 for change in changes)
    assert list(changes) == sorted(changes, key=lambda change: change.at)
    heals = [one for one in changes if one.setting.mode.value == 'pass']
    assert len(heals) * 2 == len(changes)
