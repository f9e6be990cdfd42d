"""Notice that this process stood still, and say so.

A machine that is suspended, or a loop that is held up, shows afterwards only in
what others saw. One line tells for how long nothing was done here.
"""

import logging

from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.timer import TimerService

logger = logging.getLogger(__name__)

LOOK_SECONDS = 0.5
# What a look may come late before it is worth a line, in seconds.
LATE_SECONDS = 0.5


class StallDetector:
    """Look at the clock now and then."""

    def __init__(self, timer: TimerService):
        self._timer = timer
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Begin to look."""
        self._tasks.spawn(self._look_forever())

    async def stop(self) -> None:
        """Stop looking."""
        await self._tasks.cancel()

    async def _look_forever(self) -> None:
        while True:
            before = self._timer.read_clock()
            await self._timer.sleep(LOOK_SECONDS)
            late = self._timer.read_clock() - before - LOOK_SECONDS
            if late > LATE_SECONDS:
                logger.warning("stood still", extra={"seconds": round(late, 3)})
