"""What a cell answers, shows and tells: outcomes, views and events."""

import enum
from collections.abc import Callable
from dataclasses import dataclass

from attrs import frozen

from jacinthcroft_decisions.internal.traffic.permit_messages import Permit


@dataclass(frozen=True)
class QueueFull:
    """The cell's queue has no place for the ask."""

    waiting: int


@frozen
class GrantedPermit:
    """A permit for the ask that holds a ticket."""

    ticket: int
    permit: Permit


class TargetCondition(enum.Enum):
    """What a cell does with a target at present."""

    HEALTHY = 'healthy'
    SUSPECT = 'suspect'
    EJECTED = 'ejected'
    COLD = 'cold'
    LEAVING = 'leaving'


@frozen
class TargetView:
    """A target as its cell sees it.

    `running` counts permits that may be in use, `allowed` is the most that
    the target gets now.
    """

    name: str
    state: TargetCondition
    running: int
    allowed: int
    reasons: tuple[str, ...]


@dataclass(frozen=True)
class TargetEjected:
    """A target gets no ordinary work until `retry_at`."""

    target: str
    reasons: tuple[str, ...]
    retry_at: float
    happened_at: float


@dataclass(frozen=True)
class TargetReadmitted:
    """An ejected target is in use again."""

    target: str
    is_for_floor: bool
    happened_at: float


@dataclass(frozen=True)
class EjectionWithheld:
    """A sick target stays in use because of the ejection floor."""

    target: str
    reasons: tuple[str, ...]
    happened_at: float


@dataclass(frozen=True)
class PathBlocked:
    """Some VMs get no permits for a target that others reach."""

    target: str
    paths: tuple[str, ...]
    happened_at: float


@dataclass(frozen=True)
class ColdStartNoticed:
    """A target in use turned cold and ramps up again."""

    target: str
    cause: str
    happened_at: float


CellEvent = (
    TargetEjected
    | TargetReadmitted
    | EjectionWithheld
    | PathBlocked
    | ColdStartNoticed
)

EventSink = Callable[[CellEvent], None]
