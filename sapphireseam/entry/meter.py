"""Measures the duration and status of every request to an entry.

The meter is a middleware, so the code that serves requests needs no calls to it.
"""

from collections.abc import Awaitable, Callable

from aiohttp import web

from sapphireseam.core import error
from sapphireseam.entry import routedrequest
from sapphireseam.utils import metric
from sapphireseam.utils.mirror import Mirror
from sapphireseam.utils.timer import TimerService

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

# Route label of the entry's own resources and of paths that match no route.
NO_ROUTE = "none"
EVENT_STREAM = "text/event-stream"
_ARRIVED = web.RequestKey("arrived", float)


class RequestMeter:
    """Measure requests by route and status, and count open requests."""

    def __init__(self, meter: metric.Meter, mirror: Mirror, timer: TimerService):
        self._meter = meter
        self._mirror = mirror
        self._timer = timer
        self._open_count = 0
        meter.read(metric.OPEN_REQUESTS, lambda: self._open_count)

    def install(self, app: web.Application) -> None:
        """Measure all requests of an HTTP application."""
        app.middlewares.append(self._measure)
        app.on_response_prepare.append(self._observe_head)

    def _name_route(self, path: str) -> str:
        try:
            return routedrequest.find_route(self._mirror.fleet, path)[0]
        except error.SeamError:
            return NO_ROUTE

    @web.middleware
    async def _measure(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        started = self._timer.read_clock()
        request[_ARRIVED] = started
        self._open_count += 1
        # The handler is cancelled if its caller disconnects.
        status = error.ANSWERS[error.Kind.CANCELLED].status
        try:
            response = await handler(request)
            status = response.status
            return response
        finally:
            self._open_count -= 1
            duration = self._timer.read_clock() - started
            route = self._name_route(request.path)
            labels = {"route": route, "status": str(status)}
            self._meter.observe(metric.REQUEST, duration, **labels)

    # A stream's head is sent with its first token.
    async def _observe_head(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        content_type = response.headers.get("Content-Type", "")
        if content_type.startswith(EVENT_STREAM) and _ARRIVED in request:
            duration = self._timer.read_clock() - request[_ARRIVED]
            route = self._name_route(request.path)
            self._meter.observe(metric.FIRST_TOKEN, duration, route=route)
