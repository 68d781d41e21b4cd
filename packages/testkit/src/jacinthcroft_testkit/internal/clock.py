"""The clock that every stand-in and caller of one machine shares."""

import time


def boot_seconds() -> float:
    """Returns seconds since boot, counting time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
