"""Limits the concurrent requests of a target by cold start and shed load.

A cold target gets at most the cold slots of the service file, until its
answers cover the time that its cold start takes. The limit of a warm target
grows by one for each round of answers and shrinks when it sheds load.
"""

from jacinthcroft_config import TargetLimits

# One answer counts for at most this much of the cold start, or for its own
# latency if that is longer.
MAX_ANSWER_CREDIT_SECONDS = 0.5
# After it has shed load, a target gets no requests for this long.
SHED_PAUSE_SECONDS = 0.1
_SHED_FACTOR = 0.5


class ConcurrencyLimit:
    """The limit of concurrent requests to one target."""

    def __init__(self, limits: TargetLimits, now: float) -> None:
        """Starts in the cold start."""
        self._limits = limits
        self._allowance = float(limits.cold_slots)
        self._credited_seconds: float = 0
        self._credited_until: float | None = None
        self._used_since: float | None = None
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
        return min(ceiling, max(1, int(self._allowance)))

    def may_overlap_cold_start(self, since: float) -> bool:
        """Whether a run that began at `since` may have met the cold start.

        The cold start excuses slow runs only for the time that it takes,
        counted from the target's first use, whatever the target answered.
        """
        if not self._is_cold or self._used_since is None:
            return False
        return since - self._used_since < self._limits.cold_start_seconds

    def reconfigure(self, limits: TargetLimits) -> None:
        """Replaces the limits of the service file."""
        self._limits = limits
        self._allowance = min(self._allowance, float(limits.slots))

    def begin_cold_start(self) -> None:
        """Begins the cold start again."""
        self._is_cold = True
        self._credited_seconds = 0
        self._credited_until = None
        self._used_since = None
        self._allowance = float(self._limits.cold_slots)

    def mark_warm(self) -> None:
        """Ends the cold start, since the cell's previous VM saw it end."""
        self._is_cold = False
        self._allowance = float(self._limits.slots)

    def record_use(self, now: float) -> None:
        """Records that the target gets a request."""
        if self._used_since is None:
            self._used_since = now

    def record_answer(self, latency: float, now: float) -> None:
        """Counts an answer towards the cold start or a higher limit."""
        if not self._is_cold:
            self._raise_allowance()
            return
        self._credited_seconds += self._answer_credit(latency, now)
        self._credited_until = now
        if self._credited_seconds >= self._limits.cold_start_seconds:
            self._is_cold = False
            self._allowance = max(self._allowance, 1.0)

    def record_shed(self, now: float) -> None:
        """Lowers the limit and pauses requests to the target briefly."""
        self._allowance = max(1.0, self._allowance * _SHED_FACTOR)
        self._paused_until = now + SHED_PAUSE_SECONDS

    def _answer_credit(self, latency: float, now: float) -> float:
        """Returns the seconds of the cold start that an answer covers."""
        if self._credited_until is None:
            return latency
        max_credit = max(MAX_ANSWER_CREDIT_SECONDS, latency)
        return min(max_credit, max(0, now - self._credited_until))

    def _raise_allowance(self) -> None:
        raised = self._allowance + 1 / max(1.0, self._allowance)
        self._allowance = min(float(self._limits.slots), raised)
