"""Takes an HTTP server out of service within the grace of its process.

First the server still takes requests, since a load balancer may not have noticed the
stop. Then it refuses new requests, on new connections and open ones, until the open
ones have ended. At last it closes its connections.
"""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from sapphireseam.utils import grace, probe
from sapphireseam.utils.timer import TimerService

logger = logging.getLogger(__name__)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# Largest share of the grace during which new requests are still taken.
NOTICE_SHARE = 0.5
# Interval at which a stop checks whether all requests have ended.
CHECK_SECONDS = 0.05
# Time in which requests are refused once the server doesn't listen any more, and time
# that clients have to see the end of an idle connection before it is closed.
LINGER_SECONDS = 0.2
# Steps of the event loop after which a request that was read has reached its handler.
SETTLE_STEPS = 5
# Steps after which all connections that waited in the kernel's queue are accepted.
ACCEPT_STEPS = probe.BACKLOG // probe.ACCEPTORS


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
        self._busy: set[Any] = set()

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
        await self._wait_while(lambda: bool(self._open) or has_other_work())
        if self._open or has_other_work():
            logger.info("requests cut", extra={"count": len(self._open)})
            self._grace.cut()
            await self._wait_while(lambda: bool(self._open), grace.CLOSE_SHARE)
            now = asyncio.get_running_loop().time()
            for limit in list(self._open):
                limit.reschedule(now)
        await self._wait_while(lambda: _has_unsent(runner), grace.CLOSE_SHARE)
        await self._close(runner)

    async def _wait_while(
        self, is_busy: Callable[[], bool], share: float = grace.CUT_SHARE
    ) -> None:
        """Return once the condition is false or a share of the grace has passed."""
        while is_busy() and (remaining := self._grace.read_remaining(share)):
            await self._timer.sleep(min(CHECK_SECONDS, remaining))

    async def _close(self, runner: web.BaseRunner) -> None:
        """Close the server, idle connections so that clients see their end first.

        Once those that wait are accepted and no more are, requests on the open ones are
        refused for a moment. Then idle connections aren't read any more. So a request
        that crosses the end was not read, and its client may send it again.
        """
        linger = min(LINGER_SECONDS, self._grace.close_step_seconds)
        await self._accept_waiting()
        for site in list(runner.sites):
            await site.stop()
        if runner.server is not None and runner.server.connections:
            await self._timer.sleep(linger)
            await self._end_idle(runner.server.connections)
            await self._timer.sleep(linger)
        await runner.cleanup()

    async def _accept_waiting(self) -> None:
        """Accept what waits in the kernel's queue, which is reset with its socket."""
        for _ in range(ACCEPT_STEPS):
            if not self._grace.read_remaining(grace.CLOSE_SHARE):
                return
            await asyncio.sleep(0)

    async def _end_idle(self, connections: list[Any]) -> None:
        """End the connections without a request, answering what was read before."""
        transports = [
            connection.transport
            for connection in connections
            if connection not in self._busy and connection.transport is not None
        ]
        for transport in transports:
            with contextlib.suppress(RuntimeError, OSError):
                transport.pause_reading()
        for _ in range(SETTLE_STEPS):
            await asyncio.sleep(0)
        busy = {connection.transport for connection in self._busy}
        for transport in transports:
            if transport not in busy and not transport.is_closing():
                with contextlib.suppress(RuntimeError, OSError):
                    transport.write_eof()


def _has_unsent(runner: web.BaseRunner) -> bool:
    """Return whether a part of an answer waits here for a client that reads slowly."""
    connections = runner.server.connections if runner.server is not None else ()
    transports = [connection.transport for connection in connections]
    return any(each and each.get_write_buffer_size() for each in transports)
