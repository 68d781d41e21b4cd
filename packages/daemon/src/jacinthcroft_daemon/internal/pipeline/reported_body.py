"""An answer's body that tells, exactly once, how its run ended.

A plain generator would not do: closing one that was never started skips its
`finally`, and the permit of a caller that left early would stay taken.
"""

from collections.abc import AsyncIterator, Callable
from typing import Final

from jacinthcroft_decisions.traffic import RunOutcome
from jacinthcroft_http import Answer, BodyCut

_SERVER_ERROR: Final = 500


class ReportedBody(AsyncIterator[bytes]):
    """Passes an answer's chunks on and reports its end."""

    def __init__(
        self,
        answer: Answer,
        report: Callable[[RunOutcome], None],
    ) -> None:
        """Calls `report` once, whichever way the body ends."""
        self._answer = answer
        self._report = report
        self._is_reported = False
        if answer.is_complete:
            self._end(self._whole_outcome)

    async def at_once(self) -> 'bytes | ReportedBody':
        """Returns the whole body if it has come already, else itself."""
        if not self._answer.is_complete:
            return self
        return b''.join([chunk async for chunk in self])

    async def __anext__(self) -> bytes:
        """Returns the next chunk.

        Raises:
            BodyCut: If the answer breaks off.
        """
        try:
            return await anext(self._answer)
        except StopAsyncIteration:
            self._end(self._whole_outcome)
            raise
        except BodyCut as cut:
            is_timeout = cut.cause.reason == 'timeout'
            self._end(RunOutcome.STALLED if is_timeout else RunOutcome.RESET)
            raise

    async def aclose(self) -> None:
        """Gives the rest of the answer up."""
        self._answer.close()
        self._end(RunOutcome.CANCELLED)

    @property
    def _whole_outcome(self) -> RunOutcome:
        if self._answer.status >= _SERVER_ERROR:
            return RunOutcome.SERVER_ERROR
        return RunOutcome.ANSWERED

    def _end(self, outcome: RunOutcome) -> None:
        if not self._is_reported:
            self._is_reported = True
            self._report(outcome)
