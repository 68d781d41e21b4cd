"""What the deciding VM knows of one target from the fleet's own requests."""

import enum
import math
from typing import Final

from attrs import define, field, frozen

from jacinthcroft_decisions.internal.dispatch.documents import TargetEntry
from jacinthcroft_decisions.internal.dispatch.messages import (
    AskKey,
    Outcome,
)
from jacinthcroft_decisions.internal.dispatch.route_latencies import (
    ExpectedLatency,
)

# How long a target that failed is left alone, in seconds. After that it gets
# requests that may be repeated, and others only when nothing better is free;
# longer pauses cost more room than they save requests (docs/MEASURES.md).
AVOID_SECONDS: Final = 0.7
# Repeated failures double it up to this many seconds.
MAX_AVOID_SECONDS: Final = 3.0
# One error status is an ordinary answer; this many in a row are a sign.
ERRORS_IN_A_ROW: Final = 2
# Weight of the newest latency in a target's slowness.
LATENCY_WEIGHT: Final = 0.2
# A target this many times slower than usual is doubtful.
SLOW_FACTOR: Final = 2.5
# Added to latencies before they are compared, in seconds: that of a request of
# a few milliseconds says more of the way than of the target.
OVERHEAD_SECONDS: Final = 0.05
# A path that failed is left alone for so long, in seconds, per VM.
PATH_AVOID_SECONDS: Final = 4.0
# Connections are taken to be open for so long after their last use, in
# seconds; shorter than the idle timeouts that targets announce.
CONNECTED_SECONDS: Final = 7.0

# So many VMs without a path make it the target's fault.
PATHS_AGAINST_TARGET: Final = 3

_ANSWERED: Final = frozenset(
    (Outcome.SERVED, Outcome.ERROR, Outcome.SHED),
)
_TROUBLES: Final = frozenset(
    (Outcome.BROKEN, Outcome.SILENT, Outcome.STALE),
)


class Standing(enum.IntEnum):
    """How far a target is trusted, best first."""

    PROVEN = 0
    UNKNOWN = 1
    DOUBTFUL = 2
    AVOIDED = 3


@frozen
class Run:
    """A request that a target has, since when, and what is usual for it."""

    started: float
    expected_latency: ExpectedLatency


@define
class TargetRecord:
    """A target's load and evidence; times on the deciding VM's clock."""

    entry: TargetEntry
    cold_until: float
    running: dict[AskKey, Run] = field(factory=dict)
    paths: dict[str, float] = field(factory=dict)
    blocked_paths: dict[str, float] = field(factory=dict)
    # Mean of its latencies over what is usual on their routes.
    slowness: float | None = None
    last_used: float = -math.inf
    served_at: float = -math.inf
    # When the latest request was sent that was served: until then the target
    # was well.
    proven_at: float = -math.inf
    # Another target answers at its address: until its entry says otherwise.
    is_displaced: bool = False
    # Its last trouble was quick: it would use up all that waits.
    fails_fast: bool = False
    _trouble_at: float = -math.inf
    _avoid_seconds: float = AVOID_SECONDS
    _errors: int = 0

    @property
    def has_been_used(self) -> bool:
        """Whether it was ever sent a request."""
        return self.last_used > -math.inf

    def is_cold(self, now: float) -> bool:
        """Whether the target still warms up."""
        return now < self.cold_until

    def is_hanging(self, now: float) -> bool:
        """Whether a request runs for longer than such requests do."""
        return any(
            now > run.started + run.expected_latency.hang_seconds
            for run in self.running.values()
        )

    def standing(self, now: float) -> Standing:
        """Judges the target by its last answers and what is under way."""
        if now < self._trouble_at + self._avoid_seconds:
            return Standing.AVOIDED
        if self.is_hanging(now):
            return Standing.DOUBTFUL
        if self._trouble_at > self.served_at:
            return Standing.DOUBTFUL
        if self.slowness is None:
            return Standing.UNKNOWN
        if self.slowness > SLOW_FACTOR:
            return Standing.DOUBTFUL
        return Standing.PROVEN

    def may_be_tried(self, now: float) -> bool:
        """Whether a target that fails fast may get a request to find out.

        A slot that is free again at once is no sign of room: in a burst such
        a target would get request after request.
        """
        if not self.fails_fast:
            return True
        is_avoided = now < self._trouble_at + self._avoid_seconds
        return not is_avoided and not self.running

    def has_path_from(self, vm: str, now: float) -> bool:
        """Whether nothing speaks against sending from a VM."""
        return now >= self.blocked_paths.get(vm, -math.inf)

    def is_connected_to(self, vm: str, now: float) -> bool:
        """Whether the VM probably holds an idle connection to it."""
        return now < self.paths.get(vm, -math.inf) + CONNECTED_SECONDS

    def start(
        self, key: AskKey, expected_latency: ExpectedLatency, now: float
    ) -> None:
        """Counts a request that is sent."""
        self.running[key] = Run(now, expected_latency)
        self.last_used = now

    def finish(
        self,
        key: AskKey,
        outcome: Outcome,
        seconds: float,
        now: float,
    ) -> None:
        """Takes in how a send ended."""
        run = self.running.pop(key, Run(now, ExpectedLatency(seconds)))
        self._note_path(key[0], outcome, now)
        if outcome is Outcome.SERVED:
            self._take_success(seconds, run.expected_latency, now)
            self.proven_at = max(self.proven_at, run.started)
        elif outcome is Outcome.ERROR:
            self._take_error(now)
        elif outcome is Outcome.STALE:
            self._take_stale(now)
        elif self._is_against(outcome, run.started):
            self._take_trouble(now)
            self.fails_fast = seconds < run.expected_latency.mean_seconds

    def _note_path(self, vm: str, outcome: Outcome, now: float) -> None:
        if outcome in _ANSWERED:
            # The connection is good, whatever came over it.
            self.paths[vm] = now
        elif outcome in _TROUBLES:
            self.paths.pop(vm, None)
        elif outcome is Outcome.UNREACHABLE:
            self._block_path(vm, now)
        elif outcome is Outcome.MISPLACED:
            self.is_displaced = True

    def _is_against(self, outcome: Outcome, started: float) -> bool:
        if outcome is Outcome.SILENT:
            # An answer to a later request speaks for the target.
            return self.served_at <= started
        return outcome is Outcome.BROKEN

    def _take_stale(self, now: float) -> None:
        # It may have forgotten the connection, or reset the request: it is
        # doubtful until its next answer, but not left alone.
        if self._trouble_at <= self.served_at:
            self._trouble_at = now
            self._avoid_seconds = 0

    def _take_error(self, now: float) -> None:
        self._errors += 1
        if self._errors >= ERRORS_IN_A_ROW:
            self._take_trouble(now)
            self.fails_fast = True

    def _take_success(
        self, seconds: float, expected_latency: ExpectedLatency, now: float
    ) -> None:
        self._errors = 0
        self.fails_fast = False
        self.served_at = now
        self._avoid_seconds = AVOID_SECONDS
        usual = expected_latency.mean_seconds + OVERHEAD_SECONDS
        slowness = (seconds + OVERHEAD_SECONDS) / usual
        if self.slowness is None:
            self.slowness = slowness
        else:
            self.slowness += (slowness - self.slowness) * LATENCY_WEIGHT

    def _take_trouble(self, now: float) -> None:
        if self._trouble_at > self.served_at:
            doubled = max(AVOID_SECONDS, self._avoid_seconds * 2)
            self._avoid_seconds = min(MAX_AVOID_SECONDS, doubled)
        else:
            self._avoid_seconds = AVOID_SECONDS
        self._trouble_at = now

    def _block_path(self, vm: str, now: float) -> None:
        self.paths.pop(vm, None)
        self.blocked_paths = {
            other: until
            for other, until in self.blocked_paths.items()
            if until > now
        }
        self.blocked_paths[vm] = now + PATH_AVOID_SECONDS
        # Several VMs that cannot reach it speak against the target itself,
        # unless another one was served meanwhile.
        since = min(self.blocked_paths.values()) - PATH_AVOID_SECONDS
        is_against = self.served_at < since
        if is_against and len(self.blocked_paths) >= PATHS_AGAINST_TARGET:
            self._take_trouble(now)
            self.fails_fast = True
