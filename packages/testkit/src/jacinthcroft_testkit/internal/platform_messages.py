"""Control messages of the platform stand-in."""

import enum

from attrs import frozen


class Availability(enum.Enum):
    """How the platform treats a reader's calls."""

    UP = 'up'
    REFUSING = 'refusing'
    HANGING = 'hanging'


@frozen
class PublishServices:
    """Publishes the whole set of service files; the reply is `Revision`."""

    texts: dict[str, str]


@frozen
class PublishVms:
    """Publishes the VM list, as JSON text; the reply is `Revision`."""

    vm_list: str


@frozen
class Pin:
    """Freezes readers at a revision, None frees them; the reply is `Done`."""

    readers: str
    revision: int | None


@frozen
class Treat:
    """Sets how readers that fit a pattern are treated; reply `Done`."""

    readers: str
    availability: Availability = Availability.UP
    delay_ms: int = 0


@frozen
class CountCalls:
    """Asks how many calls came; the reply is `Calls`."""


@frozen
class Revision:
    """The revision of what was published."""

    revision: int


@frozen
class Calls:
    """How many calls began in each second since the first one."""

    per_second: tuple[int, ...]
