"""Records the start time of this process, before the slow imports.

A program imports this module first, since imports take most of its startup time. The
process that this one replaces had ended by `START_TIME`, so a wait until its leases
and other promises expire can be counted from that time.
"""

import time

# Start time on the clock of `SystemTimer`, in seconds.
START_TIME = time.clock_gettime(time.CLOCK_BOOTTIME)


def measure_uptime() -> float:
    """Return the seconds since this process started."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - START_TIME
