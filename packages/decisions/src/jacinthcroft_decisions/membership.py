"""Finding other VMs, following one of them, sharing what is published."""

from jacinthcroft_decisions.internal.membership.leadership import (
    Leadership,
    Role,
)
from jacinthcroft_decisions.internal.membership.peers import (
    Peer,
    Poll,
    PollReply,
    Rank,
)
from jacinthcroft_decisions.internal.membership.published_state import (
    Changes,
    Item,
    PublishedState,
)

__all__ = (
    'Changes',
    'Item',
    'Leadership',
    'Peer',
    'Poll',
    'PollReply',
    'PublishedState',
    'Rank',
    'Role',
)
