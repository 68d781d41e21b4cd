"""Where a VM hears of a new revision of the published state.

The leader and its deputies read the platform. Every VM polls the leader and, in
turn, a deputy, so that it hears of a change although one of them is cut off,
paused or gone. A VM whose copy none of them keeps fresh reads the platform
itself.
"""

from typing import Final

from attrs import define

# How many followers read the platform beside their leader.
DEPUTY_COUNT: Final = 1
# Between polls of deputies, which are polled in turn.
DEPUTY_POLL_INTERVAL_SECONDS: Final = 0.4
# A VM reads the platform itself once its copy is older than this. A copy that
# the leader and the deputies keep fresh is younger, also if a poll is lost.
MAX_SHARED_COPY_AGE_SECONDS: Final = 1.3
# The same after a start, when the fleet may have no leader yet.
START_SECONDS: Final = 2.0


@define
class Sources:
    """The deputies of the leader, and whether this VM reads for others.

    `is_appointed` says that this VM is the leader or one of its deputies.
    """

    deputies: tuple[str, ...] = ()
    is_appointed: bool = False
    _started_at: float | None = None
    _next_poll_at: float = 0
    _next_index: int = 0

    def lead(self, successors: tuple[str, ...]) -> None:
        """Appoints the deputies of this VM, which leads."""
        self.is_appointed = True
        self.deputies = successors[:DEPUTY_COUNT]

    def follow(
        self, successors: tuple[str, ...], local_host: str, now: float
    ) -> None:
        """Takes the deputies from the reply to a poll of the leader."""
        deputies = successors[:DEPUTY_COUNT]
        # Between two polls of the leader.
        self._next_poll_at = now + DEPUTY_POLL_INTERVAL_SECONDS / 2
        self.is_appointed = local_host in deputies
        self.deputies = tuple(host for host in deputies if host != local_host)

    def reads_platform(self, copy_age: float, now: float) -> bool:
        """Whether this VM reads the published state from the platform.

        Args:
            copy_age: Seconds since the platform confirmed this VM's copy.
            now: The time.
        """
        if self._started_at is None:
            self._started_at = now
        if self.is_appointed or now < self._started_at + START_SECONDS:
            return self.is_appointed
        return copy_age > MAX_SHARED_COPY_AGE_SECONDS

    def hosts_to_poll(self, now: float) -> tuple[str, ...]:
        """Returns the deputy to poll now, if any."""
        if now < self._next_poll_at or not self.deputies:
            return ()
        self._next_poll_at = now + DEPUTY_POLL_INTERVAL_SECONDS
        self._next_index = (self._next_index + 1) % len(self.deputies)
        return (self.deputies[self._next_index],)
