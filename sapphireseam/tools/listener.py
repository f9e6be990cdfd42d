"""Serves HTTP for a stand-in upstream that can crash and restart.

A crash drops every connection without an answer and refuses new ones until the
restart time is over. To a client it looks like a process that crashes and is
restarted on the same port. Behind a sidecar, new connections are accepted meanwhile,
and dropped at their first request.
"""

import asyncio

from aiohttp import web

from sapphireseam.utils import application, framing, timer

# Longest time that a stop waits for the requests in flight.
SHUTDOWN_SECONDS = 30.0
# Largest request body that is accepted.
LARGEST_BODY_BYTES = 64 * 1024 * 1024
# Time before the next attempt to bind a port that isn't free yet.
BIND_RETRY_SECONDS = 0.1


class Listener:
    """An HTTP server for a set of routes on one port that can simulate a crash.

    Port 0 binds any free port; `port` holds its number after the start.
    """

    def __init__(
        self,
        host: str,
        port: int,
        routes: list[web.RouteDef],
        restart_seconds: float,
        timer_service: timer.TimerService,
        has_sidecar: bool = False,
    ):
        self._has_sidecar = has_sidecar
        self.host = host
        self.port = port
        # Times of the crashes on the wall clock, in seconds.
        self.crash_times: list[float] = []
        self.down = False
        self._restart_seconds = restart_seconds
        self._timer = timer_service
        self._tasks = application.TaskGroup()
        app = web.Application(
            client_max_size=LARGEST_BODY_BYTES, middlewares=[self._drop_while_down]
        )
        app.add_routes(routes)
        self._runner = web.AppRunner(
            app,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_SECONDS,
            access_log=None,
        )
        self._site: web.TCPSite | None = None

    async def start(self) -> None:
        """Bind the port and serve."""
        await self._runner.setup()
        await self._bind()

    async def stop(self) -> None:
        """Finish the requests in flight, then close."""
        await self._tasks.cancel()
        await self._runner.cleanup()

    async def _bind(self) -> None:
        self._site = web.TCPSite(self._runner, self.host, self.port, reuse_address=True)
        await self._site.start()
        self.port = self._runner.addresses[0][1]

    @property
    def crashes(self) -> int:
        """Return the number of crashes."""
        return len(self.crash_times)

    def count_connections(self) -> int:
        """Return how many connections are open."""
        return len(self._runner.server.connections)

    def crash(self) -> None:
        """Drop all connections now and refuse new ones until the restart."""
        if self.down:
            return
        self.down = True
        self.crash_times.append(self._timer.read_wall_clock())
        for connection in list(self._runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        self._tasks.spawn(self._restart())

    async def _restart(self) -> None:
        if self._has_sidecar:
            await self._timer.sleep(self._restart_seconds)
            self.down = False
            return
        await self._site.stop()
        await self._timer.sleep(self._restart_seconds)
        while True:
            try:
                await self._bind()
                break
            except OSError:
                await self._timer.sleep(BIND_RETRY_SECONDS)
        self.down = False

    @web.middleware
    async def _drop_while_down(self, request, handler) -> web.StreamResponse:
        if self.down:
            drop_connection(request)
        return await handler(request)


def drop_connection(request: web.Request) -> None:
    """Abort the request's connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError


def reset_connection(request: web.Request) -> None:
    """Reset the request's connection without an answer."""
    if request.transport is not None:
        framing.break_off(request.transport)
    raise asyncio.CancelledError


def send_unframed(
    request: web.Request, body: bytes, content_type: str, breaks_off: bool
) -> None:
    """Answer with neither a length nor chunks, so that the connection ends the body.

    With `breaks_off`, half of the body is sent and the connection is reset.
    """
    transport = request.transport
    if transport is not None:
        head = f"HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\n\r\n".encode()
        transport.write(head + (body[: len(body) // 2] if breaks_off else body))
        if breaks_off:
            framing.break_off(transport)
        else:
            transport.close()
    raise asyncio.CancelledError
