"""Which targets of a play were in use, by windows of time."""

from typing import Final

from attrs import define, field

# A window in which a target counts as used, in seconds.
WINDOW_SECONDS: Final = 2.0
# In a window in which more than this share of the requests is lost, at least
# the floor's share of the sound targets has to be in use. A target is sound
# again some seconds after an episode of failures.
MAX_LOST_SHARE: Final = 0.1
FLOOR_SHARE: Final = 0.7
SOUND_SECONDS: Final = 2.0


@define
class TargetUse:
    """The sends and losses of a play; times in seconds from its start.

    `episodes` holds the starts of each target's episodes of failures, which
    last `episode_seconds`.
    """

    seconds: float
    episode_seconds: float
    episodes: dict[str, list[float]]
    sends: list[tuple[float, str]] = field(factory=list)
    lost_at: list[float] = field(factory=list)

    @property
    def least_used_share(self) -> float:
        """The smallest share of the targets in use in a window."""
        windows: dict[int, set[str]] = {}
        for at, target in self.sends:
            windows.setdefault(int(at / WINDOW_SECONDS), set()).add(target)
        whole = range(1, int(self.seconds / WINDOW_SECONDS))
        used = [len(windows.get(window, ())) for window in whole]
        return min(used, default=0) / len(self.episodes)

    @property
    def floor_misses(self) -> int:
        """The windows in which too many sound targets were left unused.

        That is allowed while nearly all requests are served.
        """
        half_windows = int(2 * self.seconds / WINDOW_SECONDS)
        return sum(
            self._misses_floor(number * WINDOW_SECONDS / 2)
            for number in range(2, half_windows - 1)
        )

    def _misses_floor(self, start: float) -> bool:
        end = start + WINDOW_SECONDS
        lost = sum(start <= at < end for at in self.lost_at)
        sent = [target for at, target in self.sends if start <= at < end]
        if lost <= MAX_LOST_SHARE * len(sent):
            return False
        sound = {
            target
            for target, episodes in self.episodes.items()
            if self._is_sound(episodes, start)
        }
        return len(sound.intersection(sent)) < FLOOR_SHARE * len(sound)

    def _is_sound(self, episodes: list[float], start: float) -> bool:
        return not any(
            begun < start + WINDOW_SECONDS
            and start < begun + self.episode_seconds + SOUND_SECONDS
            for begun in episodes
        )
