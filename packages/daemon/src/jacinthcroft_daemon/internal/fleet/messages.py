"""Messages by which VMs pass on published VM lists and configurations."""

from attrs import frozen
from jacinthcroft_decisions.coordination import LastContact

from jacinthcroft_daemon.internal.fleet.list_history import PublishedText


@frozen
class UpdatesRequest:
    """Requests the VM list and bundle if newer than the sender's revisions.

    `wants_history` requests earlier VM lists as well. A VM sets it after it
    started, or after another VM named a revision that it does not know.
    """

    list_revision: int
    configuration_revision: int
    wants_history: bool


@frozen
class UpdatesReply:
    """Newer values, if any, and the peer's last contacts with other VMs.

    `history` has all VM lists that the peer keeps, oldest first, if they were
    requested.
    """

    vm_list: PublishedText | None
    bundle: PublishedText | None
    history: tuple[PublishedText, ...]
    heard: tuple[LastContact, ...]


@frozen
class PartsRequest:
    """Requests parts of the bundle by their SHA-256 digests."""

    digests: tuple[str, ...]


@frozen
class PartsReply:
    """The texts of those requested parts that the peer has."""

    texts: tuple[str, ...]
