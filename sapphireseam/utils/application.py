"""Own the parts of a program and their clean-up.

Each program is one application: parts are added in the order in which they
start and are stopped in the reverse order, also when a later one fails to
start. `seam-local` runs several applications in one loop.
"""

import asyncio
import gc
import logging
import signal
from collections.abc import Coroutine
from typing import Any, Protocol

from sapphireseam.utils import startup

logger = logging.getLogger(__name__)


class Part(Protocol):
    """Live as long as its application: started once, stopped once."""

    async def start(self) -> None:
        """Acquire what the part needs and begin its work."""

    async def stop(self) -> None:
        """Finish the part's work and release what it holds."""


class TaskGroup:
    """Keep a part's background tasks and end them together.

    A task that fails is logged with its cause, since nobody awaits it.
    """

    def __init__(self):
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Start a task that `cancel` will end."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

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
    """Start parts in order, run until told to stop, stop them in reverse."""

    def __init__(self, name: str):
        self.name = name
        self._parts: list[Part] = []
        self._started: list[Part] = []
        self._stopping = asyncio.Event()
        self._failure: Exception | None = None

    def add(self, part: Part) -> None:
        """Own one more part, started after those before it."""
        self._parts.append(part)

    def request_stop(self) -> None:
        """Ask `run` to stop the parts and return."""
        logger.info("stopping", extra={"program": self.name})
        self._stopping.set()

    def fail(self, failure: Exception) -> None:
        """Ask `run` to stop the parts and raise the failure."""
        self._failure = failure
        self._stopping.set()

    async def start(self) -> None:
        """Start every part; on a failure stop those that had started."""
        try:
            for part in self._parts:
                await part.start()
                self._started.append(part)
        except BaseException:
            await self.stop()
            raise
        took = round(startup.measure(), 3)
        logger.info("started", extra={"program": self.name, "took": took})

    async def stop(self) -> None:
        """Stop the parts that run, last started first."""
        while self._started:
            part = self._started.pop()
            try:
                await part.stop()
            except Exception:
                logger.exception("a part failed to stop")
        logger.info("stopped", extra={"program": self.name})

    async def run(self) -> None:
        """Run until SIGTERM, SIGINT or `request_stop`."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_stop)
        await self.start()
        # What was loaded lives until the end. Looking through it again in each
        # full collection would stop the loop for tens of milliseconds.
        gc.collect()
        gc.freeze()
        gc.enable()
        try:
            await self._stopping.wait()
        finally:
            await self.stop()
        if self._failure is not None:
            raise self._failure
