"""A datagram decodes to the message that was encoded."""

import pytest
from jacinthcroft_daemon.internal.seeded.wire import (
    pack_ask,
    pack_decision,
    pack_report,
    unpack_ask,
    unpack_datagram,
    unpack_grant,
    unpack_refusal,
    unpack_report,
)
from jacinthcroft_decisions.dispatch import (
    Ask,
    Grant,
    Outcome,
    Refusal,
    RefusalReason,
    Report,
)

HOST = '10.0.0.1'


def test_an_ask_arrives_as_it_was_sent() -> None:
    ask = Ask(
        HOST,
        7,
        'history',
        'team',
        is_repeatable=True,
        attempt=2,
        rank=1,
        time_left=1.5,
        objective_left=-0.25,
        fingerprint='f',
        transfer_bytes=9,
        excluded=('t1',),
        route='book',
    )
    assert unpack_ask(HOST, unpack_datagram(pack_ask(ask))[1]) == ask


@pytest.mark.parametrize('max_rest', [None, 0.125])
def test_a_grant_arrives_as_it_was_sent(max_rest: float | None) -> None:
    grant = Grant((HOST, 7), 't1', '10.0.1.1', 80, 0.5, max_rest)
    assert unpack_grant(HOST, unpack_datagram(pack_decision(grant))[1]) == grant


@pytest.mark.parametrize('retry_after', [None, 0.5])
def test_a_refusal_arrives_as_it_was_sent(retry_after: float | None) -> None:
    refusal = Refusal((HOST, 7), RefusalReason.FULL, retry_after)
    assert (
        unpack_refusal(HOST, unpack_datagram(pack_decision(refusal))[1])
        == refusal
    )


@pytest.mark.parametrize('outcome', list(Outcome))
def test_a_report_arrives_as_it_was_sent(outcome: Outcome) -> None:
    report = Report((HOST, 7), outcome, 0.5, used_idle_connection=True)
    assert (
        unpack_report(HOST, unpack_datagram(pack_report(report))[1]) == report
    )
