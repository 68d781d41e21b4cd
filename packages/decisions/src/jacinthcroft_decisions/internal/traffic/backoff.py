"""How long a target or a path that failed again is left alone."""

from random import Random

from attrs import define

MIN_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 60.0
# Behaving well for this many times the last pause ends the doubling.
STABLE_FACTOR = 5.0
MIN_STABLE_SECONDS = 30.0
_JITTER_SHARE = 0.2


@define
class Backoff:
    """Pauses that double for what flaps."""

    _delay: float = 0
    _resumed_at: float = 0

    @property
    def delay(self) -> float:
        """The last pause in seconds, without its jitter; zero for none."""
        return self._delay

    def begin_delay(self, now: float, random: Random) -> float:
        """Returns how long to wait from now on, in seconds."""
        stable = max(MIN_STABLE_SECONDS, STABLE_FACTOR * self._delay)
        if now - self._resumed_at >= stable:
            self._delay: float = 0
        self._delay = min(
            MAX_BACKOFF_SECONDS,
            max(MIN_BACKOFF_SECONDS, 2 * self._delay),
        )
        # A target that stays away is not stable meanwhile.
        self._resumed_at = now + self._delay
        return self._delay * (1 + _JITTER_SHARE * random.random())

    def end_delay(self, now: float) -> None:
        """Notes that the pause is over."""
        self._resumed_at = now
