"""Records the start time of this process, before the imports that take most time.

A program imports this module first. A previous process in the same place had ended
by `START_TIME`, so a wait for its leases and other promises to expire may count
from that time.
"""

import time

# Start time on the clock of `SystemTimer`, in seconds.
START_TIME = time.clock_gettime(time.CLOCK_BOOTTIME)


def measure() -> float:
    """Return the seconds since this process started."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - START_TIME
