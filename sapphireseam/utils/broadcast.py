"""Wakes tasks that wait for a change, and shares one call among many callers."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from sapphireseam.core import error
from sapphireseam.utils import application


class Broadcast:
    """Wakes all tasks that wait; tasks that wait later need the next `notify`."""

    def __init__(self):
        self._future: asyncio.Future | None = None

    def notify(self) -> None:
        """Wake all waiting tasks."""
        if self._future is not None and not self._future.done():
            self._future.set_result(None)
        self._future = None

    async def wait(self) -> None:
        """Return after the next `notify`."""
        if self._future is None:
            self._future = asyncio.get_running_loop().create_future()
        await asyncio.shield(self._future)

    async def wait_until(self, predicate: Callable[[], bool]) -> None:
        """Return once the predicate is true; exceptions of the predicate propagate."""
        while not predicate():
            await self.wait()


class Coalescer:
    """Combines all requests that arrive during a call into the next call.

    A request never shares a call that began before the request, so the result
    is never older than the request. `pause`, if given, is awaited before each call, so
    that more requests share it.
    """

    def __init__(
        self,
        call: Callable[[], Awaitable[Any]],
        tasks: application.TaskGroup,
        pause: Callable[[], Awaitable[None]] | None = None,
    ):
        self._pause = pause
        self._call = call
        self._tasks = tasks
        self._next: asyncio.Future | None = None
        self._busy = False

    async def run(self) -> Any:
        """Return the result of a call that begins after this request."""
        if self._next is None:
            self._next = asyncio.get_running_loop().create_future()
            if not self._busy:
                self._busy = True
                self._tasks.spawn(self._run_calls())
        return await asyncio.shield(self._next)

    async def _run_calls(self) -> None:
        try:
            while self._next is not None:
                if self._pause is not None:
                    await self._pause()
                future, self._next = self._next, None
                await self._run_call(future)
        finally:
            self._busy = False
            if self._next is not None:
                _set_shutdown_error(self._next)

    async def _run_call(self, future: asyncio.Future) -> None:
        try:
            result = await self._call()
        except Exception as failure:
            _set_exception(future, failure)
        except asyncio.CancelledError:
            _set_shutdown_error(future)
            raise
        else:
            future.set_result(result)


def _set_exception(future: asyncio.Future, failure: Exception) -> None:
    future.set_exception(failure)
    # If every caller was cancelled, asyncio would log that the exception was never
    # retrieved.
    future.exception()


def _set_shutdown_error(future: asyncio.Future) -> None:
    """Raise an error in the callers whose call was cancelled at shutdown."""
    text = "the call was cancelled at shutdown"
    _set_exception(future, error.ControlError(text, error.Kind.SHUTTING_DOWN))
