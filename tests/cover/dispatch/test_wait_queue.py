"""The queue of a service keeps no reference to asks that have left it."""

import weakref
from collections.abc import Callable

import pytest
from jacinthcroft_decisions.internal.dispatch.route_latencies import (
    ExpectedLatency,
)
from jacinthcroft_decisions.internal.dispatch.wait_queue import (
    QueuedAsk,
    WaitQueue,
)

from tests.cover.dispatch.dispatch_builders import make_ask

RemoveAsk = Callable[[WaitQueue], None]


@pytest.mark.parametrize(
    'remove_ask',
    [
        lambda queue: queue.discard(('vm', 1)),
        lambda queue: queue.drop_vm('vm'),
    ],
)
def test_an_empty_queue_keeps_no_removed_ask(remove_ask: RemoveAsk) -> None:
    # An empty queue is not sorted again, so its old order would keep the ask.
    queue = WaitQueue()
    queued = QueuedAsk(make_ask(1), 'a', 0, ExpectedLatency(0.2))
    reference = weakref.ref(queued)
    queue.add(queued)
    del queued
    remove_ask(queue)
    assert not len(queue)
    assert reference() is None
