"""Limits the concurrent requests of a target by cold start and shed load.

Just after its process has started, a target is in its cold start: it may be
slow, and gets at most `cold_slots` requests at a time, until its answers cover
`cold_start_seconds` (both from the service file). The limit of a warm target
grows by one for each round of answers, as many as the limit, and shrinks when
the target sheds load, that is, refuses a request because it is overloaded.
"""

from jacinthcroft_config import TargetLimits

# One answer counts for at most this much of the cold start, or for its own
# latency if that is longer.
MAX_ANSWER_CREDIT_SECONDS = 0.5
# After it has shed load, a target gets no requests for this long.
SHED_PAUSE_SECONDS = 0.1
# A target that sheds load keeps this share of its limit.
_SHED_LIMIT_FACTOR = 0.5


class ConcurrencyLimit:
    """The limit of concurrent requests to one target."""

    def __init__(self, limits: TargetLimits, now: float) -> None:
        """Starts with a cold start."""
        self._limits = limits
        self._adaptive_limit = float(limits.cold_slots)
        self._covered_seconds: float = 0
        self._last_answer_at: float | None = None
        self._first_used_at: float | None = None
        self._paused_until = now
        self._is_cold = True

    @property
    def is_cold(self) -> bool:
        """Whether the target is in its cold start."""
        return self._is_cold

    def allowed(self, now: float) -> int:
        """Returns the limit that is in force now."""
        if now < self._paused_until:
            return 0
        ceiling = self._limits.slots
        if self._is_cold:
            ceiling = min(ceiling, self._limits.cold_slots)
        return min(ceiling, max(1, int(self._adaptive_limit)))

    def may_overlap_cold_start(self, since: float) -> bool:
        """Whether a request sent at `since` may have met the cold start.

        The cold start excuses slow answers only for the time that it takes,
        counted from the target's first use, whatever the target answered.
        """
        if not self._is_cold or self._first_used_at is None:
            return False
        return since - self._first_used_at < self._limits.cold_start_seconds

    def reconfigure(self, limits: TargetLimits) -> None:
        """Replaces the limits of the service file."""
        self._limits = limits
        self._adaptive_limit = min(self._adaptive_limit, float(limits.slots))

    def begin_cold_start(self) -> None:
        """Begins the cold start again."""
        self._is_cold = True
        self._covered_seconds = 0
        self._last_answer_at = None
        self._first_used_at = None
        self._adaptive_limit = float(self._limits.cold_slots)

    def mark_warm(self) -> None:
        """Ends the cold start.

        The VM that managed the target before has already seen it end.
        """
        self._is_cold = False
        self._adaptive_limit = float(self._limits.slots)

    def record_use(self, now: float) -> None:
        """Records that the target gets a request."""
        if self._first_used_at is None:
            self._first_used_at = now

    def record_answer(self, latency: float, now: float) -> None:
        """Raises the limit of a warm target.

        Counts the answer of a cold target towards the end of its cold start.
        """
        if not self._is_cold:
            self._raise_limit()
            return
        self._covered_seconds += self._compute_answer_credit(latency, now)
        self._last_answer_at = now
        if self._covered_seconds >= self._limits.cold_start_seconds:
            self._is_cold = False
            self._adaptive_limit = max(self._adaptive_limit, 1.0)

    def record_shed(self, now: float) -> None:
        """Lowers the limit and pauses requests to the target briefly."""
        self._adaptive_limit = max(
            1.0, self._adaptive_limit * _SHED_LIMIT_FACTOR
        )
        self._paused_until = now + SHED_PAUSE_SECONDS

    def _compute_answer_credit(self, latency: float, now: float) -> float:
        """Returns the seconds of the cold start that an answer covers."""
        if self._last_answer_at is None:
            return latency
        max_credit = max(MAX_ANSWER_CREDIT_SECONDS, latency)
        return min(max_credit, max(0, now - self._last_answer_at))

    def _raise_limit(self) -> None:
        raised = self._adaptive_limit + 1 / max(1.0, self._adaptive_limit)
        self._adaptive_limit = min(float(self._limits.slots), raised)
