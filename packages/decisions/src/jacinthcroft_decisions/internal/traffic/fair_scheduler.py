"""Fair scheduling between flows that share one queue.

A flow is whatever takes turns here: a team, or a request class of a team.
"""

from collections.abc import Iterable


class FairScheduler:
    """Gives each turn to the waiting flow that has had the fewest turns.

    A flow that returns after a pause starts level with the flows that are
    waiting: it neither accumulates turns while idle nor is held back for
    turns that it had earlier.
    """

    def __init__(self) -> None:
        """Starts with no turns given."""
        self._turns: dict[str, int] = {}
        self._last_served_turns = 0

    def choose_next(self, waiting: Iterable[str]) -> str | None:
        """Returns the flow whose turn it is; ties are decided by name."""
        return min(waiting, key=self._sort_key, default=None)

    def record_turn(self, flow: str) -> None:
        """Counts a turn of a flow."""
        self._last_served_turns = self._effective_turns(flow)
        self._turns[flow] = self._last_served_turns + 1

    def forget_idle(self, waiting: Iterable[str]) -> None:
        """Drops the turn counts of idle flows that would not affect the order.

        A flow is idle if it is not among `waiting`.
        """
        waiting_flows = set(waiting)
        for flow, turns in tuple(self._turns.items()):
            if flow not in waiting_flows and turns <= self._last_served_turns:
                self._turns.pop(flow)

    def _sort_key(self, flow: str) -> tuple[int, str]:
        return self._effective_turns(flow), flow

    def _effective_turns(self, flow: str) -> int:
        """Returns the turns of a flow, raised to those of the last served flow.

        The turns of the last served flow are those before that turn.
        """
        return max(self._turns.get(flow, 0), self._last_served_turns)
