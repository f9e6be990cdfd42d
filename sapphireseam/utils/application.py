"""Manages the life cycle of a program: starts its parts and stops them.

Each program is one application. Its parts start in the order in which they were
added and stop in the reverse order, also when a later part fails to start.
`seam-local` runs several applications in one event loop.
"""

import asyncio
import gc
import logging
import signal
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from sapphireseam.core import error
from sapphireseam.utils import startup
from sapphireseam.utils.grace import Grace

logger = logging.getLogger(__name__)

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# Pause before a background task that failed is started again, in seconds.
RESTART_SECONDS = 0.2
# Longest grace of an application that has failed, in seconds.
FAILURE_SECONDS = 1.0
# Share of the grace that a single part may use for its stop.
PART_SHARE = 0.97


class Part(Protocol):
    """Define the interface of a part, which is started once and stopped once."""

    async def start(self) -> None:
        """Acquire the part's resources and begin its work."""

    async def stop(self) -> None:
        """Finish the part's work and release its resources."""


class TaskGroup:
    """A part's background tasks, which can be cancelled together.

    A failed task is logged with its exception, since nobody awaits it.
    """

    def __init__(self):
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Start a background task, which `cancel` ends."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def keep(self, work: Callable[[], Coroutine[Any, Any, None]]) -> asyncio.Task:
        """Start a background task that is started again after an error.

        So one message or input that it can't handle doesn't end its work for good.
        """
        return self.spawn(self._run_again(work))

    async def _run_again(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        while True:
            try:
                return await work()
            except Exception:
                logger.exception("background task failed; it is started again")
            await asyncio.sleep(RESTART_SECONDS)

    def _finish(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("background task failed", exc_info=task.exception())

    async def cancel(self) -> None:
        """Cancel every task and wait until each has ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class Application:
    """Start parts in order, run until a stop is requested, and stop them in reverse.

    The stop as a whole ends within the grace. A part that needs longer is left.
    """

    def __init__(self, name: str, grace: Grace | None = None):
        self.name = name
        self.grace = grace or Grace()
        self._parts: list[Part] = []
        self._started: list[Part] = []
        self._stopping = asyncio.Event()
        self._is_stop_requested = False
        self._failure: Exception | None = None

    def add(self, part: Part) -> None:
        """Add a part, which starts after all earlier parts."""
        self._parts.append(part)

    def request_stop(self) -> None:
        """Make `run` stop the parts and return."""
        logger.info("stopping", extra={"program": self.name})
        self._is_stop_requested = True
        self.grace.begin()
        self._stopping.set()

    def fail(self, failure: Exception) -> None:
        """Make `run` stop the parts and raise the failure.

        What can't work on has a short grace, so that it is soon rebuilt.
        """
        self._failure = failure
        self.grace.seconds = min(self.grace.seconds, FAILURE_SECONDS)
        self.grace.begin()
        self._stopping.set()

    async def start(self) -> None:
        """Start every part; if one fails, stop the parts that have started."""
        try:
            for part in self._parts:
                await part.start()
                self._started.append(part)
        except BaseException:
            await self.stop()
            raise
        duration = round(startup.measure_uptime(), 3)
        logger.info("started", extra={"program": self.name, "took": duration})

    async def stop(self) -> None:
        """Stop the running parts, the last started first."""
        self.grace.begin()
        while self._started:
            part = self._started.pop()
            try:
                async with self.grace.timer.limit(self._compute_stop_limit()):
                    await part.stop()
            except TimeoutError:
                name = type(part).__name__
                logger.error("a part did not stop in time", extra={"part": name})
            except Exception:
                logger.exception("a part failed to stop")
        logger.info("stopped", extra={"program": self.name})

    def _compute_stop_limit(self) -> float:
        """Return the seconds that the next part has to stop.

        Parts that stop after one that hung share what that one had to leave.
        """
        return max(
            self.grace.read_remaining(PART_SHARE), self.grace.read_remaining() / 2
        )

    async def run(self) -> None:
        """Run until SIGTERM, SIGINT or `request_stop`.

        Raises the failure of a part, unless a stop was requested before or since.
        """
        failure = None
        self._handle_signals()
        try:
            await self._run_parts()
        except Exception as caught:
            failure = caught
        finally:
            # uvloop would leave its handlers in place, which do nothing any more.
            for number in STOP_SIGNALS:
                asyncio.get_running_loop().remove_signal_handler(number)
        if failure is None:
            return
        if not self._is_stop_requested:
            raise failure
        is_known = isinstance(failure, error.SeamError)
        logger.error(
            "failed while a stop was requested",
            extra={"cause": str(failure)},
            exc_info=None if is_known else failure,
        )

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self.request_stop)
            # The loop calls back later, and not at all if it ends before.
            signal.signal(number, self._record_stop)
            signal.siginterrupt(number, False)

    def _record_stop(self, number: int, frame: object) -> None:
        self._is_stop_requested = True
        self.grace.begin()

    async def _run_parts(self) -> None:
        await self.start()
        # Objects loaded so far live until the process ends. Scanning them again in
        # each full garbage collection would block the loop for tens of milliseconds.
        gc.collect()
        gc.freeze()
        gc.enable()
        try:
            await self._stopping.wait()
        finally:
            await self.stop()
        if self._failure is not None:
            raise self._failure
