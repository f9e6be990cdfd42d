"""Takes an HTTP server out of service within the grace of its process.

First the server still takes requests, since a load balancer may not have noticed the
stop. Then it refuses new requests, on new connections and open ones, until the open
ones have ended. At last it closes its connections.
"""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable

from aiohttp import web

from sapphireseam.utils import grace
from sapphireseam.utils.timer import TimerService

logger = logging.getLogger(__name__)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# Largest share of the grace during which new requests are still taken.
NOTICE_SHARE = 0.5
# Interval at which a stop checks whether all requests have ended.
CHECK_SECONDS = 0.05
# Time that a client has to see the end of an idle connection before it is closed.
LINGER_SECONDS = 0.2


class Drain:
    """Count one server's open requests, and take it out of service.

    New requests are taken for `notice_seconds` of a stop at most.
    """

    def __init__(
        self, its_grace: grace.Grace, timer: TimerService, notice_seconds: float
    ):
        self._grace = its_grace
        self._timer = timer
        self._notice_seconds = min(notice_seconds, its_grace.seconds * NOTICE_SHARE)
        # True once new requests are refused.
        self.is_refusing = False
        self._open: set[asyncio.Timeout] = set()
        # Connections with a request, also with one that is refused.
        self._busy: set[asyncio.BaseProtocol] = set()

    @property
    def open_count(self) -> int:
        """Return how many requests that were taken are open."""
        return len(self._open)

    def wrap(self, handler: Handler) -> Handler:
        """Return a handler that counts its requests and closes after a stop began."""

        async def serve(request: web.BaseRequest) -> web.StreamResponse:
            async with self._track(request):
                response = await handler(request)
                if self._grace.is_stopping and not response.prepared:
                    response.force_close()
                with contextlib.suppress(ConnectionError):
                    await response.prepare(request)
                    await response.write_eof()
                return response

        return serve

    @contextlib.asynccontextmanager
    async def _track(self, request: web.BaseRequest):
        """Count a request until its answer is written; end it with the grace.

        A refusal is written at once and doesn't delay the stop.
        """
        connection = request.protocol
        self._busy.add(connection)
        try:
            async with asyncio.timeout(None) as limit:
                if not self.is_refusing:
                    self._open.add(limit)
                try:
                    yield
                finally:
                    self._open.discard(limit)
        finally:
            self._busy.discard(connection)

    async def run(
        self, runner: web.BaseRunner, has_other_work: Callable[[], bool] = lambda: False
    ) -> None:
        """Wait for the open requests, end those that remain and close the server."""
        self._grace.begin()
        elapsed = self._grace.seconds - self._grace.read_remaining()
        await self._timer.sleep(max(self._notice_seconds - elapsed, 0.0))
        self.is_refusing = True
        await self._wait_until(grace.CUT_SHARE, has_other_work)
        if self._open or has_other_work():
            logger.info("requests cut", extra={"count": len(self._open)})
            self._grace.cut()
            await self._wait_until(grace.CLOSE_SHARE, has_other_work)
            now = asyncio.get_running_loop().time()
            for limit in list(self._open):
                limit.reschedule(now)
        await self._close(runner)

    async def _wait_until(
        self, share: float, has_other_work: Callable[[], bool]
    ) -> None:
        """Return once no request is open, or when a share of the grace has passed."""
        while (self._open or has_other_work()) and (
            remaining := self._grace.read_remaining(share)
        ):
            await self._timer.sleep(min(CHECK_SECONDS, remaining))

    async def _close(self, runner: web.BaseRunner) -> None:
        """Close the server, its idle connections so that clients see the end first.

        An idle connection isn't read any more. So a request that crosses its end was
        not read, and its client may send it again.
        """
        connections = runner.server.connections if runner.server else []
        for connection in connections:
            transport = connection.transport
            if connection in self._busy or transport is None:
                continue
            with contextlib.suppress(RuntimeError, OSError):
                transport.pause_reading()
                transport.write_eof()
        if connections:
            linger = min(LINGER_SECONDS, self._grace.close_step_seconds)
            await self._timer.sleep(linger)
        await runner.cleanup()
