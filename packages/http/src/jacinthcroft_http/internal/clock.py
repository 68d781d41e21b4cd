"""The clock for all deadlines and expiry times of the fleet."""

import time


def now() -> float:
    """Returns the seconds since boot, including suspended time.

    `CLOCK_MONOTONIC` stops while a VM is suspended, so a lease that expired
    during the suspension would still look valid; `CLOCK_BOOTTIME` continues.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
