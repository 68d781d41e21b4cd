"""The results, target views and events of a cell.

The events are logged under their class names with their field names.
"""

import enum
from collections.abc import Callable
from dataclasses import dataclass

from attrs import frozen

from jacinthcroft_decisions.internal.traffic.permit_messages import Permit


@dataclass(frozen=True)
class QueueFull:
    """The cell's queue refuses the ask; `waiting` asks are queued already."""

    waiting: int


@frozen
class GrantedPermit:
    """A permit for the ask that was queued under `ticket`."""

    ticket: int
    permit: Permit


class TargetCondition(enum.Enum):
    """The state of a target as status and metrics show it."""

    HEALTHY = 'healthy'
    SUSPECT = 'suspect'
    EJECTED = 'ejected'
    COLD = 'cold'
    LEAVING = 'leaving'


@frozen
class TargetView:
    """The state of one target as status and metrics show it.

    `running` counts the permits that take a slot, `allowed` is the present
    limit of them, and `reasons` are the names of the detectors that suspect
    the target or ejected it.
    """

    name: str
    state: TargetCondition
    running: int
    allowed: int
    reasons: tuple[str, ...]


@dataclass(frozen=True)
class TargetEjected:
    """A target gets no requests until its trial begins at `retry_at`."""

    target: str
    reasons: tuple[str, ...]
    retry_at: float
    happened_at: float


@dataclass(frozen=True)
class TargetReadmitted:
    """A target is in use again after its trial, or to restore the floor."""

    target: str
    is_for_floor: bool
    happened_at: float


@dataclass(frozen=True)
class EjectionWithheld:
    """A faulty target stays in use because of the ejection floor."""

    target: str
    reasons: tuple[str, ...]
    happened_at: float


@dataclass(frozen=True)
class PathBlocked:
    """VMs or zones (`paths`) get no permits for a target for some time."""

    target: str
    paths: tuple[str, ...]
    happened_at: float


@dataclass(frozen=True)
class ColdStartNoticed:
    """A target in use is in its cold start again."""

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
