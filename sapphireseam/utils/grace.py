"""Bounds a graceful stop: the time from its request until the process has ended.

Each application has one grace, which all its parts share. It begins once, when the
stop is requested. No deadline of work that is taken later lies beyond it, and work
that is still open shortly before its end is ended with an error, so that every caller
has a final answer before the process closes its connections.
"""

import asyncio
import math
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import TypeVar

from sapphireseam.core import error
from sapphireseam.utils.timer import SystemTimer, TimerService

T = TypeVar("T")

# The grace of a program whose settings give none. It is longer than the default
# timeout of a route.
DEFAULT_SECONDS = 90.0
# Share of the grace at which the last deadline of work ends that came during it.
DEADLINE_SHARE = 0.85
# Share of the grace after which open work is ended with an error.
CUT_SHARE = 0.9
# Share of the grace after which connections are closed.
CLOSE_SHARE = 0.92
# Longest time of one step of closing, as a share of the grace.
CLOSE_STEP_SHARE = 0.01
# Retry-After of a request that was refused; other entries may take it at once.
RETRY_SECONDS = 0.1


class Grace:
    """The time that an application has for its stop."""

    def __init__(
        self, seconds: float = DEFAULT_SECONDS, timer: TimerService | None = None
    ):
        self.seconds = seconds
        self.timer = timer or SystemTimer()
        self._began: float | None = None
        self._is_cut = False
        self._limits: set[asyncio.Timeout] = set()
        self._callbacks: list[Callable[[], None]] = []

    @property
    def is_stopping(self) -> bool:
        """Return whether the stop has been requested."""
        return self._began is not None

    @property
    def close_step_seconds(self) -> float:
        """Return the longest time of one step of closing."""
        return self.seconds * CLOSE_STEP_SHARE

    def begin(self) -> None:
        """Record that the stop is requested; later calls change nothing."""
        if self._began is None:
            self._began = self.timer.read_clock()

    def read_remaining(self, share: float = 1.0) -> float:
        """Return the seconds until a share of the grace has passed, at least 0.

        Before the stop they are infinite.
        """
        if self._began is None:
            return math.inf
        end = self._began + self.seconds * share
        return max(end - self.timer.read_clock(), 0.0)

    def bound(self, deadline: float, is_idempotent: bool) -> float:
        """Return the deadline of a request that would be taken now, or refuse it.

        `deadline` is on the timer's clock. Raises `CapacityError` if the request may
        outlast the grace and must not be repeated.
        """
        if self._began is None:
            return deadline
        end = self._began + self.seconds * DEADLINE_SHARE
        if deadline <= end:
            return deadline
        if not is_idempotent or self.timer.read_clock() >= end:
            raise make_refusal()
        return end

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back when open work must end."""
        self._callbacks.append(callback)

    def cut(self) -> None:
        """End all open work with an error."""
        self._is_cut = True
        for callback in self._callbacks:
            callback()
        now = asyncio.get_running_loop().time()
        for limit in list(self._limits):
            limit.reschedule(now)

    @asynccontextmanager
    async def limit(self) -> AsyncIterator[asyncio.Timeout]:
        """Raise `TimeoutError` in the body when open work must end."""
        async with asyncio.timeout(0.0 if self._is_cut else None) as limit:
            self._limits.add(limit)
            try:
                yield limit
            finally:
                self._limits.discard(limit)

    async def wait_for(self, work: Awaitable[T], failure: error.SeamError) -> T:
        """Return the result of work, or raise `failure` when open work must end."""
        limit = None
        try:
            async with self.limit() as limit:
                return await work
        except TimeoutError:
            if limit is None or not limit.expired():
                raise
            raise failure from None


def make_refusal() -> error.CapacityError:
    """Return the error of a request that a stopping process doesn't take."""
    return error.CapacityError(
        "this entry is shutting down; use another one",
        error.Kind.SHUTTING_DOWN,
        RETRY_SECONDS,
        not_run=True,
    )


def make_cut() -> error.SeamError:
    """Return the error of a request that was ended with the grace."""
    return error.SeamError(
        "this entry has shut down before the request ended",
        error.Kind.DEADLINE_EXCEEDED,
        not_run=False,
    )
