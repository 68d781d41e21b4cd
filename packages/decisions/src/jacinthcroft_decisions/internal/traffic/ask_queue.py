"""The asks that wait at a cell: bounded, and fair between teams.

Teams take turns, so do the classes of a team, and within a class the
earliest deadline goes first. When the queue is full, a team that has fewer
asks waiting than the largest one takes the place of that team's latest ask.
"""

import bisect
from collections.abc import Iterator

from attrs import frozen

from jacinthcroft_decisions.internal.traffic.cell_results import QueueFull
from jacinthcroft_decisions.internal.traffic.fair_turns import FairTurns
from jacinthcroft_decisions.internal.traffic.permit_messages import PermitAsk

QUEUE_LIMIT_ASKS = 512
# So many asks of a class are tried: one VM's broken paths stop no other.
LOOKAHEAD_ASKS = 8


@frozen
class WaitingAsk:
    """An ask with its place in the queue; times are the holder's."""

    ticket: int
    ask: PermitAsk
    arrived_at: float
    deadline: float

    @property
    def turn_order(self) -> tuple[float, int]:
        """Earliest deadline first, then first come."""
        return self.deadline, self.ticket


class _TeamLine:
    """One team's asks, by class."""

    def __init__(self) -> None:
        self.waiting: dict[int, WaitingAsk] = {}
        self._by_class: dict[str, list[WaitingAsk]] = {}
        self._turns = FairTurns()

    def in_order(self) -> Iterator[WaitingAsk]:
        """Yields the asks in the order in which they should be tried."""
        classes = set(self._by_class)
        while classes:
            request_class = str(self._turns.next_of(classes))
            classes.remove(request_class)
            yield from self._by_class[request_class][:LOOKAHEAD_ASKS]

    def add(self, waiting: WaitingAsk) -> None:
        """Puts an ask in its place by deadline."""
        self.waiting[waiting.ticket] = waiting
        line = self._by_class.setdefault(waiting.ask.request_class, [])
        bisect.insort(line, waiting, key=_turn_order)

    def drop(self, ticket: int) -> None:
        """Takes an ask out."""
        waiting = self.waiting.pop(ticket)
        request_class = waiting.ask.request_class
        line = self._by_class[request_class]
        line.remove(waiting)
        if not line:
            self._by_class.pop(request_class)
            self._turns.forget_absent(self._by_class)

    def note_turn(self, request_class: str) -> None:
        """Counts a served ask of a class."""
        self._turns.give(request_class)


class AskQueue:
    """Waiting asks of one cell."""

    def __init__(self, limit: int = QUEUE_LIMIT_ASKS) -> None:
        """Starts empty, with room for `limit` asks."""
        self._limit = limit
        self._lines: dict[str, _TeamLine] = {}
        self._teams_by_ticket: dict[int, str] = {}
        self._turns = FairTurns()
        self._displaced: list[int] = []
        self._last_ticket = 0

    def __len__(self) -> int:
        """Returns how many asks wait."""
        return len(self._teams_by_ticket)

    def in_order(self) -> Iterator[WaitingAsk]:
        """Yields asks in the order in which they should be tried."""
        teams = [team for team, line in self._lines.items() if line.waiting]
        while teams:
            team = str(self._turns.next_of(teams))
            teams.remove(team)
            yield from self._lines[team].in_order()

    def add(self, ask: PermitAsk, now: float) -> int | QueueFull:
        """Queues an ask; returns its ticket."""
        if len(self) >= self._limit and not self._displace_for(ask.team):
            return QueueFull(waiting=len(self))
        self._last_ticket += 1
        ticket = self._last_ticket
        waiting = WaitingAsk(ticket, ask, now, now + ask.patience)
        line = self._lines.setdefault(ask.team, _TeamLine())
        line.add(waiting)
        self._teams_by_ticket[ticket] = ask.team
        return ticket

    def forget(self, ticket: int) -> None:
        """Drops an ask; an unknown ticket is fine."""
        team = self._teams_by_ticket.pop(ticket, None)
        if team is None:
            return
        line = self._lines[team]
        line.drop(ticket)
        if not line.waiting:
            self._lines.pop(team)
            self._turns.forget_absent(self._lines)

    def serve(self, waiting: WaitingAsk) -> None:
        """Counts the turn of an ask and drops it."""
        self._turns.give(waiting.ask.team)
        self._lines[waiting.ask.team].note_turn(waiting.ask.request_class)
        self.forget(waiting.ticket)

    def drop_expired(self, now: float) -> tuple[int, ...]:
        """Drops asks past their deadline; returns their tickets.

        Tickets that lost their place to another team's are among them.
        """
        expired = [
            waiting.ticket
            for line in self._lines.values()
            for waiting in line.waiting.values()
            if waiting.deadline <= now
        ]
        for ticket in expired:
            self.forget(ticket)
        displaced = tuple(self._displaced)
        self._displaced.clear()
        return (*displaced, *expired)

    def _displace_for(self, team: str) -> bool:
        own = self._lines.get(team)
        largest = max(self._lines.values(), key=_line_length)
        own_length = len(own.waiting) if own else 0
        if own_length + 1 >= len(largest.waiting):
            return False
        latest = max(largest.waiting.values(), key=_turn_order)
        self.forget(latest.ticket)
        self._displaced.append(latest.ticket)
        return True


def _turn_order(waiting: WaitingAsk) -> tuple[float, int]:
    return waiting.turn_order


def _line_length(line: _TeamLine) -> int:
    return len(line.waiting)
