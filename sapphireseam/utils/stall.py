"""Detects and logs stalls of this process.

A suspended machine or a blocked event loop otherwise shows only in the logs of
other processes. One log line gives the length of the stall.
"""

import logging

from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.timer import TimerService

logger = logging.getLogger(__name__)

CHECK_SECONDS = 0.5
# Delay of a check above which a stall is logged, in seconds.
STALL_SECONDS = 0.5


class StallDetector:
    """Check the clock periodically and log a stall if a check is late."""

    def __init__(self, timer: TimerService):
        self._timer = timer
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Start the periodic checks."""
        self._tasks.keep(self._check_forever)

    async def stop(self) -> None:
        """Stop the checks."""
        await self._tasks.cancel()

    async def _check_forever(self) -> None:
        while True:
            before = self._timer.read_clock()
            await self._timer.sleep(CHECK_SECONDS)
            delay = self._timer.read_clock() - before - CHECK_SECONDS
            if delay > STALL_SECONDS:
                logger.warning("process stalled", extra={"seconds": round(delay, 3)})
