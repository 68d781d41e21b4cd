"""The choice of a leader, and each VM's copy of the published state.

For fleets without a published VM list, whose VMs find each other through
seeds: the hosts that their settings name.
"""

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
from jacinthcroft_decisions.internal.membership.sources import (
    DEPUTY_COUNT,
    MAX_SHARED_COPY_AGE_SECONDS,
)

__all__ = (
    'DEPUTY_COUNT',
    'MAX_SHARED_COPY_AGE_SECONDS',
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
