"""Reads and starts pipelined requests while an earlier one is in progress.

A caller may send requests before it has the response to the one before. Those
that may run early start at once, and their responses are written in order. All
others wait for their turn, so that nothing behind a response that closes the
connection has been passed on unless it may be sent again.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final

import h11
from attrs import define, field, frozen

from jacinthcroft_http.internal.event_reader import Event
from jacinthcroft_http.internal.messages import Response
from jacinthcroft_http.internal.outcomes import BadRequest
from jacinthcroft_http.internal.request_head import RequestHead, find_fault
from jacinthcroft_http.internal.server_connection import ServerConnection

# Requests of one connection that run early, beside the one in progress.
MAX_EARLY_REQUESTS: Final = 8

ResponseTask = asyncio.Task[Response | BadRequest]


@frozen(eq=False)
class EarlyRequest:
    """A request that runs early, and the parser that encodes its response."""

    parser: h11.Connection
    head: RequestHead
    task: ResponseTask


@define(eq=False)
class ReadAhead:
    """The requests of one connection that were read before their turn.

    `_start_early` returns the task that handles a request, or None if it must
    wait for its turn. `_next_event` is what was read of such a request, or the
    error of an unreadable one; `_next_parser` has read it, or a part of it.
    """

    _connection: ServerConnection
    _max_head_bytes: int
    _start_early: Callable[[RequestHead], ResponseTask | None]
    _early: deque[EarlyRequest] = field(factory=deque)
    _next_parser: h11.Connection | None = None
    _next_event: Event | h11.RemoteProtocolError | None = None

    @property
    def has_early_requests(self) -> bool:
        """Whether requests run that were read before their turn."""
        return bool(self._early)

    def receive(self) -> None:
        """Reads the requests that have arrived and starts those that may."""
        while (
            len(self._early) < MAX_EARLY_REQUESTS
            and self._next_event is None
            and self._read_next()
        ):
            self._start_next()

    def advance(self) -> EarlyRequest | None:
        """Turns to the next request, once the response before it is written.

        Returns:
            The request if it runs already; otherwise its head is to be read.
        """
        connection = self._connection
        if self._early:
            early = self._early.popleft()
            connection.parser = early.parser
            self.receive()
            return early
        if self._next_parser is None:
            connection.parser.start_next_cycle()
        else:
            connection.parser = self._next_parser
            self._next_parser = None
        return None

    def pop_event(self) -> Event | None:
        """Returns the event that was read of the request in turn, if any.

        Raises:
            h11.RemoteProtocolError: If the request is unreadable.
        """
        event = self._next_event
        self._next_event = None
        if isinstance(event, h11.RemoteProtocolError):
            raise event
        return event

    def cancel(self) -> None:
        """Cancels the requests that run early."""
        for early in self._early:
            early.task.cancel()
        self._early.clear()

    def _read_next(self) -> bool:
        """Reads the next event; returns whether there is one."""
        reader = self._connection.reader
        if self._next_parser is None:
            last = self._early[-1].parser if self._early else None
            last = last or self._connection.parser
            if last.their_state is not h11.DONE or not reader.has_unread_bytes:
                return False
            self._next_parser = self._connection.make_parser()
            reader.replace_parser(self._next_parser, last.trailing_data[0])
        try:
            event = reader.receive_now()
        except h11.RemoteProtocolError as error:
            self._next_event = error
            return True
        if event is h11.NEED_DATA:
            return False
        self._next_event = event
        return True

    def _start_next(self) -> None:
        event = self._next_event
        if not isinstance(event, h11.Request) or self._next_parser is None:
            return
        head = RequestHead.from_event(event)
        if not head.has_no_body or find_fault(head, self._max_head_bytes):
            return
        task = self._start_early(head)
        if task is None:
            return
        # The end of the empty body must be read for the next request.
        self._connection.reader.receive_now()
        self._early.append(EarlyRequest(self._next_parser, head, task))
        self._next_parser = None
        self._next_event = None
