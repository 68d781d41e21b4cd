"""Exponential backoff for a target or a path that fails repeatedly."""

from random import Random

from attrs import define

MIN_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 60.0
# After a time without failures the next delay is MIN_BACKOFF_SECONDS again.
# That time is this many times the last delay, and at least MIN_STABLE_SECONDS.
STABLE_FACTOR = 5.0
MIN_STABLE_SECONDS = 30.0
# The random part that is added to a delay, at most, as a share of the delay.
_JITTER_SHARE = 0.2


@define
class Backoff:
    """How long a target or path that has failed stays out of use.

    The delays double while failures come soon after one another.
    """

    _delay: float = 0
    _resumed_at: float = 0

    @property
    def delay(self) -> float:
        """The last delay in seconds without its jitter; zero if none."""
        return self._delay

    def begin_delay(self, now: float, random: Random) -> float:
        """Begins the next delay; returns its length in seconds."""
        stable_seconds = max(MIN_STABLE_SECONDS, STABLE_FACTOR * self._delay)
        if now - self._resumed_at >= stable_seconds:
            self._delay: float = 0
        self._delay = min(
            MAX_BACKOFF_SECONDS,
            max(MIN_BACKOFF_SECONDS, 2 * self._delay),
        )
        # The delay itself does not count as time without failures.
        self._resumed_at = now + self._delay
        return self._delay * (1 + _JITTER_SHARE * random.random())

    def end_delay(self, now: float) -> None:
        """Records that the target or path is in use again."""
        self._resumed_at = now
