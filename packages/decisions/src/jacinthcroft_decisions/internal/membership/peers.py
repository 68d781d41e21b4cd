"""VMs as they know each other, and what they tell each other of it."""

from attrs import frozen

# A smaller rank decides first: less room, then a hash of the address.
Rank = tuple[float, int]


@frozen
class Peer:
    """A VM; its host is its identity, `incarnation` its process."""

    host: str
    zone: str
    incarnation: int
    rank: Rank


@frozen
class Poll:
    """A question to a VM, repeated as a sign of life.

    `is_following` says that the asker takes the asked VM's decisions;
    `wants_reader` asks it to read the platform for a while. `suspects` is a
    leader that the asker has lost.
    """

    sender: Peer
    is_leading: bool
    is_following: bool
    wants_reader: bool
    suspects: str | None = None


@frozen
class PollReply:
    """What a VM says of itself and of whom it follows.

    `others` are some more VMs, other ones each time, by which those that lose
    their leader find each other. `state_version` and `state_age` tell how
    new its copy of the published documents is; the age counts in seconds
    from when the platform confirmed it.
    """

    sender: Peer
    is_leading: bool
    is_leaving: bool
    leader: str | None
    successors: tuple[str, ...]
    others: tuple[str, ...]
    fleet_size: int
    state_version: int
    state_age: float
