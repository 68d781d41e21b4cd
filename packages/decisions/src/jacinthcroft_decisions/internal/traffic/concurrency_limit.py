"""How many requests at once a target gets: cold start and shed load.

A cold target gets what the service file says it bears until it has answered
for long enough. Then the allowance grows by one for each round of answers,
and shrinks when the target sheds load.
"""

from jacinthcroft_config import TargetLimits

# An answer proves at most this long a stretch of the cold start.
EVIDENCE_GAP_SECONDS = 0.5
SHED_PAUSE_SECONDS = 0.1
_SHED_FACTOR = 0.5


class ConcurrencyLimit:
    """One target's allowance of concurrent requests."""

    def __init__(self, limits: TargetLimits, now: float) -> None:
        """Starts cold."""
        self._limits = limits
        self._allowance = float(limits.cold_slots)
        self._evidence_seconds: float = 0
        self._proved_until: float | None = None
        self._used_since: float | None = None
        self._paused_until = now
        self._is_cold = True

    @property
    def is_cold(self) -> bool:
        """Whether the target is in cold start."""
        return self._is_cold

    def allowed(self, now: float) -> int:
        """Returns the most concurrent requests for now."""
        if now < self._paused_until:
            return 0
        ceiling = self._limits.slots
        if self._is_cold:
            ceiling = min(ceiling, self._limits.cold_slots)
        return min(ceiling, max(1, int(self._allowance)))

    def may_overlap_cold_start(self, since: float) -> bool:
        """Whether a run begun at a time may have met the cold start.

        A target that has been used for the whole time that its cold start
        takes has no such excuse, whatever it answered.
        """
        if not self._is_cold or self._used_since is None:
            return False
        return since - self._used_since < self._limits.cold_start_seconds

    def reconfigure(self, limits: TargetLimits) -> None:
        """Puts new limits in force."""
        self._limits = limits
        self._allowance = min(self._allowance, float(limits.slots))

    def begin_cold_start(self) -> None:
        """Begins the cold start again."""
        self._is_cold = True
        self._evidence_seconds = 0
        self._proved_until = None
        self._used_since = None
        self._allowance = float(self._limits.cold_slots)

    def mark_warm(self) -> None:
        """Takes over the proof that another holder had."""
        self._is_cold = False
        self._allowance = float(self._limits.slots)

    def record_use(self, now: float) -> None:
        """Notes that the target gets work."""
        if self._used_since is None:
            self._used_since = now

    def record_answer(self, latency: float, now: float) -> None:
        """Counts an answered request."""
        if not self._is_cold:
            self._grow()
            return
        self._evidence_seconds += self._newly_proved(latency, now)
        self._proved_until = now
        if self._evidence_seconds >= self._limits.cold_start_seconds:
            self._is_cold = False
            self._allowance = max(self._allowance, 1.0)

    def record_shed(self, now: float) -> None:
        """Lowers the allowance, and pauses for a moment."""
        self._allowance = max(1.0, self._allowance * _SHED_FACTOR)
        self._paused_until = now + SHED_PAUSE_SECONDS

    def _newly_proved(self, latency: float, now: float) -> float:
        """How long a stretch an answer at `now` proves, in seconds."""
        if self._proved_until is None:
            return latency
        longest = max(EVIDENCE_GAP_SECONDS, latency)
        return min(longest, max(0, now - self._proved_until))

    def _grow(self) -> None:
        grown = self._allowance + 1 / max(1.0, self._allowance)
        self._allowance = min(float(self._limits.slots), grown)
