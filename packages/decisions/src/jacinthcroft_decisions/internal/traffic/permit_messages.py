"""Messages about permits between VMs and the holder of a cell.

A cell is the set of targets of one service. Its holder is the VM that has the
lease for it and issues the permits. A permit takes one of its target's slots,
each of which has room for one run at a time. A run is the execution of one
request at a target.
"""

import enum

from attrs import frozen


class RunOutcome(enum.Enum):
    """How a run on a permit ended, as the VM observed it.

    `CROSSED` means that the answer belonged to another request, and `UNUSED`
    that the permit was given back without a run.
    """

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
    """A VM's request for one permit.

    `patience` is how long the holder may queue it, in seconds.
    """

    cell: str
    vm: str
    zone: str
    team: str
    request_class: str
    patience: float


@frozen
class Permit:
    """Permission to run one request at a time on one slot of a target.

    A run may begin on it until `start_within` seconds after the VM asked for
    it. `may_be_kept` is true if the cell has enough spare capacity for the
    VM to keep the permit between two requests.
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
    """The reason why no permit was granted."""

    reason: str


@frozen
class PermitReport:
    """Reports one run on a permit, or the return of an unused permit.

    `latency` is in seconds. `run_number` counts the reports on one permit
    from one, so that the holder counts a duplicated report only once.
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
    """Renews a permit that the VM has kept.

    A run may begin until `start_within` seconds after the VM sent the report
    that the renewal replies to.
    """

    permit_id: str
    start_within: float
    may_be_kept: bool = False


@frozen
class ReportReply:
    """The holder's reply to a batch of reports.

    No new run may begin on a recalled permit. If it is in use, it is given
    back when its run ends.
    """

    renewals: tuple[PermitRenewal, ...]
    recalled: tuple[str, ...]


@frozen
class HeldSlot:
    """A permit that takes its slot for up to `free_in` more seconds."""

    permit_id: str
    vm: str
    zone: str
    free_in: float


@frozen
class TargetHandover:
    """What the leaving holder of a cell knows of one target's load."""

    name: str
    is_warm: bool
    boot_ids: tuple[str, ...]
    held: tuple[HeldSlot, ...]
    is_draining: bool = False


@frozen
class CellHandover:
    """The state of a cell that a leaving holder sends to its successor.

    After it has created this message, the holder neither grants nor renews
    permits.
    """

    cell: str
    targets: tuple[TargetHandover, ...]
