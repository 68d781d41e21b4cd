"""The permit requests that wait at a cell: bounded, and fair between teams.

A cell is the set of targets of one service. VMs ask its holder, the VM that has
the lease for it, for permits to send requests to these targets. Teams take
turns, and so do the request classes of a team. Within a class the earliest
deadline goes first.
When the queue is full, a team with at least two requests fewer than the team
with the most displaces that team's request with the latest deadline.
"""

import bisect
from collections.abc import Iterator

from attrs import frozen

from jacinthcroft_decisions.internal.traffic.cell_results import QueueFull
from jacinthcroft_decisions.internal.traffic.fair_scheduler import (
    FairScheduler,
)
from jacinthcroft_decisions.internal.traffic.permit_messages import (
    PermitRequest,
)

MAX_QUEUED_REQUESTS = 512
# How many requests of a class are tried when a slot of a target is free. If
# only the first one were tried, a VM whose paths to the targets are broken
# would block the requests of all other VMs in the class.
MAX_TRIED_PER_CLASS = 8


@frozen
class QueueEntry:
    """A queued permit request; times are on the cell holder's clock."""

    ticket: int
    ask: PermitRequest
    arrived_at: float
    deadline: float

    @property
    def sort_key(self) -> tuple[float, int]:
        """Orders entries by deadline, then by arrival."""
        return self.deadline, self.ticket


class _TeamQueue:
    """The queued requests of one team, by request class."""

    def __init__(self) -> None:
        self.entries: dict[int, QueueEntry] = {}
        self._by_class: dict[str, list[QueueEntry]] = {}
        self._class_turns = FairScheduler()

    def iterate_in_order(self) -> Iterator[QueueEntry]:
        """Yields the entries in the order in which to try them."""
        classes = set(self._by_class)
        while classes:
            request_class = str(self._class_turns.choose_next(classes))
            classes.remove(request_class)
            yield from self._by_class[request_class][:MAX_TRIED_PER_CLASS]

    def add_entry(self, entry: QueueEntry) -> None:
        """Inserts an entry in the order of the deadlines."""
        self.entries[entry.ticket] = entry
        class_entries = self._by_class.setdefault(
            entry.ask.request_class,
            [],
        )
        bisect.insort(class_entries, entry, key=_sort_key)

    def remove_entry(self, ticket: int) -> None:
        """Removes an entry, and its class if that was the last one."""
        entry = self.entries.pop(ticket)
        request_class = entry.ask.request_class
        class_entries = self._by_class[request_class]
        class_entries.remove(entry)
        if not class_entries:
            self._by_class.pop(request_class)
            self._class_turns.forget_idle(self._by_class)

    def record_turn(self, request_class: str) -> None:
        """Counts a served request as a turn of its class."""
        self._class_turns.record_turn(request_class)


class PermitQueue:
    """The waiting permit requests of one cell."""

    def __init__(self, limit: int = MAX_QUEUED_REQUESTS) -> None:
        """Starts empty, with room for `limit` requests."""
        self._limit = limit
        self._team_queues: dict[str, _TeamQueue] = {}
        self._teams_by_ticket: dict[int, str] = {}
        self._team_turns = FairScheduler()
        self._displaced_tickets: list[int] = []
        self._last_ticket = 0

    def __len__(self) -> int:
        """Returns the number of queued requests."""
        return len(self._teams_by_ticket)

    def iterate_in_order(self) -> Iterator[QueueEntry]:
        """Yields the entries in the order in which to try them."""
        teams = [
            team
            for team, team_queue in self._team_queues.items()
            if team_queue.entries
        ]
        while teams:
            team = str(self._team_turns.choose_next(teams))
            teams.remove(team)
            yield from self._team_queues[team].iterate_in_order()

    def add_request(
        self,
        permit_request: PermitRequest,
        now: float,
    ) -> int | QueueFull:
        """Queues a request; returns its ticket, which identifies the entry."""
        if len(self) >= self._limit and not self._displace_for(
            permit_request.team,
        ):
            return QueueFull(waiting=len(self))
        self._last_ticket += 1
        ticket = self._last_ticket
        entry = QueueEntry(
            ticket,
            permit_request,
            now,
            now + permit_request.patience,
        )
        team_queue = self._team_queues.setdefault(
            permit_request.team,
            _TeamQueue(),
        )
        team_queue.add_entry(entry)
        self._teams_by_ticket[ticket] = permit_request.team
        return ticket

    def discard(self, ticket: int) -> None:
        """Removes an entry; an unknown ticket is ignored."""
        team = self._teams_by_ticket.pop(ticket, None)
        if team is None:
            return
        team_queue = self._team_queues[team]
        team_queue.remove_entry(ticket)
        if not team_queue.entries:
            self._team_queues.pop(team)
            self._team_turns.forget_idle(self._team_queues)

    def mark_served(self, entry: QueueEntry) -> None:
        """Counts the turn of an entry's team and class; removes the entry."""
        self._team_turns.record_turn(entry.ask.team)
        self._team_queues[entry.ask.team].record_turn(
            entry.ask.request_class,
        )
        self.discard(entry.ticket)

    def take_expired(self, now: float) -> tuple[int, ...]:
        """Removes entries past their deadline; returns their tickets.

        The tickets that another team's requests displaced since the last
        call are returned as well.
        """
        expired = [
            entry.ticket
            for team_queue in self._team_queues.values()
            for entry in team_queue.entries.values()
            if entry.deadline <= now
        ]
        for ticket in expired:
            self.discard(ticket)
        displaced = tuple(self._displaced_tickets)
        self._displaced_tickets.clear()
        return (*displaced, *expired)

    def _displace_for(self, team: str) -> bool:
        """Frees a place if another team has at least two requests more."""
        own = self._team_queues.get(team)
        largest = max(self._team_queues.values(), key=_count_entries)
        own_length = len(own.entries) if own else 0
        if own_length + 1 >= len(largest.entries):
            return False
        latest = max(largest.entries.values(), key=_sort_key)
        self.discard(latest.ticket)
        self._displaced_tickets.append(latest.ticket)
        return True


def _sort_key(entry: QueueEntry) -> tuple[float, int]:
    return entry.sort_key


def _count_entries(team_queue: _TeamQueue) -> int:
    return len(team_queue.entries)
