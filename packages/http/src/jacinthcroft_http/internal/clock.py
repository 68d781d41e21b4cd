"""The clock that every deadline and expiry of the fleet is counted on."""

import time


def now() -> float:
    """Returns the seconds since boot, counting those spent suspended.

    `CLOCK_MONOTONIC` stops while a VM is suspended, so a lease would look
    fresh to a process that wakes late; `CLOCK_BOOTTIME` goes on.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
