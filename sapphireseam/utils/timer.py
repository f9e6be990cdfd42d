"""Give every part its time from one service that parts subscribe to.

Nothing else in the project reads a clock or sleeps. A test swaps `SystemTimer`
for `FakeTimer` and moves time by hand, so timeouts, leases and elections run
without waiting and the same way every time.
"""

import asyncio
import heapq
import itertools
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Protocol, TypeVar

T = TypeVar("T")


class Subscription:
    """Hold one subscriber's place; `cancel` ends it."""

    def __init__(self, task: asyncio.Task):
        self._task = task

    def cancel(self) -> None:
        """Stop calling the subscriber."""
        self._task.cancel()


class TimerService(Protocol):
    """Tell the time and wake subscribers. All times are in seconds."""

    def read_clock(self) -> float:
        """Return a monotonic time; it means nothing to another process."""

    def read_wall_clock(self) -> float:
        """Return the time since the Unix epoch; it may jump."""

    async def sleep(self, seconds: float) -> None:
        """Return after so many seconds."""

    def limit(self, seconds: float) -> AbstractAsyncContextManager:
        """Return a context whose body raises `TimeoutError` after the time."""

    def subscribe(
        self, period: float, callback: Callable[[], Awaitable[None]]
    ) -> Subscription:
        """Call back every `period` seconds until cancelled."""


async def run_periodically(
    timer: TimerService, period: float, callback: Callable[[], Awaitable[None]]
) -> None:
    """Call back once a period, forever, on the caller's task."""
    while True:
        await timer.sleep(period)
        await callback()


async def wait_for(timer: TimerService, awaitable: Awaitable[T], seconds: float) -> T:
    """Return the awaitable's result, or raise `TimeoutError` in timer time."""
    async with timer.limit(seconds):
        return await awaitable


@asynccontextmanager
async def limit_by_sleep(timer: TimerService, seconds: float) -> AsyncIterator[None]:
    """Raise `TimeoutError` in the body once the timer's sleep has ended.

    This is `TimerService.limit` for timers that the event loop knows nothing of.
    """
    async with asyncio.timeout(None) as timeout:
        alarm = asyncio.create_task(_ring(timer, timeout, seconds))
        try:
            yield
        finally:
            alarm.cancel()


async def _ring(timer: TimerService, timeout: asyncio.Timeout, seconds: float) -> None:
    await timer.sleep(seconds)
    timeout.reschedule(asyncio.get_running_loop().time())


class SystemTimer:
    """Read the machine's boot clock and the event loop's timers.

    The boot clock counts the time in which the machine was suspended, which the
    monotonic one leaves out: a lease must not outlive that.
    """

    def read_clock(self) -> float:
        """Return the time since the machine's start."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def read_wall_clock(self) -> float:
        """Return the machine's wall time."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Return after so many seconds."""
        await asyncio.sleep(seconds)

    def limit(self, seconds: float) -> AbstractAsyncContextManager:
        """Return a context whose body raises `TimeoutError` after the time."""
        return asyncio.timeout(seconds)

    def subscribe(
        self, period: float, callback: Callable[[], Awaitable[None]]
    ) -> Subscription:
        """Call back every `period` seconds until cancelled."""
        return Subscription(
            asyncio.create_task(run_periodically(self, period, callback))
        )


class FakeTimer:
    """Move time only when a test says so.

    `advance` wakes sleepers in the order of their time and lets the event loop
    run dry between them.
    """

    # Enough turns of the loop for a chain of woken tasks to settle.
    SETTLE_TURNS = 50

    def __init__(self, start: float = 1000.0):
        self._now = start
        self._order = itertools.count()
        self._sleepers: list[tuple[float, int, asyncio.Future]] = []

    def read_clock(self) -> float:
        """Return the fake monotonic time."""
        return self._now

    def read_wall_clock(self) -> float:
        """Return the fake wall time, which runs with the monotonic one."""
        return self._now

    async def sleep(self, seconds: float) -> None:
        """Return once a test has advanced past the time."""
        future = asyncio.get_running_loop().create_future()
        entry = (self._now + max(seconds, 0.0), next(self._order), future)
        heapq.heappush(self._sleepers, entry)
        await future

    def limit(self, seconds: float) -> AbstractAsyncContextManager:
        """Return a context whose body raises `TimeoutError` after fake time."""
        return limit_by_sleep(self, seconds)

    def subscribe(
        self, period: float, callback: Callable[[], Awaitable[None]]
    ) -> Subscription:
        """Call back every `period` fake seconds until cancelled."""
        return Subscription(
            asyncio.create_task(run_periodically(self, period, callback))
        )

    async def settle(self) -> None:
        """Let every task that can run do so."""
        for _ in range(self.SETTLE_TURNS):
            await asyncio.sleep(0)

    async def advance(self, seconds: float) -> None:
        """Move time forward, waking each sleeper at its own moment."""
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
