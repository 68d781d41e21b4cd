"""Datagrams between VMs: positional MessagePack arrays.

A VM is identified by its host, the sender's address, so datagrams don't contain
it. A receiver logs and drops a datagram that it can't decode.
"""

import enum
import reprlib
from collections.abc import Iterable
from typing import Any, Final

import msgpack
from jacinthcroft_decisions.dispatch import (
    Ask,
    Decision,
    Grant,
    HeldTarget,
    Outcome,
    Refusal,
    RefusalReason,
    Report,
)

from jacinthcroft_daemon.internal.seeded.schemas import (
    InvalidMessage,
    Schema,
    is_finite,
    is_flag,
    is_port,
    is_text,
    is_whole,
    make_choice,
    make_list,
    make_optional,
)

_MILLIS_PER_SECOND: Final = 1000
_ASK: Final = Schema.from_checks(
    'ask',
    number=is_whole,
    service=is_text,
    team=is_text,
    is_repeatable=is_flag,
    attempt=is_whole,
    rank=is_whole,
    time_left=is_finite,
    objective_left=is_finite,
    fingerprint=is_text,
    transfer_bytes=is_whole,
    excluded=make_list(is_text),
    route=is_text,
)
_GRANT: Final = Schema.from_checks(
    'grant',
    number=is_whole,
    target_id=is_text,
    host=is_text,
    port=is_port,
    patience=is_finite,
    max_rest=make_optional(is_finite),
)
_REFUSAL: Final = Schema.from_checks(
    'refusal',
    number=is_whole,
    reason=make_choice(RefusalReason),
    retry_after=make_optional(is_finite),
)
_REPORT: Final = Schema.from_checks(
    'report',
    number=is_whole,
    outcome=make_choice(Outcome),
    seconds=is_finite,
    used_idle_connection=is_flag,
)
_HELD_TARGET: Final = Schema.from_checks(
    'held target',
    incarnation=is_text,
    is_leaving=is_flag,
    millis=is_finite,
)
_HELD_TARGETS: Final = Schema.from_checks(
    'held targets', targets=make_list(_HELD_TARGET.accepts)
)
_WAITING: Final = Schema.from_checks('waiting', number=is_whole)


class DatagramKind(enum.IntEnum):
    """The kind of a datagram, its first field."""

    POLL = 0
    POLL_REPLY = 1
    ASK = 2
    GRANT = 3
    REFUSAL = 4
    WAITING = 5
    REPORT = 6
    REDIRECT = 7
    TAKE_OVER = 8
    HELD_TARGETS = 9


_KINDS: Final = frozenset(int(kind) for kind in DatagramKind)


def pack_datagram(kind: DatagramKind, *fields: Any) -> bytes:
    """Returns a datagram."""
    packed: bytes = msgpack.packb((int(kind), *fields))
    return packed


def unpack_datagram(datagram: bytes) -> tuple[DatagramKind, list[Any]]:
    """Returns a datagram's kind and fields.

    Raises:
        InvalidMessage: If it can't be decoded or its kind is unknown.
    """
    try:
        fields = msgpack.unpackb(datagram)
    except (msgpack.exceptions.UnpackException, ValueError) as error:
        raise InvalidMessage(f'no MessagePack: {error!r}') from error
    if not isinstance(fields, list) or not fields:
        raise InvalidMessage('no array with a kind')
    if not is_whole(fields[0]) or fields[0] not in _KINDS:
        raise InvalidMessage(f'unknown kind {reprlib.repr(fields[0])}')
    return DatagramKind(fields[0]), fields[1:]


def pack_ask(ask: Ask) -> bytes:
    """Returns the datagram of an ask."""
    return pack_datagram(
        DatagramKind.ASK,
        ask.number,
        ask.service,
        ask.team,
        ask.is_repeatable,
        ask.attempt,
        ask.rank,
        _to_millis(ask.time_left),
        _to_millis(ask.objective_left),
        ask.fingerprint,
        ask.transfer_bytes,
        list(ask.excluded),
        ask.route,
    )


def unpack_ask(host: str, fields: list[Any]) -> Ask:
    """Returns the ask that a VM sent."""
    checked = _ASK.check(fields)
    time_left, objective_left = checked[6:8]
    excluded, route = checked[10:]
    return Ask(
        host,
        checked[0],
        service=checked[1],
        team=checked[2],
        is_repeatable=checked[3],
        attempt=checked[4],
        rank=checked[5],
        time_left=time_left / _MILLIS_PER_SECOND,
        objective_left=objective_left / _MILLIS_PER_SECOND,
        fingerprint=checked[8],
        transfer_bytes=checked[9],
        excluded=tuple(excluded),
        route=route,
    )


def pack_decision(decision: Decision) -> bytes:
    """Returns the datagram of a decision, with the number of its ask."""
    number = decision.key[1]
    if isinstance(decision, Grant):
        return pack_datagram(
            DatagramKind.GRANT,
            number,
            decision.target_id,
            decision.host,
            decision.port,
            _to_millis(decision.patience),
            _to_optional_millis(decision.max_rest),
        )
    return pack_datagram(
        DatagramKind.REFUSAL,
        number,
        int(decision.reason),
        _to_optional_millis(decision.retry_after),
    )


def unpack_grant(host: str, fields: list[Any]) -> Grant:
    """Returns the grant for an ask of the VM with this host."""
    number, target_id, target_host, port = _GRANT.check(fields)[:4]
    patience, max_rest = fields[4:]
    return Grant(
        (host, number),
        target_id,
        target_host,
        port,
        patience / _MILLIS_PER_SECOND,
        _to_optional_seconds(max_rest),
    )


def unpack_refusal(host: str, fields: list[Any]) -> Refusal:
    """Returns the refusal of an ask of the VM with this host."""
    number, reason, retry_after = _REFUSAL.check(fields)
    return Refusal(
        (host, number),
        RefusalReason(reason),
        _to_optional_seconds(retry_after),
    )


def pack_report(report: Report) -> bytes:
    """Returns the datagram of a report."""
    return pack_datagram(
        DatagramKind.REPORT,
        report.key[1],
        int(report.outcome),
        _to_millis(report.seconds),
        report.used_idle_connection,
    )


def unpack_report(host: str, fields: list[Any]) -> Report:
    """Returns the report that a VM sent."""
    number, outcome, seconds, used_idle_connection = _REPORT.check(fields)
    return Report(
        (host, number),
        Outcome(outcome),
        seconds / _MILLIS_PER_SECOND,
        used_idle_connection,
    )


def pack_held_targets(held_targets: Iterable[HeldTarget]) -> bytes:
    """Returns the datagram with the targets to which a VM sends nothing."""
    rows = [
        [held.incarnation, held.is_leaving, _to_millis(held.seconds_left)]
        for held in held_targets
    ]
    return pack_datagram(DatagramKind.HELD_TARGETS, rows)


def unpack_held_targets(_: str, fields: list[Any]) -> list[HeldTarget]:
    """Returns the targets to which a VM sends nothing."""
    return [
        HeldTarget(name, is_leaving, millis / _MILLIS_PER_SECOND)
        for name, is_leaving, millis in _HELD_TARGETS.check(fields)[0]
    ]


def unpack_waiting(_: str, fields: list[Any]) -> int:
    """Returns the number of an ask that waits at the deciding VM."""
    number: int = _WAITING.check(fields)[0]
    return number


def _to_millis(seconds: float) -> int:
    return int(seconds * _MILLIS_PER_SECOND)


def _to_optional_millis(seconds: float | None) -> int | None:
    return None if seconds is None else _to_millis(seconds)


def _to_optional_seconds(millis: int | None) -> float | None:
    return None if millis is None else millis / _MILLIS_PER_SECOND
