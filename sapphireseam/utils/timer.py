"""Provides clocks, sleeps, timeouts and periodic callbacks to all parts.

The parts of a program read clocks and sleep only through a `TimerService`; a few
timeouts use the event loop's clock directly. Tests replace `SystemTimer` with
`FakeTimer` and advance its time explicitly, so timeouts, leases and elections run
deterministically and without waiting.
"""

import asyncio
import heapq
import itertools
import logging
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Protocol, TypeVar

logger = logging.getLogger(__name__)

T = TypeVar("T")


class Subscription:
    """Represent one periodic callback; `cancel` ends it."""

    def __init__(self, task: asyncio.Task):
        self._task = task

    def cancel(self) -> None:
        """Stop calling back."""
        self._task.cancel()


class TimerService(Protocol):
    """Read clocks, sleep and call subscribers back. All times are in seconds."""

    def read_clock(self) -> float:
        """Return a monotonic time, which isn't comparable across processes."""

    def read_wall_clock(self) -> float:
        """Return the time since the Unix epoch; it may jump."""

    async def sleep(self, seconds: float) -> None:
        """Return after `seconds`."""

    def limit(self, seconds: float) -> AbstractAsyncContextManager:
        """Return a context that raises `TimeoutError` in its body after `seconds`."""

    def subscribe(
        self, period: float, callback: Callable[[], Awaitable[None]]
    ) -> Subscription:
        """Call back every `period` seconds until cancelled."""


async def run_periodically(
    timer: TimerService, period: float, callback: Callable[[], Awaitable[None]]
) -> None:
    """Call back every `period` seconds, forever, in the caller's task.

    An error of one call is logged and doesn't end the later ones.
    """
    while True:
        await timer.sleep(period)
        try:
            await callback()
        except Exception:
            logger.exception("a periodic task failed")


async def wait_for(timer: TimerService, awaitable: Awaitable[T], seconds: float) -> T:
    """Return the awaitable's result, or raise `TimeoutError` after `seconds`."""
    async with timer.limit(seconds):
        return await awaitable


@asynccontextmanager
async def limit_by_sleep(timer: TimerService, seconds: float) -> AsyncIterator[None]:
    """Raise `TimeoutError` in the body once the timer's sleep has ended.

    This implements `TimerService.limit` for timers that are independent of the
    event loop's clock.
    """
    async with asyncio.timeout(None) as timeout:
        expiry = asyncio.create_task(_expire(timer, timeout, seconds))
        try:
            yield
        finally:
            expiry.cancel()


async def _expire(
    timer: TimerService, timeout: asyncio.Timeout, seconds: float
) -> None:
    await timer.sleep(seconds)
    timeout.reschedule(asyncio.get_running_loop().time())


class SystemTimer:
    """Use the machine's boot clock and the event loop's timers.

    Unlike the monotonic clock, the boot clock includes the time in which the machine
    was suspended. A lease must not be extended by a suspension.
    """

    def read_clock(self) -> float:
        """Return the time since the machine started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def read_wall_clock(self) -> float:
        """Return the machine's wall-clock time."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Return after `seconds`."""
        await asyncio.sleep(seconds)

    def limit(self, seconds: float) -> AbstractAsyncContextManager:
        """Return a context that raises `TimeoutError` in its body after `seconds`."""
        return asyncio.timeout(seconds)

    def subscribe(
        self, period: float, callback: Callable[[], Awaitable[None]]
    ) -> Subscription:
        """Call back every `period` seconds until cancelled."""
        return Subscription(
            asyncio.create_task(run_periodically(self, period, callback))
        )


class FakeTimer:
    """Simulate a clock that advances only when a test calls `advance`.

    `advance` wakes sleeping tasks in the order of their wake-up times. After each of
    them it lets the event loop run the tasks that became ready.
    """

    # Event loop iterations that suffice for a chain of tasks that wake each other.
    SETTLE_ITERATIONS = 50

    def __init__(self, start: float = 1000.0):
        self._now = start
        self._order = itertools.count()
        self._sleepers: list[tuple[float, int, asyncio.Future]] = []

    def read_clock(self) -> float:
        """Return the fake monotonic time."""
        return self._now

    def read_wall_clock(self) -> float:
        """Return the fake wall-clock time, which equals the monotonic time."""
        return self._now

    async def sleep(self, seconds: float) -> None:
        """Return once `advance` has reached the wake-up time."""
        future = asyncio.get_running_loop().create_future()
        entry = (self._now + max(seconds, 0.0), next(self._order), future)
        heapq.heappush(self._sleepers, entry)
        await future

    def limit(self, seconds: float) -> AbstractAsyncContextManager:
        """Return a context that raises `TimeoutError` after `seconds` of fake time."""
        return limit_by_sleep(self, seconds)

    def subscribe(
        self, period: float, callback: Callable[[], Awaitable[None]]
    ) -> Subscription:
        """Call back every `period` fake seconds until cancelled."""
        return Subscription(
            asyncio.create_task(run_periodically(self, period, callback))
        )

    async def settle(self) -> None:
        """Let ready tasks run, for `SETTLE_ITERATIONS` event loop iterations."""
        for _ in range(self.SETTLE_ITERATIONS):
            await asyncio.sleep(0)

    async def advance(self, seconds: float) -> None:
        """Advance the time, waking each sleeping task at its wake-up time."""
        target = self._now + seconds
        await self.settle()
        while self._sleepers and self._sleepers[0][0] <= target:
            due, _, future = heapq.heappop(self._sleepers)
            self._now = max(self._now, due)
            if not future.done():
                future.set_result(None)
                await self.settle()
        self._now = target
        await self.settle()
