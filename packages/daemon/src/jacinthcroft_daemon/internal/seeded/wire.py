"""Datagrams between VMs: positional MessagePack arrays.

A VM's host is its identity, so that no datagram repeats its name. What
cannot be decoded is dropped by the receiver with a log line.
"""

import enum
from typing import Any, Final

import msgpack
from jacinthcroft_decisions.dispatch import (
    Ask,
    Decision,
    Grant,
    Outcome,
    Refusal,
    RefusalReason,
    Report,
)
from jacinthcroft_decisions.membership import Peer, Poll, PollReply

_MILLIS: Final = 1000
# Stands for an age that is not known.
_UNKNOWN_AGE_MILLIS: Final = 2**31


class Kind(enum.IntEnum):
    """What a datagram carries."""

    POLL = 0
    POLL_REPLY = 1
    ASK = 2
    GRANT = 3
    REFUSAL = 4
    WAITING = 5
    REPORT = 6
    REDIRECT = 7
    TAKE_OVER = 8


def pack(kind: Kind, *fields: Any) -> bytes:
    """Returns a datagram."""
    packed: bytes = msgpack.packb((int(kind), *fields))
    return packed


def unpack(datagram: bytes) -> tuple[Kind, list[Any]]:
    """Returns a datagram's kind and fields.

    Raises:
        ValueError: If it is no datagram of this fleet.
    """
    try:
        fields = msgpack.unpackb(datagram)
    except (msgpack.exceptions.UnpackException, ValueError) as error:
        raise ValueError(f'not a message: {error}') from error
    if not isinstance(fields, list) or not fields:
        raise ValueError('not an array')
    return Kind(fields[0]), fields[1:]


def pack_peer(peer: Peer) -> list[Any]:
    """Returns a peer's fields."""
    return [peer.host, peer.zone, peer.incarnation, list(peer.rank)]


def unpack_peer(fields: list[Any]) -> Peer:
    """Returns the peer of such fields."""
    host, zone, incarnation, rank = fields
    return Peer(str(host), str(zone), int(incarnation), (rank[0], rank[1]))


def pack_poll(poll: Poll) -> list[Any]:
    """Returns a poll's fields."""
    return [
        pack_peer(poll.sender),
        poll.is_leading,
        poll.is_following,
        poll.wants_reader,
    ]


def unpack_poll(fields: list[Any]) -> Poll:
    """Returns the poll of such fields."""
    sender, is_leading, is_following, wants_reader = fields
    return Poll(
        unpack_peer(sender),
        bool(is_leading),
        bool(is_following),
        bool(wants_reader),
    )


def pack_reply(reply: PollReply) -> list[Any]:
    """Returns a poll reply's fields."""
    age = min(reply.state_age * _MILLIS, _UNKNOWN_AGE_MILLIS)
    return [
        pack_peer(reply.sender),
        reply.is_leading,
        reply.is_leaving,
        reply.leader,
        list(reply.successors),
        reply.fleet_size,
        reply.state_version,
        int(age) + 1,
    ]


def unpack_reply(fields: list[Any]) -> PollReply:
    """Returns the poll reply of such fields."""
    sender, is_leading, is_leaving, leader = fields[:4]
    successors, fleet_size, version, age = fields[4:]
    return PollReply(
        unpack_peer(sender),
        bool(is_leading),
        bool(is_leaving),
        None if leader is None else str(leader),
        tuple(str(host) for host in successors),
        int(fleet_size),
        int(version),
        int(age) / _MILLIS,
    )


def pack_ask(ask: Ask) -> bytes:
    """Returns the datagram of an ask."""
    return pack(
        Kind.ASK,
        ask.number,
        ask.service,
        ask.team,
        ask.is_repeatable,
        ask.attempt,
        ask.rank,
        _to_millis(ask.time_left),
        _to_millis(ask.objective_left),
        ask.fingerprint,
        ask.body_bytes,
        list(ask.excluded),
    )


def unpack_ask(host: str, fields: list[Any]) -> Ask:
    """Returns the ask that a VM sent."""
    number, service, team, is_repeatable, attempt, rank = fields[:6]
    time_left, objective_left, fingerprint, body_bytes, excluded = fields[6:]
    return Ask(
        host,
        int(number),
        str(service),
        str(team),
        bool(is_repeatable),
        int(attempt),
        int(rank),
        time_left / _MILLIS,
        objective_left / _MILLIS,
        str(fingerprint),
        int(body_bytes),
        tuple(str(target) for target in excluded),
    )


def pack_decision(decision: Decision) -> bytes:
    """Returns the datagram of a decision; its number is its asker's."""
    number = decision.key[1]
    if isinstance(decision, Grant):
        return pack(
            Kind.GRANT,
            number,
            decision.target_id,
            decision.host,
            decision.port,
            _to_millis(decision.patience),
        )
    retry_after = decision.retry_after
    return pack(
        Kind.REFUSAL,
        number,
        int(decision.reason),
        None if retry_after is None else _to_millis(retry_after),
    )


def unpack_grant(host: str, fields: list[Any]) -> Grant:
    """Returns a grant to the VM with this host."""
    number, target_id, target_host, port, patience = fields
    return Grant(
        (host, int(number)),
        str(target_id),
        str(target_host),
        int(port),
        patience / _MILLIS,
    )


def unpack_refusal(host: str, fields: list[Any]) -> Refusal:
    """Returns a refusal to the VM with this host."""
    number, reason, retry_after = fields
    return Refusal(
        (host, int(number)),
        RefusalReason(reason),
        None if retry_after is None else retry_after / _MILLIS,
    )


def pack_report(report: Report) -> bytes:
    """Returns the datagram of a report."""
    return pack(
        Kind.REPORT,
        report.key[1],
        int(report.outcome),
        _to_millis(report.seconds),
    )


def unpack_report(host: str, fields: list[Any]) -> Report:
    """Returns the report that a VM sent."""
    number, outcome, seconds = fields
    return Report((host, int(number)), Outcome(outcome), seconds / _MILLIS)


def _to_millis(seconds: float) -> int:
    return int(seconds * _MILLIS)
