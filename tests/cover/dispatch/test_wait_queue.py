"""The queue of one service forgets what it does not hold any more."""

import weakref
from collections.abc import Callable

import pytest
from jacinthcroft_decisions.internal.dispatch.route_latencies import (
    ExpectedLatency,
)
from jacinthcroft_decisions.internal.dispatch.wait_queue import (
    Waiting,
    WaitQueue,
)

from tests.cover.dispatch.dispatch_builders import make_ask

Leave = Callable[[WaitQueue], None]


@pytest.mark.parametrize(
    'leave',
    [
        lambda queue: queue.discard(('vm', 1)),
        lambda queue: queue.drop_vm('vm'),
    ],
)
def test_an_empty_queue_keeps_nothing_of_what_waited(leave: Leave) -> None:
    # Nothing puts an empty queue in order, so nothing else would drop it.
    queue = WaitQueue()
    waiting = Waiting(make_ask(1), 'a', 0, ExpectedLatency(0.2))
    kept = weakref.ref(waiting)
    queue.add(waiting)
    del waiting
    leave(queue)
    assert not len(queue)
    assert kept() is None
