"""What VMs tell at their operator ports, as typed messages."""

import json
from typing import TypeVar

import cattrs
from attrs import frozen

from jacinthcroft_cli.internal.operator_ports import Answer, Unreachable


@frozen
class TeamReport:
    """Requests of one team on one service since the VM started."""

    team: str
    service: str
    answered: int
    refused: int


@frozen
class TargetReport:
    """A target as one VM sees it; `running` and `allowed` are requests."""

    service: str
    target: str
    state: str
    running: int
    allowed: int


@frozen
class RefusalReport:
    """Refusals for one reason since the VM started."""

    reason: str
    count: int


@frozen
class VmReport:
    """The answer of `GET /status`."""

    vm: str
    zone: str
    state: str
    list_revision: int
    configuration_revision: int
    configuration_age_seconds: float
    is_fresh: bool
    leases: int
    permits: int
    teams: tuple[TeamReport, ...]
    targets: tuple[TargetReport, ...]
    refusals: tuple[RefusalReport, ...]


@frozen
class TraceEvent:
    """One step of a request; `at_ms` counts from its first byte."""

    at_ms: float
    event: str
    detail: str


@frozen
class RequestTrace:
    """The answer of `GET /explain/<id>`."""

    request_id: str
    events: tuple[TraceEvent, ...]


ReportT = TypeVar('ReportT')


def read_report(answer: Answer, kind: type[ReportT]) -> ReportT | Unreachable:
    """Returns an answer's message; one that cannot be read is no answer."""
    try:
        return cattrs.structure(json.loads(answer.text), kind)
    except (ValueError, RecursionError, cattrs.BaseValidationError):
        return Unreachable(answer.address, 'its answer cannot be read')
