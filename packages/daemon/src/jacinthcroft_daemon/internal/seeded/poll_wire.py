"""Encodes polls and their replies as fields of datagrams."""

from typing import Any, Final

from attrs import frozen
from jacinthcroft_decisions.membership import Peer, Poll, PollReply

from jacinthcroft_daemon.internal.seeded.schemas import (
    Schema,
    is_count,
    is_finite,
    is_flag,
    is_text,
    is_whole,
    make_list,
    make_optional,
)

_MILLIS_PER_SECOND: Final = 1000
# Sent in place of the infinite age of a copy that was never confirmed.
_MAX_AGE_MILLIS: Final = 2_000_000_000
_RANK: Final = Schema.from_checks('rank', capacity=is_finite, tie=is_whole)
_PEER: Final = Schema.from_checks(
    'peer',
    host=is_text,
    zone=is_text,
    incarnation=is_whole,
    rank=_RANK.accepts,
)
_POLL: Final = Schema.from_checks(
    'poll',
    sender=_PEER.accepts,
    is_leading=is_flag,
    is_following=is_flag,
    wants_reader=is_flag,
    lost_leader=make_optional(is_text),
)
_RUNNING_ATTEMPT: Final = Schema.from_checks(
    'running attempt',
    number=is_whole,
    service=is_text,
    target_id=is_text,
    running=is_finite,
    left=is_finite,
)


def _is_listed_attempt(found: Any) -> bool:
    return is_whole(found) or _RUNNING_ATTEMPT.accepts(found)


_POLL_DATAGRAM: Final = Schema.from_checks(
    'poll datagram',
    nonce=is_whole,
    poll=_POLL.accepts,
    listed_attempts=make_list(_is_listed_attempt),
)
_REPLY: Final = Schema.from_checks(
    'poll reply',
    sender=_PEER.accepts,
    is_leading=is_flag,
    is_leaving=is_flag,
    leader=make_optional(is_text),
    successors=make_list(is_text),
    other_hosts=make_list(is_text),
    fleet_size=is_count,
    state_version=is_whole,
    state_age=is_finite,
)
_REPLY_DATAGRAM: Final = Schema.from_checks(
    'poll reply datagram', nonce=is_whole, reply=_REPLY.accepts
)
_REDIRECT: Final = Schema.from_checks('redirect', host=make_optional(is_text))
_TAKE_OVER: Final = Schema.from_checks('take-over')


@frozen
class ReceivedPoll:
    """A poll, with what only the VM that received it can interpret.

    `listed_attempts` holds a number for each attempt that the sender is
    running, or, if the receiver may not know it, the attempt's fields with
    times in milliseconds.
    """

    nonce: int
    poll: Poll
    listed_attempts: list[Any]


@frozen
class ReceivedReply:
    """The reply to the poll with this nonce."""

    nonce: int
    reply: PollReply


def pack_peer(peer: Peer) -> list[Any]:
    """Returns a peer's fields."""
    return [peer.host, peer.zone, peer.incarnation, list(peer.rank)]


def _unpack_peer(fields: list[Any]) -> Peer:
    host, zone, incarnation, rank = fields
    return Peer(host, zone, incarnation, (rank[0], rank[1]))


def pack_poll(poll: Poll) -> list[Any]:
    """Returns a poll's fields."""
    return [
        pack_peer(poll.sender),
        poll.is_leading,
        poll.is_following,
        poll.wants_reader,
        poll.lost_leader,
    ]


def unpack_poll(_: str, fields: list[Any]) -> ReceivedPoll:
    """Returns the poll that a VM sent."""
    nonce, packed, listed_attempts = _POLL_DATAGRAM.check(fields)
    poll = Poll(_unpack_peer(packed[0]), *packed[1:])
    return ReceivedPoll(nonce, poll, listed_attempts)


def pack_poll_reply(reply: PollReply) -> list[Any]:
    """Returns a poll reply's fields.

    The size of a fleet that is not complete is negative, which a VM of the
    version before ignores.
    """
    age = min(reply.state_age * _MILLIS_PER_SECOND, _MAX_AGE_MILLIS)
    return [
        pack_peer(reply.sender),
        reply.is_leading,
        reply.is_leaving,
        reply.leader,
        list(reply.successors),
        list(reply.other_hosts),
        reply.fleet_size if reply.is_fleet_complete else -reply.fleet_size,
        reply.state_version,
        int(age) + 1,
    ]


def unpack_poll_reply(_: str, fields: list[Any]) -> ReceivedReply:
    """Returns the reply that a VM sent."""
    nonce, packed = _REPLY_DATAGRAM.check(fields)
    successors, other_hosts, fleet_size, version, age = packed[4:]
    reply = PollReply(
        _unpack_peer(packed[0]),
        packed[1],
        packed[2],
        packed[3],
        tuple(successors),
        tuple(other_hosts),
        abs(fleet_size),
        fleet_size >= 0,
        version,
        age / _MILLIS_PER_SECOND,
    )
    return ReceivedReply(nonce, reply)


def unpack_redirect(_: str, fields: list[Any]) -> str | None:
    """Returns the host to which a leaving VM refers, if it knows one."""
    host: str | None = _REDIRECT.check(fields)[0]
    return host


def unpack_take_over(host: str, fields: list[Any]) -> str:
    """Returns the host of the VM that asks this one to lead."""
    _TAKE_OVER.check(fields)
    return host
