"""The queue of a cell is bounded, and fair between teams and classes."""

from collections import Counter

import pytest
from jacinthcroft_decisions.internal.traffic.fair_scheduler import FairScheduler
from jacinthcroft_decisions.internal.traffic.permit_queue import PermitQueue
from jacinthcroft_decisions.traffic import QueueFull

from tests.cover.traffic.builders import make_ask

# Sorts before the other teams, so that a tie would favour it.
HEAVY_TEAM = 'a heavy'
TEAMS = (HEAVY_TEAM, 'b', 'c', 'd')


def serve_one(queue: PermitQueue) -> str | None:
    """Serves the permit request whose turn it is; returns its team."""
    entry = next(queue.iterate_in_order(), None)
    if entry is None:
        return None
    queue.mark_served(entry)
    return entry.ask.team


def check_fairness() -> None:
    """One team sends five times its share, and each other team its share."""
    queue = PermitQueue(limit=64)
    served: Counter[str | None] = Counter()
    refused: Counter[str] = Counter()
    for step in range(400):
        now = step * 0.1
        for team in TEAMS:
            for _ in range(5 if team == HEAVY_TEAM else 1):
                ticket = queue.add_request(make_ask(team=team, patience=2), now)
                refused[team] += isinstance(ticket, QueueFull)
        for _ in TEAMS:
            served[serve_one(queue)] += 1
        queue.take_expired(now)
    for team in TEAMS:
        assert served[team] >= 395
    assert refused[HEAVY_TEAM]
    assert not refused['b']


def test_a_team_at_five_times_its_share_does_not_slow_down_others() -> None:
    check_fairness()


def test_the_fairness_check_fails_if_turns_are_not_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Without counts, ties are decided by name and the order is fixed.
    monkeypatch.setattr(
        FairScheduler, 'record_turn', lambda scheduler, flow: None
    )
    with pytest.raises(AssertionError):
        check_fairness()


def test_a_class_does_not_starve_another_class_of_the_same_team() -> None:
    queue = PermitQueue()
    for number in range(20):
        queue.add_request(
            make_ask(request_class='reads', patience=1), number / 100
        )
    queue.add_request(make_ask(request_class='statements', patience=9), now=0.5)
    served_classes = [next(queue.iterate_in_order()).ask.request_class]
    serve_one(queue)
    served_classes.append(next(queue.iterate_in_order()).ask.request_class)
    assert sorted(served_classes) == ['reads', 'statements']


def test_within_a_class_the_earliest_deadline_is_served_first() -> None:
    queue = PermitQueue()
    late = queue.add_request(make_ask(patience=5), now=0)
    early = queue.add_request(make_ask(patience=1), now=0.5)
    order = [entry.ticket for entry in queue.iterate_in_order()]
    assert order == [early, late]


def test_a_full_queue_refuses_the_team_that_filled_it() -> None:
    queue = PermitQueue(limit=4)
    for _ in range(4):
        queue.add_request(make_ask(team='heavy'), now=0)
    assert queue.add_request(make_ask(team='heavy'), now=0) == QueueFull(4)


def test_a_full_queue_makes_room_for_a_team_with_fewer_requests() -> None:
    queue = PermitQueue(limit=4)
    tickets = [
        queue.add_request(make_ask(team='heavy'), now=0) for _ in range(4)
    ]
    assert isinstance(queue.add_request(make_ask(team='a'), now=0), int)
    assert len(queue) == 4
    assert queue.take_expired(now=0.1) == (tickets[-1],)


def test_expired_and_discarded_requests_leave_the_queue() -> None:
    queue = PermitQueue()
    expired = queue.add_request(make_ask(patience=1), now=0)
    discarded = queue.add_request(make_ask(patience=1), now=0)
    assert isinstance(discarded, int)
    queue.discard(discarded)
    queue.discard(discarded)
    assert queue.take_expired(now=1) == (expired,)
    assert len(queue) == 0


def test_a_returning_flow_neither_catches_up_nor_is_held_back() -> None:
    scheduler = FairScheduler()
    for _ in range(10):
        scheduler.record_turn('a')
    order = []
    for _ in range(6):
        flow = scheduler.choose_next(('a', 'b'))
        order.append(flow)
        scheduler.record_turn(str(flow))
    assert Counter(order) == {'a': 3, 'b': 3}
