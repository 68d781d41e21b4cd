"""What the deciding VM knows of one target from the attempts on it.

The deciding VM chooses the target of each attempt to have a request run; the
VM that sends the request reports the attempt's outcome.
"""

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
from jacinthcroft_decisions.internal.dispatch.target_holds import TargetHolds

# How long a target is avoided after a failure. Then it gets repeatable
# requests, and others only when no better target is free. Longer times cost
# more capacity than they save requests (docs/MEASURES.md).
AVOID_SECONDS: Final = 0.7
# Each further failure without a success in between doubles the time for which
# the target is avoided, up to this maximum.
MAX_AVOID_SECONDS: Final = 3.0
# A target that has been failing for longer will probably not recover soon.
LONG_FAILING_SECONDS: Final = 5.0
# A target that fails by itself is expected back after this time.
RECENT_FAILURE_SECONDS: Final = 2.0
# A single response with an error status is an ordinary response. This many
# without a success in between count as a failure of the target.
MIN_ERROR_STREAK: Final = 2
# An error within this share of the expected latency is no response to the
# request itself: the target fails whatever it gets. One is enough for requests
# that may run only once; others can find out whether it serves again.
QUICK_ERROR_SHARE: Final = 0.3
# Weight of the newest latency in a target's slowness.
NEWEST_LATENCY_WEIGHT: Final = 0.2
# A target whose slowness exceeds this factor is doubtful.
SLOW_FACTOR: Final = 2.5
# Added to the measured and the expected latency before they are compared: the
# latency of a request of a few milliseconds depends more on the network than
# on the target.
NETWORK_OVERHEAD_SECONDS: Final = 0.05
# How long a VM sends nothing to a target that it could not reach.
PATH_AVOID_SECONDS: Final = 4.0
# A connection is assumed to be open this long after its last use. Shorter
# than the idle timeouts that targets announce.
ASSUMED_OPEN_SECONDS: Final = 7.0

# A target that this many VMs cannot reach counts as failed itself.
MIN_VMS_WITHOUT_PATH: Final = 3

# Outcomes that show that the target is alive.
RESPONSE_OUTCOMES: Final = frozenset(
    (Outcome.SERVED, Outcome.ERROR, Outcome.SHED),
)
_CONNECTION_FAILURES: Final = frozenset(
    (Outcome.BROKEN, Outcome.SILENT, Outcome.STALE),
)


class TrustLevel(enum.IntEnum):
    """How likely a target is to serve the next request.

    Higher numbers mean less trust.
    """

    # Its last attempts were served at the usual latency.
    PROVEN = 0
    # It has served nothing yet, and has not failed either.
    UNKNOWN = 1
    # It has failed since it last served a request, has a request that hangs,
    # or is slow.
    DOUBTFUL = 2
    # It failed a moment ago.
    AVOIDED = 3


@frozen
class RunningRequest:
    """A request that a target is running, and its expected latency."""

    started: float
    expected_latency: ExpectedLatency


@define
class TargetRecord:
    """A target's load and recent outcomes; times on the deciding VM's clock.

    The target is cold, which means that it is still warming up after its
    start, until `cold_until`. `paths` maps each VM to the time of its last
    response from the target. `blocked_paths` maps each VM that could not reach
    the target to the time until which it sends nothing there. `slowness` is
    the moving mean of the target's latencies, each divided by the expected
    latency of its route. `tie_break` orders targets that are otherwise equal.
    """

    entry: TargetEntry
    cold_until: float
    tie_break: int = 0
    running: dict[AskKey, RunningRequest] = field(factory=dict)
    paths: dict[str, float] = field(factory=dict)
    blocked_paths: dict[str, float] = field(factory=dict)
    slowness: float | None = None
    last_used_at: float = -math.inf
    served_at: float = -math.inf
    # Start of the newest attempt that was served: the target was healthy at
    # least until then.
    proven_at: float = -math.inf
    # Another target responds at this target's address. Reset when the
    # target's entry changes.
    has_lost_address: bool = False
    # Its last failure was quick. Such a target frees its slots at once and
    # could fail every queued request.
    fails_fast: bool = False
    # When it last served any request, also one from before its last failure.
    _answered_at: float = -math.inf
    # When it last responded with an error much sooner than usual.
    _erred_at: float = -math.inf
    _failed_at: float = -math.inf
    # Start of the newest attempt that failed: a request that was already
    # running then and is served later does not show that the target recovered.
    _failure_started: float = -math.inf
    # When it first failed since it last served a request.
    _failing_since: float = -math.inf
    _avoid_seconds: float = AVOID_SECONDS
    _error_streak: int = 0
    holds: TargetHolds = field(factory=TargetHolds)

    @property
    def has_been_used(self) -> bool:
        """Whether this deciding VM has granted a request to the target."""
        return self.last_used_at > -math.inf

    def is_cold(self, now: float) -> bool:
        """Whether the target is still warming up after its start."""
        return now < self.cold_until

    def has_hanging_request(self, now: float) -> bool:
        """Whether a request has been running for so long that it hangs."""
        return any(
            now > request.started + request.expected_latency.hang_seconds
            for request in self.running.values()
        )

    def assess_trust_once(self, now: float) -> TrustLevel:
        """Returns the trust for a request that may run only once.

        A single quick error is enough to send it elsewhere.
        """
        trust = self.assess_trust(now)
        if now < self._erred_at + AVOID_SECONDS:
            return TrustLevel.AVOIDED
        if self._erred_at > self.served_at:
            return max(trust, TrustLevel.DOUBTFUL)
        return trust

    def assess_trust(self, now: float) -> TrustLevel:
        """Returns the trust that its outcomes and running requests justify."""
        if now < self._failed_at + self._avoid_seconds:
            return TrustLevel.AVOIDED
        if self.has_hanging_request(now):
            return TrustLevel.DOUBTFUL
        if self._failed_at > self.served_at:
            return TrustLevel.DOUBTFUL
        if self.slowness is None:
            return TrustLevel.UNKNOWN
        if self.slowness > SLOW_FACTOR:
            return TrustLevel.DOUBTFUL
        return TrustLevel.PROVEN

    def has_just_failed(self, now: float) -> bool:
        """Whether it failed so recently that it may well still fail."""
        return now < self._failed_at + RECENT_FAILURE_SECONDS

    def may_get_request(self, now: float) -> bool:
        """Whether the target's recent failures allow a request now.

        A target that fails fast gets one request at a time, and none for a
        while after its last failure. Its free slots do not mean that it has
        capacity: in a burst it would get one request after the other and fail
        them all.
        """
        if not self.fails_fast:
            return True
        # While requests wait, capacity that has come back is worth some
        # failures, but not of a target that has been failing for long.
        pause = AVOID_SECONDS
        if self._failed_at > self._failing_since + LONG_FAILING_SECONDS:
            pause = MAX_AVOID_SECONDS
        return now >= self._failed_at + pause and not self.running

    def is_held_for(self, vm: str, now: float) -> bool:
        """Whether the target has asked for a wait that binds the VM.

        After a wait, it gets one request at a time until one is served.
        """
        if self.holds.is_clear:
            return False
        if self.holds.ends_at(vm, now) > now:
            return True
        return self.holds.is_untested and bool(self.running)

    def has_path_from(self, vm: str, now: float) -> bool:
        """Whether the VM has not recently failed to reach the target."""
        return now >= self.blocked_paths.get(vm, -math.inf)

    def is_connected_to(self, vm: str, now: float) -> bool:
        """Whether the VM probably holds an idle connection to the target."""
        return now < self.paths.get(vm, -math.inf) + ASSUMED_OPEN_SECONDS

    def start_request(
        self,
        key: AskKey,
        expected_latency: ExpectedLatency,
        now: float,
    ) -> None:
        """Counts a request that is sent to the target."""
        self.running[key] = RunningRequest(now, expected_latency)
        self.last_used_at = now

    def finish_request(
        self,
        key: AskKey,
        outcome: Outcome,
        seconds: float,
        now: float,
    ) -> None:
        """Records how an attempt on the target ended."""
        request = self.running.pop(
            key,
            RunningRequest(now, ExpectedLatency(seconds)),
        )
        self._update_path(key[0], outcome, now)
        if outcome is Outcome.SERVED:
            self._record_success(request, seconds, now)
        elif outcome is Outcome.ERROR:
            self._record_error(request, seconds, now)
        elif outcome is Outcome.STALE:
            self._record_stale_connection(now)
        elif self._is_failure(outcome, request.started):
            self._record_failure(request.started, now)
            self.fails_fast = seconds < request.expected_latency.mean_seconds

    def _update_path(self, vm: str, outcome: Outcome, now: float) -> None:
        if outcome in RESPONSE_OUTCOMES:
            # Even an error response shows that the connection works.
            self.paths[vm] = now
        elif outcome in _CONNECTION_FAILURES:
            self.paths.pop(vm, None)
        elif outcome is Outcome.UNREACHABLE:
            self._block_path(vm, now)
        elif outcome is Outcome.MISPLACED:
            self.has_lost_address = True

    def _is_failure(self, outcome: Outcome, started: float) -> bool:
        if outcome is Outcome.SILENT:
            # A response after this request was sent shows that the target
            # was healthy meanwhile.
            return self._answered_at <= started
        return outcome is Outcome.BROKEN

    def _record_stale_connection(self, now: float) -> None:
        # The target may have dropped the idle connection or reset the
        # request itself. It is doubtful until it next serves a request, but
        # not avoided.
        if self._failed_at <= self.served_at:
            self._failing_since = now
            self._failed_at = now
            self._avoid_seconds = 0

    def _record_error(
        self, request: RunningRequest, seconds: float, now: float
    ) -> None:
        self._error_streak += 1
        mean_seconds = request.expected_latency.mean_seconds
        if seconds < QUICK_ERROR_SHARE * mean_seconds:
            self._erred_at = now
            self._failure_started = max(self._failure_started, request.started)
        if self._error_streak >= MIN_ERROR_STREAK:
            self._record_failure(request.started, now)
            self.fails_fast = True

    def _record_success(
        self, request: RunningRequest, seconds: float, now: float
    ) -> None:
        self.proven_at = max(self.proven_at, request.started)
        self.holds.record_served(request.started)
        self._answered_at = now
        if request.started >= self._failure_started:
            self._error_streak = 0
            self.fails_fast = False
            self.served_at = now
            self._avoid_seconds = AVOID_SECONDS
        usual_seconds = (
            request.expected_latency.mean_seconds + NETWORK_OVERHEAD_SECONDS
        )
        slowness = (seconds + NETWORK_OVERHEAD_SECONDS) / usual_seconds
        if self.slowness is None:
            self.slowness = slowness
        else:
            self.slowness += (slowness - self.slowness) * NEWEST_LATENCY_WEIGHT

    def _record_failure(self, started: float, now: float) -> None:
        if self._failed_at > self.served_at:
            doubled_seconds = max(AVOID_SECONDS, self._avoid_seconds * 2)
            self._avoid_seconds = min(MAX_AVOID_SECONDS, doubled_seconds)
        else:
            self._avoid_seconds = AVOID_SECONDS
            self._failing_since = now
        self._failed_at = now
        self._failure_started = max(self._failure_started, started)

    def _block_path(self, vm: str, now: float) -> None:
        self.paths.pop(vm, None)
        self.blocked_paths = {
            other: until
            for other, until in self.blocked_paths.items()
            if until > now
        }
        self.blocked_paths[vm] = now + PATH_AVOID_SECONDS
        # If several VMs cannot reach the target, the target itself has
        # failed, unless it served another VM meanwhile.
        first_blocked_at = min(self.blocked_paths.values()) - PATH_AVOID_SECONDS
        is_failed = self.served_at < first_blocked_at
        if is_failed and len(self.blocked_paths) >= MIN_VMS_WITHOUT_PATH:
            self._record_failure(now, now)
            self.fails_fast = True
