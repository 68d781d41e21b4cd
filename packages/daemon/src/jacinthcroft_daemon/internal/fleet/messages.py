"""Messages by which VMs pass on what is published."""

from attrs import frozen
from jacinthcroft_decisions.coordination import LastContact

from jacinthcroft_daemon.internal.fleet.list_history import PublishedText


@frozen
class UpdatesRequest:
    """Asks for anything newer than the asking VM has.

    `wants_history` asks for earlier VM lists too, as a VM does that starts
    or that met a revision it does not know.
    """

    list_revision: int
    configuration_revision: int
    wants_history: bool


@frozen
class UpdatesReply:
    """What is newer, whom the peer heard, and which requests to refuse."""

    vm_list: PublishedText | None
    bundle: PublishedText | None
    history: tuple[PublishedText, ...]
    heard: tuple[LastContact, ...]


@frozen
class PartsRequest:
    """Asks for parts of the bundle by their SHA-256 digests."""

    digests: tuple[str, ...]


@frozen
class PartsReply:
    """The texts of the parts that the peer has."""

    texts: tuple[str, ...]
