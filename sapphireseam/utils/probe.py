"""Serves the health check and the metrics of one program over HTTP."""

import os
import socket
from collections.abc import Callable
from typing import Any

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from sapphireseam.core import error
from sapphireseam.utils import door

HEALTH_PATH = "/health"
METRICS_PATH = "/metrics"
# Longest time that a stop waits for an answer, in seconds.
SHUTDOWN_SECONDS = 0.2
# Connections that wait to be accepted. The kernel drops the packets of further ones,
# whose clients try again only a second later.
BACKLOG = 1024
# How many connections are accepted in one iteration of the event loop; uvloop accepts
# one for each listening descriptor.
ACCEPTORS = 8


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address."""
    host, port = address.rsplit(":", 1)
    return host.strip("[]"), int(port)


async def listen(runner: web.BaseRunner, address: str) -> None:
    """Serve a runner that is set up; raise `SettingsError` if it can't listen."""
    host, port = split_address(address)
    try:
        await start_site(runner, host, port)
    except OSError as failure:
        raise error.SettingsError(f"can't listen on {address}: {failure}") from None


async def start_site(runner: web.BaseRunner, host: str, port: int) -> None:
    """Serve a runner that is set up; a busy event loop doesn't hold up a crowd."""
    site = web.TCPSite(runner, host, port, backlog=BACKLOG)
    await site.start()
    for listening in site._server.sockets:
        for _ in range(ACCEPTORS - 1):
            copy = socket.socket(fileno=os.dup(listening.fileno()))
            await web.SockSite(runner, copy, backlog=BACKLOG).start()


class Probe:
    """Serve `/health` (200 or 503, with details) and `/metrics`."""

    def __init__(
        self,
        address: str,
        describe: Callable[[], dict[str, Any]],
        is_healthy: Callable[[], bool],
        guard: door.Guard,
    ):
        self._guard = guard
        self._address = address
        self._describe = describe
        self._is_healthy = is_healthy
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Start the HTTP server."""
        app = web.Application()
        app.router.add_get(HEALTH_PATH, self._answer_health)
        app.router.add_get(METRICS_PATH, self._answer_metrics)
        self._runner = door.AppRunner(
            self._guard, app, access_log=None, shutdown_timeout=SHUTDOWN_SECONDS
        )
        await self._runner.setup()
        await listen(self._runner, self._address)

    async def stop(self) -> None:
        """Stop the HTTP server."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _answer_health(self, request: web.Request) -> web.Response:
        healthy = self._is_healthy()
        body = {"healthy": healthy, **self._describe()}
        return web.json_response(body, status=200 if healthy else 503)

    async def _answer_metrics(self, request: web.Request) -> web.Response:
        # Generated in the event loop's thread, since the values change there.
        body = generate_latest()
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})
