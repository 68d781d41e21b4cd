"""A client connection to another process, in use or idle."""

from collections.abc import Callable
from typing import Final

import h11

from jacinthcroft_http.internal.base_connection import BaseConnection
from jacinthcroft_http.internal.clock import now
from jacinthcroft_http.internal.waiting import Timeout

MAX_RESPONSE_HEAD_BYTES: Final = 65536
# A request must arrive before the other side closes the idle connection. The
# margin covers network latency, a busy process and clock differences.
KEEP_ALIVE_MARGIN_SECONDS: Final = 1.0

Address = tuple[str, int]


class ClientConnection(BaseConnection):
    """A connection that carries one exchange at a time.

    It is reused only if the response was read to its end and was neither
    followed by bytes nor preceded by another request's response. In all other
    cases it is closed, so that a late response cannot be taken for the
    response to another request.
    """

    def __init__(
        self,
        address: Address,
        on_released: 'Callable[[ClientConnection], None]',
        on_closed: 'Callable[[ClientConnection], None]',
    ) -> None:
        """Creates a connection; the callbacks report it idle or closed."""
        super().__init__(h11.CLIENT, MAX_RESPONSE_HEAD_BYTES)
        self.address = address
        self.idle_since: float | None = None
        self.idle_seconds: float | None = None
        # The idle timeout from the other side's `Keep-Alive` header, seconds.
        self.peer_idle_timeout: float | None = None
        self._on_released = on_released
        self._on_closed = on_closed
        self._timeout = Timeout()
        self._on_finished: Callable[[], None] | None = None
        self._is_abandoned = False
        self._has_foreign_responses = False

    def data_received(self, data: bytes) -> None:
        """Buffers response bytes; closes if no request is outstanding."""
        if self._is_abandoned:
            return
        if self.idle_since is None:
            self.reader.add_received(data)
        else:
            self.close()

    def eof_received(self) -> bool:
        """Closes an idle connection at once."""
        super().eof_received()
        if self.idle_since is not None:
            self.close()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the close to the pool and ends the exchange."""
        super().connection_lost(exc)
        self._timeout.stop()
        self._on_closed(self)
        self._notify_finished()

    def is_usable(self, idle_timeout: float) -> bool:
        """Whether a request may be sent on this idle connection.

        The idle timeout that the other side has announced overrides
        `idle_timeout`. Unsolicited bytes or a close by the other side make
        the connection unusable, even if only the kernel has them yet.
        """
        if self.idle_since is None or not self.is_open:
            return False
        if self.peer_idle_timeout is not None:
            idle_timeout = self.peer_idle_timeout - KEEP_ALIVE_MARGIN_SECONDS
        return (
            now() < self.idle_since + idle_timeout and self.has_no_pending_input
        )

    def is_idle_longer_than(self, seconds: float | None) -> bool:
        """Whether it has been idle for longer; False if `seconds` is None."""
        if seconds is None or self.idle_since is None:
            return False
        return now() > self.idle_since + seconds

    def begin_exchange(
        self,
        seconds: float,
        on_finished: Callable[[], None] | None = None,
    ) -> None:
        """Begins an exchange that fails with a timeout after `seconds`."""
        if self.idle_since is not None:
            self.idle_seconds = now() - self.idle_since
        self.idle_since = None
        self._on_finished = on_finished
        self._timeout.start(seconds, self._expire)

    def expect_another_response(self, request: h11.Request) -> None:
        """Expects a further response after one to another request.

        The other side has written a response to an earlier request once more,
        so the connection is not reused after this exchange.
        """
        self._has_foreign_responses = True
        received, _ = self.parser.trailing_data
        self.parser = self.make_parser()
        self.parser.send(request)
        self.parser.send(h11.EndOfMessage())
        self.reader.replace_parser(self.parser, received)

    def close_unsent(self) -> None:
        """Closes without calling `on_finished`, because nothing was sent."""
        self._on_finished = None
        self.close()

    def abandon(self) -> None:
        """Tells the other side that its response is no longer needed.

        If `on_finished` is set, only the sending direction is closed: the
        other side's close then confirms that it has noticed, which a reset
        would not. The timeout of the exchange bounds the wait.
        """
        if self._on_finished is None or not self.is_open:
            self.close()
            return
        self._is_abandoned = True
        self.fail(ConnectionResetError('closed by this side'))
        self.reader.discard_received()
        self.transport.write_eof()

    def close(self) -> None:
        """Closes at once; unsent and unread bytes are dropped."""
        self._timeout.stop()
        self.fail(ConnectionResetError('closed by this side'))
        self.abort()

    def finish_exchange(self) -> None:
        """Ends an exchange whose response is complete."""
        self._timeout.stop()
        self._notify_finished()
        if self._is_reusable():
            self.parser.start_next_cycle()
            self.idle_since = now()
            self._on_released(self)
        else:
            self.close()

    def _is_reusable(self) -> bool:
        if self._has_foreign_responses or self.reader.has_unread_bytes:
            return False
        return (
            self.parser.our_state is h11.DONE
            and self.parser.their_state is h11.DONE
            and self.is_open
        )

    def _notify_finished(self) -> None:
        on_finished = self._on_finished
        self._on_finished = None
        if on_finished is not None:
            on_finished()

    def _expire(self) -> None:
        self.fail(TimeoutError('response incomplete at the timeout'))
        self.close()
