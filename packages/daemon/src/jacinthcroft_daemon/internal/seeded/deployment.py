"""What a platform's adapter has to provide to run a VM on it."""

from collections.abc import Mapping
from typing import Protocol

from attrs import field, frozen
from jacinthcroft_config import Address
from jacinthcroft_decisions.dispatch import DispatchLimits, FleetDocuments
from jacinthcroft_decisions.membership import Item


@frozen
class SeededSettings:
    """One VM's settings; times in seconds.

    `room` is what the VM can spend on deciding for others, relative to other
    VMs. `grace_seconds` pass between the signal to stop and the end.
    """

    name: str
    zone: str
    host: str
    callers: Address
    ready: Address
    peer_port: int
    metrics_port: int
    seeds: tuple[str, ...]
    room: float
    grace_seconds: float
    terms: DispatchLimits
    store: Address
    fails_closed: bool = True


@frozen
class Dialect:
    """Header fields that callers and targets understand, in lower case."""

    request_id: str
    time_left: str
    team: str
    expected_target: str
    signature: str
    not_run: str


@frozen
class Reading:
    """What the platform published, up to its revision `at`."""

    items: tuple[Item, ...]
    at: int
    is_whole: bool


@frozen
class ReadFailure:
    """The platform did not answer, or not sensibly.

    `has_forgotten` says that its history is gone: read everything again.
    """

    detail: str
    has_forgotten: bool = False


class Store(Protocol):
    """Reads published items; every call is counted and costs something."""

    async def read_all(self) -> Reading | ReadFailure:
        """Reads all items."""

    async def wait_for_changes(
        self,
        after: int,
        seconds: float,
    ) -> Reading | ReadFailure:
        """Waits so long for changes after a revision."""


class Translator(Protocol):
    """Turns published values into documents."""

    def translate(
        self,
        live_values: Mapping[str, tuple[int, bytes]],
    ) -> FleetDocuments:
        """Returns what the values say; unreadable ones are left out."""


@frozen
class Deployment:
    """A platform, as the product sees it."""

    dialect: Dialect
    translator: Translator
    store: Store = field(repr=False)
