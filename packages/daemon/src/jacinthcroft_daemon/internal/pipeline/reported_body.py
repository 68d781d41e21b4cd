"""An answer's body that reports the outcome of its run exactly once.

It is not a generator: closing a generator that was never started skips its
`finally`, so the permit of a caller that disconnects early would stay in use.
"""

from collections.abc import AsyncIterator, Callable
from typing import Final

from jacinthcroft_decisions.traffic import RunOutcome
from jacinthcroft_http import Answer, BodyCut

_SERVER_ERROR: Final = 500


class ReportedBody(AsyncIterator[bytes]):
    """Yields an answer's chunks and reports how the answer ended."""

    def __init__(
        self,
        answer: Answer,
        report: Callable[[RunOutcome], None],
    ) -> None:
        """Calls `report` once, however the body ends."""
        self._answer = answer
        self._report = report
        self._is_reported = False
        if answer.is_complete:
            self._report_once(self._complete_outcome)

    async def read_if_complete(self) -> 'bytes | ReportedBody':
        """Returns the body as bytes if all of it has arrived, else itself."""
        if not self._answer.is_complete:
            return self
        return b''.join([chunk async for chunk in self])

    async def __anext__(self) -> bytes:
        """Returns the next chunk.

        Raises:
            BodyCut: If the answer is cut off.
        """
        try:
            return await anext(self._answer)
        except StopAsyncIteration:
            self._report_once(self._complete_outcome)
            raise
        except BodyCut as cut:
            is_timeout = cut.cause.reason == 'timeout'
            self._report_once(
                RunOutcome.STALLED if is_timeout else RunOutcome.RESET
            )
            raise

    async def aclose(self) -> None:
        """Discards the rest of the answer."""
        self._answer.close()
        self._report_once(RunOutcome.CANCELLED)

    @property
    def _complete_outcome(self) -> RunOutcome:
        if self._answer.status >= _SERVER_ERROR:
            return RunOutcome.SERVER_ERROR
        return RunOutcome.ANSWERED

    def _report_once(self, outcome: RunOutcome) -> None:
        if not self._is_reported:
            self._is_reported = True
            self._report(outcome)
