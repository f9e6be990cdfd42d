"""Note when this process began, before the imports that take most of its start.

A program imports this first. Whatever ran before in the same place had ended by
then, so promises of that process need not be waited out from later than this.
"""

import time

# By the clock that `SystemTimer` reads, in seconds.
START_TIME = time.clock_gettime(time.CLOCK_BOOTTIME)


def measure() -> float:
    """Return the seconds since this process began."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - START_TIME
