"""Polls other VMs, replies to their polls, and updates this VM's copy."""

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
    ReceivedPoll,
    ReceivedReply,
    pack_poll,
    pack_poll_reply,
    unpack_poll,
    unpack_poll_reply,
    unpack_redirect,
    unpack_take_over,
)
from jacinthcroft_daemon.internal.seeded.reader import PlatformReader
from jacinthcroft_daemon.internal.seeded.schemas import parse_whole_number
from jacinthcroft_daemon.internal.seeded.wire import (
    DatagramKind,
    pack_datagram,
)
from jacinthcroft_daemon.internal.telemetry.events import log_event

# A VM that decides for others runs more often, since asks are queued at it.
LEADING_TICK_INTERVAL_SECONDS: Final = 0.03
TICK_INTERVAL_SECONDS: Final = 0.06
# Polls without a reply that are remembered; older ones count as lost.
MAX_PENDING_POLLS: Final = 64
# The largest copy that is fetched from another VM.
MAX_COPY_BYTES: Final = 16_000_000
# A fetch is retried on another connection after this time, since an idle
# connection may have gone silent and a configuration has to be in force within
# two seconds. The timeout is doubled after each failure, for slow links.
COPY_TIMEOUT_SECONDS: Final = 0.35
MAX_COPY_TIMEOUT_SECONDS: Final = 2.8
# Other VMs are asked to read the platform once the copy is older than this:
# the time of one call without a response.
MAX_COPY_AGE_SECONDS: Final = 1.2
# How many VMs are asked at a time, and how long before others are asked.
HELPER_COUNT: Final = 2
HELPER_INTERVAL_SECONDS: Final = 0.8
COPY_PATH: Final = '/copy'
# How old the sent copy is, in milliseconds.
COPY_AGE_HEADER: Final = 'x-copy-age-ms'
# Logged in place of the infinite age of a copy that was never confirmed.
MAX_LOGGED_AGE: Final = 1e6
_MILLIS: Final = 1000


@define(eq=False)
class FleetPoller:
    """Runs the polls that keep the role and the copy of this VM current."""

    _leadership: Leadership
    _datagrams: Datagrams
    _copy: DocumentsCopy
    _pool: ConnectionPool
    decision_server: DecisionServer
    reader: PlatformReader
    _poll_times: dict[int, float] = field(factory=dict)
    _nonce: int = 0
    _copy_timeout: float = COPY_TIMEOUT_SECONDS
    _fetch_tasks: dict[str, asyncio.Task[None]] = field(factory=dict)
    _was_reading: bool = False
    _logged_role: tuple[Role, str | None] = (Role.SEEKING, None)
    _acknowledged_by: str | None = None
    _helpers: tuple[str, ...] = ()
    _helpers_chosen_at: float = 0
    _helper_offset: int = 0
    _next_helper_poll_at: float = 0

    def register_handlers(self) -> None:
        """Registers handlers for polls, replies, redirects and take-overs."""
        set_handler = self._datagrams.set_handler
        set_handler(DatagramKind.POLL, unpack_poll, self._on_poll)
        set_handler(
            DatagramKind.POLL_REPLY, unpack_poll_reply, self._on_poll_reply
        )
        set_handler(DatagramKind.REDIRECT, unpack_redirect, self._on_redirect)
        set_handler(
            DatagramKind.TAKE_OVER, unpack_take_over, self._on_take_over
        )

    async def run(self) -> None:
        """Runs at regular intervals until cancelled."""
        while True:
            self._tick()
            pause = TICK_INTERVAL_SECONDS
            if self._leadership.followers.count:
                pause = LEADING_TICK_INTERVAL_SECONDS
            await asyncio.sleep(pause)

    def hand_over(self) -> None:
        """Hands leadership over to another VM before this one stops."""
        if self._leadership.is_leading:
            self.decision_server.held_targets.share_leaving()
        successor = self._leadership.resign()
        if successor is None:
            return
        log_event('info', 'leadership-handed-over', to=successor)
        self._datagrams.send(successor, pack_datagram(DatagramKind.TAKE_OVER))
        self._handle_role_change()

    def _tick(self) -> None:
        at = now()
        leadership = self._leadership
        for host in leadership.tick(at):
            self._poll(host, wants_reader=False)
        self._handle_role_change()
        self._wake_reader()
        if self._copy.tick():
            self.decision_server.apply_documents()
        self.decision_server.tick()
        if leadership.is_leading:
            self._poll_helpers(at)

    def _wake_reader(self) -> None:
        is_reading = self.reader.is_reading
        if is_reading == self._was_reading:
            return
        self._was_reading = is_reading
        log_event(
            'info',
            'reader',
            is_reading=is_reading,
            is_appointed=self._leadership.sources.is_appointed,
            age=round(min(self._copy.state.age(now()), MAX_LOGGED_AGE), 3),
        )
        self.reader.wake()

    def _handle_role_change(self) -> None:
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
        if leadership.leader is not None:
            # First, so that no ask is granted a target that wants none.
            self.decision_server.held_targets.tick()
            self.decision_server.client.resend_pending()

    def _poll_helpers(self, at: float) -> None:
        """Asks other VMs to read while this one gets no response."""
        if self._copy.state.age(at) < MAX_COPY_AGE_SECONDS:
            return
        hosts = self._leadership.followers.hosts()
        if not hosts or at < self._next_helper_poll_at:
            return
        self._next_helper_poll_at = at + HELPER_INTERVAL_SECONDS / 4
        if at > self._helpers_chosen_at + HELPER_INTERVAL_SECONDS:
            self._helpers_chosen_at = at
            self._helper_offset += HELPER_COUNT
            start = self._helper_offset % len(hosts)
            self._helpers = (hosts + hosts)[start : start + HELPER_COUNT]
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
        self._poll_times[self._nonce] = now()
        while len(self._poll_times) > MAX_PENDING_POLLS:
            self._poll_times.pop(next(iter(self._poll_times)))
        leadership = self._leadership
        is_following = host == leadership.leader
        poll = PollMessage(
            leadership.local_peer,
            leadership.is_leading,
            is_following,
            wants_reader,
            leadership.lost_leader,
        )
        listed_attempts: list[Any] = []
        if is_following:
            listed_attempts = self._list_running_attempts(host)
        self._datagrams.send(
            host,
            pack_datagram(
                DatagramKind.POLL, self._nonce, pack_poll(poll), listed_attempts
            ),
        )

    def _list_running_attempts(self, host: str) -> list[Any]:
        """Lists the running attempts for the deciding VM.

        A deciding VM that has not replied yet gets all fields of an attempt,
        afterwards only its number.
        """
        running_attempts = self.decision_server.client.running_attempts
        if self._acknowledged_by == host:
            return list(running_attempts)
        at = now()
        return [
            [
                number,
                attempt.ask.service,
                attempt.target_id,
                int((at - attempt.since) * _MILLIS),
                int((attempt.expires - at) * _MILLIS),
            ]
            for number, attempt in running_attempts.items()
        ]

    def _on_poll(self, host: str, received: ReceivedPoll) -> None:
        poll = received.poll
        at = now()
        self._leadership.handle_poll(poll, at)
        if poll.wants_reader:
            self.reader.read_on_behalf()
        if poll.is_following:
            self.decision_server.record_running_attempts(
                host, received.listed_attempts, at
            )
        self._datagrams.send(
            host,
            pack_datagram(
                DatagramKind.POLL_REPLY,
                received.nonce,
                pack_poll_reply(self._make_reply(host, at)),
            ),
        )

    def _make_reply(self, host: str, at: float) -> PollReply:
        leadership = self._leadership
        return PollReply(
            leadership.local_peer,
            leadership.is_leading,
            leadership.is_leaving,
            leadership.leader,
            leadership.successors,
            leadership.followers.next_hosts_for(host),
            leadership.fleet_size.count_known(at),
            leadership.fleet_size.is_complete(at),
            self._copy.state.version,
            self._copy.state.age(at),
        )

    def _on_poll_reply(self, host: str, received: ReceivedReply) -> None:
        reply = received.reply
        polled_at = self._poll_times.pop(received.nonce, None)
        if polled_at is None:
            return
        at = now()
        self._leadership.handle_reply(reply, at)
        if host == self._leadership.leader:
            self._acknowledged_by = host
        self._compare_copies(reply, polled_at)

    def _compare_copies(self, reply: PollReply, polled_at: float) -> None:
        state = self._copy.state
        if reply.state_version > state.version:
            self._start_fetch(reply.sender.host)
        elif reply.state_version == state.version and state.version:
            # Counted from when the poll was sent, so that a delayed reply does
            # not make the copy count as fresher than it is.
            self._copy.mark_confirmed(polled_at - reply.state_age)

    def _start_fetch(self, host: str) -> None:
        # One fetch a host: a fetch of a VM that has gone silent must not delay
        # that of another VM.
        if host in self._fetch_tasks:
            return
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._fetch_copy(host))
        self._fetch_tasks[host] = task
        task.add_done_callback(lambda _: self._fetch_tasks.pop(host, None))

    async def _fetch_copy(self, host: str) -> None:
        version = self._copy.state.version
        fetched_at = now()
        outcome = await self._pool.send(
            OutgoingRequest(
                host,
                self._datagrams.port,
                'GET',
                f'{COPY_PATH}?after={version}',
            ),
            self._copy_timeout,
        )
        changes = await _decode_changes(outcome)
        if isinstance(changes, str):
            doubled = self._copy_timeout * 2
            self._copy_timeout = min(MAX_COPY_TIMEOUT_SECONDS, doubled)
            log_event('info', 'copy-failed', of=host, detail=changes)
            self._poll(host, wants_reader=False)
            return
        self._copy_timeout = COPY_TIMEOUT_SECONDS
        if self._copy.merge_changes(changes):
            self.decision_server.apply_documents()
        age = _read_age(outcome)
        if age is not None:
            # While changes follow each other, the version of a reply is always
            # newer than the copy, so that no reply confirms it.
            self._copy.mark_confirmed(fetched_at - age)

    def _on_redirect(self, _: str, host: str | None) -> None:
        if host is not None:
            self._leadership.follow_redirect(host, now())
            self._handle_role_change()

    def _on_take_over(self, _: str, host: str) -> None:
        log_event('info', 'leadership-taken-over', of=host)
        self._leadership.take_over(now())
        self._handle_role_change()


async def _decode_changes(outcome: SendOutcome) -> Changes | str:
    """Returns the changes in a response, or why there are none."""
    if isinstance(outcome, (NothingSent, Interrupted)):
        return f'{outcome.reason}: {outcome.detail}'
    try:
        exported = await outcome.read(MAX_COPY_BYTES)
        if isinstance(exported, bytes):
            return import_changes(exported)
    except (ValueError, BodyCut) as error:
        return str(error)
    return f'response is incomplete or too large: {exported}'


def _read_age(outcome: SendOutcome) -> float | None:
    """Returns the age of a fetched copy in seconds, None if not stated."""
    if isinstance(outcome, (NothingSent, Interrupted)):
        return None
    millis = parse_whole_number(outcome.headers.get(COPY_AGE_HEADER) or '')
    return None if millis is None else millis / _MILLIS
