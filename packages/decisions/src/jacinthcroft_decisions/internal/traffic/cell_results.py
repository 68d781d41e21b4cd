"""The results, target views and events of a cell.

A cell is the set of targets of one service; VMs ask it for permits to send
requests to them. Detectors look for faulty targets. An ejected target gets no
requests for a pause, and then one at a time (a trial). The ejection floor is
the least share of targets that stays in use, faulty or not.

The events are logged under their class names with their field names.
"""

import enum
from collections.abc import Callable
from dataclasses import dataclass

from attrs import frozen

from jacinthcroft_decisions.internal.traffic.permit_messages import Permit


@dataclass(frozen=True)
class QueueFull:
    """A permit request is refused, since `waiting` others are queued."""

    waiting: int


@frozen
class GrantedPermit:
    """A permit for the request that was queued under `ticket`."""

    ticket: int
    permit: Permit


class TargetCondition(enum.Enum):
    """The state of a target as status and metrics show it.

    A target on trial counts as ejected, and one that may get no new work as
    leaving. A cold target has probably just been started.
    """

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
    """A target in use is in its cold start again, because of `cause`."""

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
