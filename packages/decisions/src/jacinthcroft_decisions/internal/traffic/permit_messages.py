"""What VMs and the holder of a cell tell each other about permits."""

import enum

from attrs import frozen


class RunOutcome(enum.Enum):
    """How the use of a permit ended, as the VM saw it."""

    ANSWERED = 'answered'
    SERVER_ERROR = 'server-error'
    SHED = 'shed'
    STALLED = 'stalled'
    RESET = 'reset'
    CONNECT_FAILED = 'connect-failed'
    UNUSED = 'unused'
    CROSSED = 'crossed'
    CANCELLED = 'cancelled'


@frozen
class PermitRequest:
    """A VM's question for one permit; `patience` is in seconds."""

    cell: str
    vm: str
    zone: str
    team: str
    request_class: str
    patience: float


@frozen
class Permit:
    """Leave to run one request at a time on one slot of a target.

    `start_within` is in seconds from before the VM asked: no run may begin
    on the permit later. `may_be_kept` tells that the cell has room enough
    for a VM to keep the permit between two requests.
    """

    id: str
    cell: str
    target: str
    address_host: str
    address_port: int
    start_within: float
    may_be_kept: bool = False


@frozen
class PermitRefusal:
    """Why no permit was given."""

    reason: str


@frozen
class PermitReport:
    """One use of a permit, or its return unused.

    `latency` is in seconds. `run_number` counts the reports on one permit
    from one, so that a duplicate is no second observation.
    """

    permit_id: str
    cell: str
    vm: str
    target: str
    outcome: RunOutcome
    latency: float
    is_returned: bool
    boot_id: str | None
    is_draining: bool
    run_number: int = 0


@frozen
class PermitRenewal:
    """A kept permit's new life, in seconds from before the report left."""

    permit_id: str
    start_within: float
    may_be_kept: bool = False


@frozen
class ReportReply:
    """The holder's answer to a batch of reports.

    A recalled permit is used no more; it is returned when its run ends.
    """

    renewals: tuple[PermitRenewal, ...]
    recalled: tuple[str, ...]


@frozen
class HeldSlot:
    """A permit that may be in use for `free_in` seconds more."""

    permit_id: str
    vm: str
    zone: str
    free_in: float


@frozen
class TargetHandover:
    """What a holder knows of one target's load."""

    name: str
    is_warm: bool
    boot_ids: tuple[str, ...]
    held: tuple[HeldSlot, ...]
    is_draining: bool = False


@frozen
class CellHandover:
    """What a leaving holder tells its successor.

    The holder that wrote it grants and renews nothing afterwards.
    """

    cell: str
    targets: tuple[TargetHandover, ...]
