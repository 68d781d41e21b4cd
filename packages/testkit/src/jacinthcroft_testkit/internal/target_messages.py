"""What a stand-in target is told: its traits, faults and commands."""

import enum

from attrs import field, frozen

from jacinthcroft_testkit.internal.history import Run


class Behaviour(enum.Enum):
    """How a target treats one request.

    `STALL` holds the request for `stall_seconds` and then answers; `LATE`
    does the same for `late_seconds`. `CUT` breaks the answer off in its
    body, `CROSS` gives the answer to the request before.
    """

    ANSWER = 'answer'
    STALL = 'stall'
    LATE = 'late'
    ERROR = 'error'
    RESET = 'reset'
    CUT = 'cut'
    CROSS = 'cross'


@frozen
class Traits:
    """What a target is like while nothing is wrong.

    The time of a run is log-normal with the median `service_ms` and
    `spread` as its sigma. In cold start it is `cold_factor` times as long,
    and more than `cold_slots` requests at once stall everything for
    `fall_seconds`.
    """

    slots: int = 2
    cold_slots: int = 1
    service_ms: float = 10
    spread: float = 0.2
    probe_ms: float = 25
    cold_seconds: float = 3
    cold_factor: float = 3
    fall_seconds: float = 3
    restart_seconds: float = 0.5
    is_cold_at_start: bool = False


@frozen
class Faults:
    """What is wrong with a target.

    `shares` are the parts of all requests that meet a behaviour.
    `claimed_health` and `claimed_running` are what `/health` and `/load`
    say, None for the truth. A request whose path holds `crash_marker`
    crashes the target.
    """

    shares: dict[Behaviour, float] = field(factory=dict)
    stall_seconds: float = 30
    late_seconds: float = 3
    slowness: float = 1
    is_shedding: bool = True
    is_draining: bool = False
    crash_marker: str = ''
    claimed_health: bool | None = None
    claimed_running: int | None = None


@frozen
class AddTargets:
    """Creates targets on free ports; the reply is `TargetPorts`."""

    names: tuple[str, ...]
    traits: Traits = field(factory=Traits)
    seed: int = 0


@frozen
class TargetPorts:
    """Where new targets listen, `host:port` by name."""

    ports: dict[str, str]


@frozen
class SetFaults:
    """Sets the faults of all targets that fit a pattern; reply `Count`."""

    pattern: str
    faults: Faults = field(factory=Faults)


@frozen
class TurnCold:
    """Makes targets cold without any sign; the reply is `Count`."""

    pattern: str


@frozen
class Restart:
    """Crashes targets, which come back cold; the reply is `Count`."""

    pattern: str


@frozen
class ReadJournal:
    """Asks for the runs on targets that fit a pattern; reply `Journal`."""

    pattern: str = '*'


@frozen
class Journal:
    """All runs so far, how often each target shed and was probed."""

    runs: tuple[Run, ...]
    sheds: dict[str, int]
    probes: dict[str, int]
