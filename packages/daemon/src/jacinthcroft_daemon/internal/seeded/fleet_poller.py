"""Polls other VMs, answers their polls, and keeps this VM's copy new."""

import asyncio
from typing import Any, Final

from attrs import define, field
from jacinthcroft_decisions.membership import (
    Changes,
    Leadership,
    PollReply,
    Role,
)
from jacinthcroft_decisions.membership import Poll as PollMessage
from jacinthcroft_http import (
    BodyCut,
    ConnectionPool,
    Interrupted,
    NothingSent,
    OutgoingRequest,
    SendOutcome,
    now,
)

from jacinthcroft_daemon.internal.seeded.datagrams import Datagrams
from jacinthcroft_daemon.internal.seeded.decision_server import DecisionServer
from jacinthcroft_daemon.internal.seeded.documents_copy import (
    DocumentsCopy,
    import_changes,
)
from jacinthcroft_daemon.internal.seeded.poll_wire import (
    pack_poll,
    pack_reply,
    unpack_poll,
    unpack_reply,
)
from jacinthcroft_daemon.internal.seeded.reader import PlatformReader
from jacinthcroft_daemon.internal.seeded.wire import (
    Kind,
    pack,
)
from jacinthcroft_daemon.internal.telemetry.events import log_event

# Seconds between turns: a deciding VM has waiting requests to look after.
LEADING_TICK_SECONDS: Final = 0.03
TICK_SECONDS: Final = 0.06
# Polls whose reply is still awaited; older ones are lost.
MAX_POLLS_AWAITED: Final = 64
# A copy that is fetched from another VM, in bytes at most.
MAX_COPY_BYTES: Final = 16_000_000
# How long a fetch may take, in seconds, before it is tried on another
# connection: a kept one may have gone silent, and a configuration has to be in
# force within two seconds. Doubled after each failure, for small links.
COPY_SECONDS: Final = 0.35
MAX_COPY_SECONDS: Final = 2.8
# How old the copy gets before other VMs are asked to read, in seconds: one
# call that was not answered.
READERS_WANTED_SECONDS: Final = 1.2
# How many are asked at a time, and for how long before others are, seconds.
HELPERS: Final = 2
HELPER_TURN_SECONDS: Final = 0.8
COPY_PATH: Final = '/copy'
_MILLIS: Final = 1000


@define(eq=False)
class FleetPoller:
    """This VM's part in the fleet."""

    _leadership: Leadership
    _datagrams: Datagrams
    _copy: DocumentsCopy
    _pool: ConnectionPool
    decision_server: DecisionServer
    reader: PlatformReader
    _polled_at: dict[int, float] = field(factory=dict)
    _nonce: int = 0
    _copy_seconds: float = COPY_SECONDS
    _fetching: asyncio.Task[None] | None = None
    _logged_role: tuple[Role, str | None] = (Role.SEEKING, None)
    _introduced_to: str | None = None
    _helpers: tuple[str, ...] = ()
    _helpers_since: float = 0
    _helper_turn: int = 0
    _helper_poll_at: float = 0

    def register(self) -> None:
        """Registers the handlers of all datagrams."""
        handlers = {
            Kind.POLL: self._on_poll,
            Kind.POLL_REPLY: self._on_reply,
            Kind.REDIRECT: self._on_redirect,
            Kind.TAKE_OVER: self._on_take_over,
        }
        for kind, handler in handlers.items():
            self._datagrams.on(kind, handler)

    async def run(self) -> None:
        """Takes turns until cancelled."""
        while True:
            self._turn()
            pause = TICK_SECONDS
            if self._leadership.followers.count:
                pause = LEADING_TICK_SECONDS
            await asyncio.sleep(pause)

    def resign(self) -> None:
        """Hands over to another VM before this one leaves."""
        successor = self._leadership.resign()
        if successor is None:
            return
        log_event('info', 'leadership-handed-over', to=successor)
        self._datagrams.send(successor, pack(Kind.TAKE_OVER))
        self._note_role()

    def _turn(self) -> None:
        at = now()
        leadership = self._leadership
        for host in leadership.tick(at):
            self._poll(host, wants_reader=False)
        self._note_role()
        if self._copy.tick():
            self.decision_server.adopt()
        self.decision_server.tick()
        if leadership.is_leading:
            self._seek_readers(at)

    def _note_role(self) -> None:
        leadership = self._leadership
        role = (leadership.role, leadership.leader)
        if role == self._logged_role:
            return
        self._logged_role = role
        log_event(
            'info',
            'role',
            role=leadership.role.value,
            leader=leadership.leader or 'none',
            followers=leadership.followers.count,
        )
        self.reader.wake()
        if leadership.leader is not None:
            self.decision_server.client.ask_again()

    def _seek_readers(self, at: float) -> None:
        """Has other VMs read while the platform does not answer this one."""
        if self._copy.state.age(at) < READERS_WANTED_SECONDS:
            return
        hosts = self._leadership.followers.hosts()
        if not hosts or at < self._helper_poll_at:
            return
        self._helper_poll_at = at + HELPER_TURN_SECONDS / 4
        if at > self._helpers_since + HELPER_TURN_SECONDS:
            self._helpers_since = at
            self._helper_turn += HELPERS
            start = self._helper_turn % len(hosts)
            self._helpers = (hosts + hosts)[start : start + HELPERS]
            log_event(
                'info',
                'readers-asked',
                hosts=','.join(self._helpers),
                age=round(self._copy.state.age(at), 3),
            )
        for host in self._helpers:
            self._poll(host, wants_reader=True)

    def _poll(self, host: str, *, wants_reader: bool) -> None:
        self._nonce += 1
        self._polled_at[self._nonce] = now()
        while len(self._polled_at) > MAX_POLLS_AWAITED:
            self._polled_at.pop(next(iter(self._polled_at)))
        leadership = self._leadership
        is_following = host == leadership.leader
        poll = PollMessage(
            leadership.local_peer,
            leadership.is_leading,
            is_following,
            wants_reader,
            leadership.lost_leader,
        )
        running: list[Any] = []
        if is_following:
            running = self._list_sendings(host)
        self._datagrams.send(
            host,
            pack(Kind.POLL, self._nonce, pack_poll(poll), running),
        )

    def _list_sendings(self, host: str) -> list[Any]:
        """Lists what is under way, in full for a new deciding VM."""
        sendings = self.decision_server.client.sendings
        if self._introduced_to == host:
            return list(sendings)
        at = now()
        return [
            [
                number,
                sending.ask.service,
                sending.target_id,
                int((at - sending.since) * _MILLIS),
                int((sending.expires - at) * _MILLIS),
            ]
            for number, sending in sendings.items()
        ]

    def _on_poll(self, host: str, fields: list[Any]) -> None:
        nonce, packed, running = fields
        poll = unpack_poll(packed)
        at = now()
        self._leadership.handle_poll(poll, at)
        if poll.wants_reader:
            self.reader.read_on_behalf()
        if poll.is_following:
            self.decision_server.take_running(host, running, at)
        self._datagrams.send(
            host,
            pack(
                Kind.POLL_REPLY, nonce, pack_reply(self._make_reply(host, at))
            ),
        )

    def _make_reply(self, host: str, at: float) -> PollReply:
        leadership = self._leadership
        followers = leadership.followers
        return PollReply(
            leadership.local_peer,
            leadership.is_leading,
            leadership.is_leaving,
            leadership.leader,
            leadership.successors,
            followers.next_hosts_for(host),
            followers.estimate_fleet_size(at),
            self._copy.state.version,
            self._copy.state.age(at),
        )

    def _on_reply(self, host: str, fields: list[Any]) -> None:
        nonce, packed = fields
        reply = unpack_reply(packed)
        polled_at = self._polled_at.pop(nonce, None)
        if polled_at is None:
            return
        at = now()
        self._leadership.handle_reply(reply, at)
        if host == self._leadership.leader:
            self._introduced_to = host
        self._compare_copies(reply, polled_at)

    def _compare_copies(self, reply: PollReply, polled_at: float) -> None:
        state = self._copy.state
        if reply.state_version > state.version:
            self._fetch(reply.sender.host)
        elif reply.state_version == state.version and state.version:
            # Counted from before the question, so that a reply that was
            # under way for long makes the copy no fresher than it is.
            self._copy.confirm(polled_at - reply.state_age)

    def _fetch(self, host: str) -> None:
        if self._fetching is None or self._fetching.done():
            loop = asyncio.get_running_loop()
            self._fetching = loop.create_task(self._fetch_copy(host))

    async def _fetch_copy(self, host: str) -> None:
        version = self._copy.state.version
        outcome = await self._pool.send(
            OutgoingRequest(
                host,
                self._datagrams.port,
                'GET',
                f'{COPY_PATH}?after={version}',
            ),
            self._copy_seconds,
        )
        changes = await _read_changes(outcome)
        if isinstance(changes, str):
            longer = self._copy_seconds * 2
            self._copy_seconds = min(MAX_COPY_SECONDS, longer)
            log_event('info', 'copy-failed', of=host, detail=changes)
            self._poll(host, wants_reader=False)
            return
        self._copy_seconds = COPY_SECONDS
        if self._copy.absorb(changes):
            self.decision_server.adopt()
        # The next reply confirms it; until then the age is unchanged.
        if self._leadership.leader == host:
            self._poll(host, wants_reader=False)

    def _on_redirect(self, _: str, fields: list[Any]) -> None:
        if fields[0] is not None:
            self._leadership.follow_redirect(str(fields[0]), now())
            self._note_role()

    def _on_take_over(self, host: str, _: list[Any]) -> None:
        log_event('info', 'leadership-taken-over', of=host)
        self._leadership.take_over(now())
        self._note_role()


async def _read_changes(outcome: SendOutcome) -> Changes | str:
    """Returns the changes in an answer, or why there are none."""
    if isinstance(outcome, (NothingSent, Interrupted)):
        return f'{outcome.reason}: {outcome.detail}'
    try:
        exported = await outcome.read(MAX_COPY_BYTES)
        if isinstance(exported, bytes):
            return import_changes(exported)
    except (ValueError, BodyCut) as error:
        return str(error)
    return f'not whole: {exported}'
