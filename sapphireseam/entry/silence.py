"""Decides how long a request waits for an upstream that sends nothing.

Silence alone doesn't show that an upstream is lost: a sound one may pause and go on.
So the entry goes on listening while it looks for a slot at another upstream, and leaves
the silent one only if it gets that slot first.
"""

import asyncio
import contextlib
import logging
from collections.abc import AsyncIterator, Awaitable, Callable

from sapphireseam.core import error
from sapphireseam.entry.placer import HeldSlot
from sapphireseam.utils.timer import TimerService

logger = logging.getLogger(__name__)

# Shortest pause between two searches for a slot, in seconds.
SEARCH_PAUSE_SECONDS = 0.2


class SilenceWatch:
    """Watches for the silence of one attempt's upstream.

    After `limit` seconds of silence it calls `find_slot`, which returns a slot at
    another upstream or raises `SeamError` if there is none. Without a limit an upstream
    is never left. A slot that isn't needed is given to `release`.

        async with watch.wait():
            data = await read()  # ends with TimeoutError once a slot is found
    """

    def __init__(
        self,
        limit: float | None,
        find_slot: Callable[[], Awaitable[HeldSlot]],
        release: Callable[[HeldSlot], None],
        timer: TimerService,
    ):
        self._limit = limit
        self._find_slot = find_slot
        self._release = release
        self._timer = timer
        self._slot: HeldSlot | None = None

    def take_slot(self) -> HeldSlot | None:
        """Return the slot for which the upstream was left, if it was."""
        slot, self._slot = self._slot, None
        return slot

    def close(self) -> None:
        """Release a slot that wasn't taken."""
        if (slot := self.take_slot()) is not None:
            self._release(slot)

    @contextlib.asynccontextmanager
    async def wait(self) -> AsyncIterator[None]:
        """Wait for data from the upstream.

        Raises `TimeoutError` in the body once the upstream is left.
        """
        if self._limit is None:
            yield
            return
        scope = asyncio.timeout(None)
        searching: list[asyncio.Task] = []

        def start_search() -> None:
            searching.append(asyncio.create_task(self._search(scope)))

        handle = asyncio.get_running_loop().call_later(self._limit, start_search)
        try:
            async with scope:
                yield
        finally:
            handle.cancel()
            for task in searching:
                task.cancel()
            if not scope.expired():
                self.close()

    async def _search(self, scope: asyncio.Timeout) -> None:
        """Look for a slot until there is one, then end the wait."""
        while self._slot is None:
            try:
                self._slot = await self._find_slot()
            except error.SeamError as failure:
                pause = max(failure.retry_after, SEARCH_PAUSE_SECONDS)
                await self._timer.sleep(pause)
            except Exception:
                # Without a search the request would be held until its deadline.
                logger.exception("search for a slot failed; it is repeated")
                await self._timer.sleep(SEARCH_PAUSE_SECONDS)
        scope.reschedule(asyncio.get_running_loop().time())
