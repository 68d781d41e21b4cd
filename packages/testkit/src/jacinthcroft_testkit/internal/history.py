"""What callers and targets recorded: the input of the history checks.

Callers write `Sent` and `Outcome`; targets write `Run` into their journals.
All times are seconds of the machine's boot clock, so that the records of
several processes merge into one history.
"""

import enum

from attrs import field, frozen


class OutcomeKind(enum.Enum):
    """How one sending ended for its caller."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    CONNECTION_LOST = 'connection-lost'
    TIMED_OUT = 'timed-out'


class RunResult(enum.Enum):
    """How one run ended at its target."""

    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    RESET = 'reset'
    CANCELLED = 'cancelled'
    CRASHED = 'crashed'


@frozen
class Sent:
    """One sending of a request to one VM.

    A resend is a sending of its own with the same `key` and `path`; `path`
    carries a number that no other request of the run has.
    """

    number: int
    at: float
    vm: str
    service: str
    team: str
    method: str
    path: str
    key: str = ''
    is_idempotent: bool = True


@frozen
class Outcome:
    """What the caller of one sending received.

    `is_own` says that the answer's body states this request's path,
    `is_whole` that it arrived complete and its digest fits, `is_replayed`
    that it is the recorded answer of an earlier sending. `outcome` and
    `reason` are those of a refusal.
    """

    number: int
    at: float
    kind: OutcomeKind
    status: int = 0
    request_id: str = ''
    outcome: str = ''
    reason: str = ''
    is_own: bool = True
    is_whole: bool = True
    is_replayed: bool = False


@frozen
class Run:
    """One request that a target began to work on.

    `concurrency` and `connections` are those of the target when the run
    began, itself included. `cold_seconds` is how long the target had been
    in cold start then, None for a warm one.
    """

    target: str
    request_id: str
    key: str
    team: str
    method: str
    path: str
    started: float
    ended: float | None = None
    result: RunResult = RunResult.RUNNING
    concurrency: int = 1
    connections: int = 1
    cold_seconds: float | None = None
    has_seen_credentials: bool = False
    boot_id: str = ''


@frozen
class History:
    """The merged records of one test run."""

    sent: tuple[Sent, ...] = ()
    outcomes: tuple[Outcome, ...] = ()
    runs: tuple[Run, ...] = field(default=())
