"""What a VM asks and tells the deciding VM, and what it hears back."""

import enum

from attrs import frozen


class Outcome(enum.IntEnum):
    """How a send to a target ended."""

    # A whole answer that the target stands by.
    SERVED = 0
    # A whole answer with a failure status of the target's own.
    ERROR = 1
    # The target says that it did not run the request.
    SHED = 2
    # The target that holds the address is another one.
    MISPLACED = 3
    # No connection could be opened, so nothing was sent.
    UNREACHABLE = 4
    # The connection ended, or carried nonsense, after the request was sent.
    BROKEN = 5
    # No answer until the time was up.
    SILENT = 6
    # The caller left, or another send of the same request was faster.
    ABANDONED = 7
    # A connection that had been kept was reset instead of an answer.
    STALE = 8


class RefusalReason(enum.IntEnum):
    """Why the deciding VM lets a request not go out."""

    RATE = 0
    FULL = 1
    NO_TARGET = 2
    RETRY_BUDGET = 3
    CRASHING = 4


AskKey = tuple[str, int]


@frozen
class Ask:
    """A request that wants a target; times in seconds from now.

    `attempt` counts this request's sends from 1. `excluded` are targets that
    have had it. `objective_left` may be negative. `route` tells requests of
    different length apart.
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
    body_bytes: int = 0
    excluded: tuple[str, ...] = ()
    route: str = ''

    @property
    def key(self) -> AskKey:
        """What identifies the ask among all VMs' asks."""
        return (self.vm, self.number)


@frozen
class Grant:
    """Leave to send a request to a target, once.

    `patience` is how long to wait for an answer, in seconds, before a
    repeatable request may ask for a second target. `max_rest` is for how many
    seconds a connection may have rested to be used; None is for any time.
    """

    key: AskKey
    target_id: str
    host: str
    port: int
    patience: float
    max_rest: float | None = None


@frozen
class Refusal:
    """No leave; `retry_after` in seconds, or None where it is no use."""

    key: AskKey
    reason: RefusalReason
    retry_after: float | None


Decision = Grant | Refusal


@frozen
class Report:
    """How a granted send ended, and after how many seconds.

    `used_idle_connection` tells that it went over an idle connection.
    """

    key: AskKey
    outcome: Outcome
    seconds: float
    used_idle_connection: bool = False
