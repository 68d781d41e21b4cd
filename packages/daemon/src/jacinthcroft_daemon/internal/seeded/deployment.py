"""What a platform's adapter provides to run a VM on that platform."""

from collections.abc import Mapping
from typing import Final, Protocol

from attrs import field, frozen
from jacinthcroft_config import Address
from jacinthcroft_decisions.dispatch import DispatchLimits, FleetDocuments
from jacinthcroft_decisions.membership import Item

DEFAULT_RESPONSE_BUFFER_BYTES: Final = 67_108_864


@frozen
class SeededSettings:
    """One VM's settings; times in seconds.

    `host` is the VM's address and identifies it in the fleet. `seeds` are the
    hosts that it polls first to find the fleet. `deciding_capacity` is how
    much deciding for other VMs this VM can afford, relative to other VMs.
    `grace_seconds` is the time from the stop signal to the end of the process.
    With `fails_closed`, requests with API keys are refused while withdrawals
    of keys may be unknown. `response_buffer_bytes` limits what large responses
    occupy in memory until their callers have received them.
    """

    name: str
    zone: str
    host: str
    callers: Address
    ready: Address
    peer_port: int
    metrics_port: int
    seeds: tuple[str, ...]
    deciding_capacity: float
    grace_seconds: float
    dispatch_limits: DispatchLimits
    store: Address
    fails_closed: bool = True
    response_buffer_bytes: int = DEFAULT_RESPONSE_BUFFER_BYTES


@frozen
class HeaderNames:
    """Names of the platform's header fields, in lower case.

    `request_id` identifies a request and its response. `time_left` is the time
    until the caller's deadline, in milliseconds. `expected_target` names the
    target that a request is meant for. `not_run` marks the response of a target
    that did not run the request. `leaving` marks each response of a target that
    leaves.
    """

    request_id: str
    time_left: str
    team: str
    expected_target: str
    signature: str
    not_run: str
    leaving: str


@frozen
class ReadResult:
    """Items that were read from the platform, up to its revision `at`.

    `is_whole` says whether these are all items rather than the changed ones.
    """

    items: tuple[Item, ...]
    at: int
    is_whole: bool


@frozen
class ReadFailure:
    """The platform did not respond, or its response was invalid.

    `has_forgotten` says that the platform no longer has the changes since the
    requested revision, so that all items must be read again.
    """

    detail: str
    has_forgotten: bool = False


class Store(Protocol):
    """Reads published items; each call is counted and has a cost."""

    async def read_all(self) -> ReadResult | ReadFailure:
        """Reads all items."""

    async def wait_for_changes(
        self,
        after: int,
        seconds: float,
    ) -> ReadResult | ReadFailure:
        """Waits for changes after a revision, for at most `seconds`."""


class Translator(Protocol):
    """Decodes published values into documents."""

    def translate(
        self,
        live_values: Mapping[str, tuple[int, bytes]],
    ) -> FleetDocuments:
        """Returns the decoded documents; unreadable values are left out."""


@frozen
class Deployment:
    """The header names, translator and store of one platform."""

    header_names: HeaderNames
    translator: Translator
    store: Store = field(repr=False)
