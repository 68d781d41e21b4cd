"""The identity of a VM, and the polls that VMs exchange.

A VM follows another one, its leader, which decides for it.
"""

from attrs import frozen

# The VM with the smallest rank leads. A rank is the negated capacity to
# decide for others, then a hash of the host that breaks ties.
Rank = tuple[float, int]


@frozen
class Peer:
    """A VM, identified by its host; `incarnation` identifies its process."""

    host: str
    zone: str
    incarnation: int
    rank: Rank


@frozen
class Poll:
    """A request for a VM's state, repeated as a heartbeat.

    `is_following` says that the receiver is the sender's leader.
    `wants_reader` asks the receiver to read the published state from the
    platform for a while, on the sender's behalf.
    `lost_leader` is the leader from which the sender no longer hears.
    """

    sender: Peer
    is_leading: bool
    is_following: bool
    wants_reader: bool
    lost_leader: str | None = None


@frozen
class PollReply:
    """The state of the VM that replies to a poll, and its leader.

    `successors` are the hosts that should lead next, best first.
    `other_hosts` names some of the sender's followers, different ones in each
    reply, so that VMs which lose their leader can find each other.
    `fleet_size` is how many VMs the sender knows of; `is_fleet_complete` says
    that it takes them for the whole fleet.
    `state_version` and `state_age` say how recent the sender's copy of the
    published state is; the age is the seconds since the platform confirmed
    it.
    """

    sender: Peer
    is_leading: bool
    is_leaving: bool
    leader: str | None
    successors: tuple[str, ...]
    other_hosts: tuple[str, ...]
    fleet_size: int
    is_fleet_complete: bool
    state_version: int
    state_age: float
