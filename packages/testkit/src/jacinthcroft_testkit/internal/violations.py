"""What a history check can find, one class a broken promise."""

from dataclasses import dataclass


@dataclass(frozen=True)
class RepeatedRun:
    """A non-idempotent request ran more than once."""

    team: str
    key: str
    request_ids: tuple[str, ...]


@dataclass(frozen=True)
class FalseNotRun:
    """A refusal said `not-run` of a request that had run."""

    number: int
    reason: str
    refused_at: float
    run_started: float


@dataclass(frozen=True)
class ForeignAnswer:
    """A caller received the answer to another request."""

    number: int
    request_id: str


@dataclass(frozen=True)
class TornAnswer:
    """A caller received only a part of its answer."""

    number: int
    request_id: str


@dataclass(frozen=True)
class PhantomAnswer:
    """A caller received an answer although its request never ran."""

    number: int
    request_id: str


@dataclass(frozen=True)
class WrongTeam:
    """A request ran for another team than the one whose key it carried."""

    request_id: str
    sent_by: str
    ran_for: str


@dataclass(frozen=True)
class CredentialsSeen:
    """A target saw a caller's key."""

    target: str
    request_id: str


@dataclass(frozen=True)
class OverLimit:
    """A team ran more than rate and burst allow in some window."""

    team: str
    window_end: float
    excess_runs: float


@dataclass(frozen=True)
class OverSlots:
    """A target ran more requests at once than it bears."""

    target: str
    at: float
    running: int
    allowed: int
    is_cold: bool


@dataclass(frozen=True)
class OverConnections:
    """A target held more open connections than it bears."""

    target: str
    at: float
    connections: int
    allowed: int


@dataclass(frozen=True)
class LateRun:
    """A request started where or for whom nothing new may start."""

    target: str
    team: str
    request_id: str
    seconds_late: float


@dataclass(frozen=True)
class BelowFloor:
    """Ejection left fewer targets in use than the floor."""

    service: str
    at: float
    in_use: int
    floor: int


Violation = (
    RepeatedRun
    | FalseNotRun
    | ForeignAnswer
    | TornAnswer
    | PhantomAnswer
    | WrongTeam
    | CredentialsSeen
    | OverLimit
    | OverSlots
    | OverConnections
    | LateRun
    | BelowFloor
)
