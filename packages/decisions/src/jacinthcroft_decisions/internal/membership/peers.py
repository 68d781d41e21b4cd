"""The identity of a VM, and the polls that VMs exchange."""

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

    `is_following` says that the sender takes the receiver's decisions.
    `wants_reader` asks the receiver to read the platform for a while.
    `lost_leader` is the leader from which the sender no longer hears.
    """

    sender: Peer
    is_leading: bool
    is_following: bool
    wants_reader: bool
    lost_leader: str | None = None


@frozen
class PollReply:
    """A VM's own state and the leader that it follows.

    `other_hosts` names some of the sender's followers, different ones in each
    reply, so that VMs which lose their leader can find each other.
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
    state_version: int
    state_age: float
