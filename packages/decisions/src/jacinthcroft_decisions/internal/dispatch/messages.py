"""Messages between a VM and the deciding VM.

The deciding VM chooses the targets for all VMs that follow it. A VM sends an
ask for each attempt to have a target run a caller's request. It
gets a grant or a refusal, and reports how a granted attempt ended.
"""

import enum

from attrs import frozen


class Outcome(enum.IntEnum):
    """How an attempt on a target ended."""

    # A complete and valid response.
    SERVED = 0
    # A complete and valid response whose status says that the target failed.
    ERROR = 1
    # The target rejected the request and says that it did not run it.
    SHED = 2
    # Another target responds at the address.
    MISPLACED = 3
    # No connection could be opened, so nothing was sent.
    UNREACHABLE = 4
    # The connection broke after the request was sent, or the response was
    # invalid.
    BROKEN = 5
    # No response within the time limit.
    SILENT = 6
    # The caller left, or another attempt of the same request was faster.
    ABANDONED = 7
    # The connection had been idle and was reset before any response.
    STALE = 8


class RefusalReason(enum.IntEnum):
    """Why the deciding VM refuses an ask."""

    # The team exceeds its rate and burst.
    RATE = 0
    # No target has a free slot in time.
    FULL = 1
    # No target of the service is known.
    NO_TARGET = 2
    # The service has used up its retries.
    RETRY_BUDGET = 3
    # The request has broken several targets.
    CRASHING = 4


# The VM that asks, and the number that it gave the ask.
AskKey = tuple[str, int]


@frozen
class Ask:
    """Asks for a target for a request; times in seconds from now.

    `vm` and `number` identify the ask. A request that `is_repeatable` may run
    more than once. `rank` is the urgency; 0 is the most urgent. `attempt`
    counts the attempts of the request from 1, and `excluded` are the ids of
    the targets that must not get it again. `time_left` is the time until the
    caller gives up, `objective_left` the time until the response misses its
    latency objective, which is negative afterwards. Requests with the same
    `fingerprint` count as the same request when they crash targets. `route`
    is the name under which latencies are averaged. `transfer_bytes` is the
    expected size of both bodies, which cross between the VM and the target.
    """

    vm: str
    number: int
    service: str
    team: str
    is_repeatable: bool
    attempt: int
    rank: int
    time_left: float
    objective_left: float
    fingerprint: str = ''
    transfer_bytes: int = 0
    excluded: tuple[str, ...] = ()
    route: str = ''

    @property
    def key(self) -> AskKey:
        """Identifies the ask among those of all VMs."""
        return (self.vm, self.number)


@frozen
class Grant:
    """Permits one attempt to send a request to a target; times in seconds.

    `patience` is how long to wait for a response before a second target may
    be asked for, if the request is repeatable. `max_rest` is how long a
    connection may have been idle to be used, or None for any time.
    """

    key: AskKey
    target_id: str
    host: str
    port: int
    patience: float
    max_rest: float | None = None


@frozen
class Refusal:
    """Refuses an ask.

    `retry_after` is in seconds, or None if a retry would not help.
    """

    key: AskKey
    reason: RefusalReason
    retry_after: float | None


Decision = Grant | Refusal


@frozen
class Report:
    """How a granted attempt ended, and after how many seconds.

    `used_idle_connection` says whether the request was sent over a connection
    that had been idle for `IDLE_CONNECTION_SECONDS` or longer.
    """

    key: AskKey
    outcome: Outcome
    seconds: float
    used_idle_connection: bool = False
