"""Which requests a VM takes during a planned stop.

This answers the load of a planned stop: requests still arrive while callers
are being led to other VMs, and on connections that are already open. One that
is taken late may still be running when the process has to end.
"""

from typing import Final, Self

from attrs import frozen

# Time between the stop signal and closing the callers' port, in which whatever
# sends callers to this VM finds it not ready by two checks a second apart.
NOTICE_SECONDS: Final = 2.6
# The part of the grace that is left for responses and closing, and its maximum.
CLOSE_SHARE: Final = 0.08
MAX_CLOSE_SECONDS: Final = 0.5


@frozen
class StopPlan:
    """The times of a planned stop, on the VM's clock.

    Until `notice_until`, callers are still being sent to this VM. Requests that
    are running at `given_up_at` are given up, and their responses are written
    until `responses_until`.
    """

    notice_until: float
    given_up_at: float
    responses_until: float

    @classmethod
    def from_grace(cls, grace_seconds: float, now: float) -> Self:
        """Returns the plan of a stop that begins now.

        Args:
            grace_seconds: The time from now to the end of the process.
            now: The current time.
        """
        notice = min(NOTICE_SECONDS, grace_seconds / 2)
        closing = min(MAX_CLOSE_SECONDS, grace_seconds * CLOSE_SHARE)
        end = now + grace_seconds
        return cls(now + notice, end - closing, end - closing / 2)

    @classmethod
    def from_waits(cls, notice: float, wait: float, now: float) -> Self:
        """Returns the plan of a stop that begins now.

        Args:
            notice: Seconds in which callers are still being sent to this VM.
            wait: Seconds after it in which running requests may end.
            now: The current time.
        """
        given_up_at = now + notice + wait
        return cls(now + notice, given_up_at, given_up_at + MAX_CLOSE_SECONDS)

    def may_take(self, expires: float, now: float) -> bool:
        """Whether to take a request that waits for its response to `expires`.

        During the notice, most requests have time to end. Later, a request is
        taken only if its response comes or its time ends before it would be
        given up; another VM can serve it instead.
        """
        return now < self.notice_until or expires <= self.given_up_at
