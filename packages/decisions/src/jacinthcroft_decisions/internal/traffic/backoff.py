"""How long a target or a path that failed again is left alone."""

from random import Random

from attrs import define

FIRST_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 60.0
# Behaving well for this many times the last pause ends the doubling.
CALM_FACTOR = 5.0
MIN_CALM_SECONDS = 30.0
_JITTER = 0.2


@define
class Backoff:
    """Pauses that double for what flaps."""

    _pause: float = 0
    _resumed_at: float = 0

    @property
    def pause(self) -> float:
        """The last pause in seconds, without its jitter; zero for none."""
        return self._pause

    def next_pause(self, now: float, random: Random) -> float:
        """Returns how long to wait from now on, in seconds."""
        calm = max(MIN_CALM_SECONDS, CALM_FACTOR * self._pause)
        if now - self._resumed_at >= calm:
            self._pause: float = 0
        self._pause = min(
            MAX_BACKOFF_SECONDS,
            max(FIRST_BACKOFF_SECONDS, 2 * self._pause),
        )
        # A target that stays away is not calm meanwhile.
        self._resumed_at = now + self._pause
        return self._pause * (1 + _JITTER * random.random())

    def resume(self, now: float) -> None:
        """Notes that the pause is over."""
        self._resumed_at = now
