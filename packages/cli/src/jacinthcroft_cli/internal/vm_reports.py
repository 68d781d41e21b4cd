"""Typed forms of the JSON that VMs return at their operator ports.

cattrs reads the classes by their field names, which are those of the JSON.
"""

import json
from typing import TypeVar

import cattrs
from attrs import frozen

from jacinthcroft_cli.internal.operator_ports import TextResponse, Unreachable


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
    """The response to `GET /status`."""

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
    """One step of a request; `at_ms` is the time since its first byte."""

    at_ms: float
    event: str
    detail: str


@frozen
class RequestTrace:
    """The response to `GET /explain/<id>`."""

    request_id: str
    events: tuple[TraceEvent, ...]


ReportT = TypeVar('ReportT')


def read_report(
    response: TextResponse, report_type: type[ReportT]
) -> ReportT | Unreachable:
    """Returns the report in a response; `Unreachable` if it is invalid."""
    try:
        return cattrs.structure(json.loads(response.text), report_type)
    except (ValueError, RecursionError, cattrs.BaseValidationError):
        return Unreachable(response.address, 'its answer cannot be read')
