"""The queue of a cell is bounded and fair between teams and classes."""

from collections import Counter

import pytest
from jacinthcroft_decisions.internal.traffic.fair_scheduler import FairScheduler
from jacinthcroft_decisions.internal.traffic.permit_queue import PermitQueue
from jacinthcroft_decisions.traffic import QueueFull

from tests.cover.traffic.builders import make_ask

GREEDY = 'a greedy'
TEAMS = (GREEDY, 'b', 'c', 'd')


def serve_one(queue: PermitQueue) -> str | None:
    """Serves the ask whose turn it is; returns its team."""
    entry = next(queue.iterate_in_order(), None)
    if entry is None:
        return None
    queue.mark_served(entry)
    return entry.ask.team


def check_fairness() -> None:
    """One team sends five times its share; the others send theirs."""
    queue = PermitQueue(limit=64)
    served: Counter[str | None] = Counter()
    refused: Counter[str] = Counter()
    for step in range(400):
        now = step * 0.1
        for team in TEAMS:
            for _ in range(5 if team == GREEDY else 1):
                ticket = queue.add_request(make_ask(team=team, patience=2), now)
                refused[team] += isinstance(ticket, QueueFull)
        for _ in TEAMS:
            served[serve_one(queue)] += 1
        queue.take_expired(now)
    for team in TEAMS:
        assert served[team] >= 395
    assert refused[GREEDY]
    assert not refused['b']


def test_a_team_at_five_times_its_share_takes_nothing_from_others() -> None:
    check_fairness()


def test_the_fairness_check_catches_first_come_first_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Without counted turns the order is always the same.
    monkeypatch.setattr(
        FairScheduler, 'record_turn', lambda scheduler, flow: None
    )
    with pytest.raises(AssertionError):
        check_fairness()


def test_a_class_does_not_starve_another_of_the_same_team() -> None:
    queue = PermitQueue()
    for number in range(20):
        queue.add_request(
            make_ask(request_class='reads', patience=1), number / 100
        )
    queue.add_request(make_ask(request_class='statements', patience=9), now=0.5)
    first = [next(queue.iterate_in_order()).ask.request_class]
    serve_one(queue)
    first.append(next(queue.iterate_in_order()).ask.request_class)
    assert sorted(first) == ['reads', 'statements']


def test_within_a_class_the_earliest_deadline_goes_first() -> None:
    queue = PermitQueue()
    late = queue.add_request(make_ask(patience=5), now=0)
    early = queue.add_request(make_ask(patience=1), now=0.5)
    order = [entry.ticket for entry in queue.iterate_in_order()]
    assert order == [early, late]


def test_a_full_queue_refuses_the_team_that_filled_it() -> None:
    queue = PermitQueue(limit=4)
    for _ in range(4):
        queue.add_request(make_ask(team='greedy'), now=0)
    assert queue.add_request(make_ask(team='greedy'), now=0) == QueueFull(4)


def test_a_full_queue_makes_room_for_a_team_with_fewer_asks() -> None:
    queue = PermitQueue(limit=4)
    tickets = [
        queue.add_request(make_ask(team='greedy'), now=0) for _ in range(4)
    ]
    assert isinstance(queue.add_request(make_ask(team='a'), now=0), int)
    assert len(queue) == 4
    assert queue.take_expired(now=0.1) == (tickets[-1],)


def test_expired_and_forgotten_asks_leave_the_queue() -> None:
    queue = PermitQueue()
    expired = queue.add_request(make_ask(patience=1), now=0)
    forgotten = queue.add_request(make_ask(patience=1), now=0)
    assert isinstance(forgotten, int)
    queue.discard(forgotten)
    queue.discard(forgotten)
    assert queue.take_expired(now=1) == (expired,)
    assert len(queue) == 0


def test_a_team_that_paused_neither_saves_turns_nor_pays_old_ones() -> None:
    turns = FairScheduler()
    for _ in range(10):
        turns.record_turn('a')
    order = []
    for _ in range(6):
        party = turns.choose_next(('a', 'b'))
        order.append(party)
        turns.record_turn(str(party))
    assert Counter(order) == {'a': 3, 'b': 3}
