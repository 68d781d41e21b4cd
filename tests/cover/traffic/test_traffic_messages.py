"""Messages between VMs are unchanged after a round trip through JSON."""

import json

import cattrs
import pytest
from jacinthcroft_decisions.traffic import (
    CellHandover,
    CrashReport,
    HeldSlot,
    Permit,
    PermitRefusal,
    PermitRenewal,
    PermitReport,
    PermitRequest,
    ReportReply,
    RunOutcome,
    TargetHandover,
    TokenGrant,
    TokenRequest,
    TokenReturn,
)

HELD_SLOT = HeldSlot('p', 'vm0', 'z0', 1.5)
MESSAGES = (
    TokenRequest('k', 'vm0', 3, 1.5, (TokenReturn('g', 2),), 1),
    TokenGrant(3, 0.5, 0, 'g'),
    PermitRequest('history', 'vm0', 'z0', 'app', 'reads', 0.5),
    Permit('p', 'history', 't0', '127.0.0.1', 9000, 1),
    PermitRefusal('overloaded'),
    PermitReport(
        permit_id='p',
        cell='history',
        vm='vm0',
        target='t0',
        outcome=RunOutcome.CONNECT_FAILED,
        latency=0.1,
        is_returned=True,
        boot_id=None,
        is_draining=False,
        run_number=3,
    ),
    ReportReply((PermitRenewal('p', 1),), ('q',)),
    CellHandover(
        'history', (TargetHandover('t0', True, ('b',), (HELD_SLOT,)),)
    ),
    CrashReport('f', 't0'),
)


@pytest.mark.parametrize('message', MESSAGES)
def test_a_message_is_equal_after_a_round_trip(message: object) -> None:
    encoded = json.dumps(cattrs.unstructure(message))
    assert cattrs.structure(json.loads(encoded), type(message)) == message
