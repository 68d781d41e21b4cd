"""A connection to another process, in use or idle."""

from collections.abc import Callable
from typing import Final

import h11

from jacinthcroft_http.internal.clock import now
from jacinthcroft_http.internal.waiting import Timeout
from jacinthcroft_http.internal.wire import Wire

MAX_ANSWER_HEAD_BYTES: Final = 65536
# A request has to arrive before the other side closes an idle connection:
# time for its way, for a busy process and for clocks that differ, in seconds.
KEEP_ALIVE_MARGIN_SECONDS: Final = 1.0

PoolKey = tuple[str, int]


class ClientConnection(Wire):
    """A connection that carries one exchange at a time.

    Only a connection whose answer was read to its end, with nothing after
    it, is released for another exchange. Every other end closes it, so that
    a late answer is lost with its connection and never meets another
    request.
    """

    def __init__(
        self,
        key: PoolKey,
        on_released: 'Callable[[ClientConnection], None]',
        on_closed: 'Callable[[ClientConnection], None]',
    ) -> None:
        """Tells the pool when the connection is free or closed."""
        super().__init__(h11.CLIENT, MAX_ANSWER_HEAD_BYTES)
        self.key = key
        self.idle_since: float | None = None
        self.idle_seconds: float | None = None
        # For how long the other side says it keeps the connection, seconds.
        self.kept_seconds: float | None = None
        self._on_released = on_released
        self._on_closed = on_closed
        self._timeout = Timeout()
        self._on_finished: Callable[[], None] | None = None
        self._is_given_up = False

    def data_received(self, data: bytes) -> None:
        """Keeps an answer's bytes; closes when none was asked for."""
        if self._is_given_up:
            return
        if self.idle_since is None:
            self.reader.put(data)
        else:
            self.close()

    def eof_received(self) -> bool:
        """Makes an idle connection unusable at once."""
        super().eof_received()
        if self.idle_since is not None:
            self.close()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the pool."""
        super().connection_lost(exc)
        self._timeout.stop()
        self._on_closed(self)
        self._end_exchange()

    def is_usable(self, idle_timeout: float) -> bool:
        """Whether a request may go out on this idle connection.

        What the other side says of the time it keeps the connection goes
        before `idle_timeout`. Unasked bytes or the other side's close, even
        if still in the kernel, make it unusable.
        """
        if self.idle_since is None or not self.is_open:
            return False
        if self.kept_seconds is not None:
            idle_timeout = self.kept_seconds - KEEP_ALIVE_MARGIN_SECONDS
        return now() < self.idle_since + idle_timeout and self.is_quiet

    def has_rested(self, seconds: float | None) -> bool:
        """Whether it has been idle for longer than so many seconds."""
        if seconds is None or self.idle_since is None:
            return False
        return now() > self.idle_since + seconds

    def begin(
        self,
        seconds: float,
        on_finished: Callable[[], None] | None = None,
    ) -> None:
        """Begins an exchange that must end within some seconds."""
        if self.idle_since is not None:
            self.idle_seconds = now() - self.idle_since
        self.idle_since = None
        self._on_finished = on_finished
        self._timeout.start(seconds, self._expire)

    def withhold(self) -> None:
        """Closes before the first byte: there was no exchange to be over."""
        self._on_finished = None
        self.close()

    def give_up(self) -> None:
        """Tells the other side that its answer is not wanted any more.

        Where somebody waits for the exchange's end, only this side's half is
        closed. A reset would leave no trace of whether it arrived; so the
        other side's own close shows that it knows, and the exchange's
        timeout bounds the wait.
        """
        if self._on_finished is None or not self.is_open:
            self.close()
            return
        self._is_given_up = True
        self.fail(ConnectionResetError('closed by this side'))
        self.reader.clear()
        self.transport.write_eof()

    def close(self) -> None:
        """Closes at once; unsent and unread bytes are dropped."""
        self._timeout.stop()
        self.fail(ConnectionResetError('closed by this side'))
        self.abort()

    def release(self) -> None:
        """Ends an exchange whose answer has come to its end."""
        self._timeout.stop()
        self._end_exchange()
        if self._is_reusable():
            self.parser.start_next_cycle()
            self.idle_since = now()
            self._on_released(self)
        else:
            self.close()

    def _is_reusable(self) -> bool:
        return (
            self.parser.our_state is h11.DONE
            and self.parser.their_state is h11.DONE
            and self.is_open
            and not self.reader.has_unread_bytes
        )

    def _end_exchange(self) -> None:
        on_finished = self._on_finished
        self._on_finished = None
        if on_finished is not None:
            on_finished()

    def _expire(self) -> None:
        self.fail(TimeoutError('no whole answer in time'))
        self.close()
