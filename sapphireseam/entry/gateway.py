"""Serve callers over HTTP: keys, routes, limits, answers and errors.

One task a request, straight down: whose is it, where does it go, may it go
now, carry it. Each refusal is the row of the table in `core.error` for its
kind, with `Retry-After` and whether the request ran.
"""

import secrets
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from aiohttp import web

from sapphireseam.core import error, fingerprint, fleet
from sapphireseam.entry import access, routedrequest
from sapphireseam.entry.batch import BatchApi
from sapphireseam.entry.claim import IdempotentForwarder
from sapphireseam.entry.forwarder import Forwarder
from sapphireseam.entry.ratelimit import RateLimitClient
from sapphireseam.entry.response import (
    OpenRequest,
    ResponseSink,
    render_error,
    to_seam_error,
)
from sapphireseam.utils import probe
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.mirror import Mirror
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import TimerService, run_periodically

# How often open requests are checked for keys that ended.
CHECK_SECONDS = 0.25
# How often a stop looks whether all requests have ended.
IDLE_SECONDS = 0.05
# How long a stop still serves, so that the balancer sees the health check.
NOTICE_SECONDS = 2.0
# How long a graceful stop waits for open requests after their deadlines, and
# for calls about files and batches, in seconds.
DRAIN_SECONDS = 60.0


class Gateway:
    """Answer callers on one address."""

    def __init__(
        self,
        address: str,
        mirror: Mirror,
        limits: RateLimitClient,
        claims: IdempotentForwarder,
        forwarder: Forwarder,
        store: BatchApi,
        timeline: Timeline,
        timer: TimerService,
    ):
        self._address = address
        self.mirror = mirror
        self.timer = timer
        # From the first moment of a stop on connections aren't kept.
        self.closing = False
        self._limits = limits
        self._claims = claims
        self._forwarder = forwarder
        self._store = store
        self._timeline = timeline
        self._open: set[OpenRequest] = set()
        self._draining = False
        self._tasks = TaskGroup()
        self._runner: web.AppRunner | None = None
        # Prepares the HTTP application before it serves.
        self.prepare: Callable[[web.Application], None] = lambda app: None

    async def start(self) -> None:
        """Begin to serve."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        self.prepare(app)
        app.router.add_get(probe.HEALTH_PATH, self._answer_health)
        app.router.add_get("/v1/models", self._guard(self._list_models))
        app.router.add_get("/v1/models/{model}", self._guard(self._get_model))
        for method, path, handler in self._store.list_handlers():
            app.router.add_route(method, path, self._guard(handler))
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=1.0,
            auto_decompress=False,
        )
        await self._runner.setup()
        await probe.listen(self._runner, self._address)
        self._tasks.spawn(run_periodically(self.timer, CHECK_SECONDS, self._check_open))
        self.mirror.subscribe(self._stop_withdrawn)

    async def stop(self) -> None:
        """Tell the balancer, refuse what is new, finish what is open, close."""
        self.closing = True
        await self.timer.sleep(NOTICE_SECONDS)
        self._draining = True
        while self._must_wait():
            await self.timer.sleep(IDLE_SECONDS)
        await self._tasks.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def _must_wait(self) -> bool:
        now = self.timer.read_clock()
        return self._claims.open_count > 0 or any(
            now < item.end + DRAIN_SECONDS for item in self._open
        )

    @contextmanager
    def _track(self) -> Iterator[OpenRequest]:
        """Count a request as open from its first byte to its answer's last."""
        item = OpenRequest(self.timer.read_clock())
        self._open.add(item)
        try:
            yield item
        finally:
            self._open.discard(item)

    async def _answer_health(self, request: web.Request) -> web.Response:
        """Tell the balancer whether to send callers here."""
        ready = not self.closing and self.mirror.is_confirmed()
        body = {
            "healthy": ready,
            "draining": self.closing,
            "revision": self.mirror.revision,
        }
        return web.json_response(body, status=200 if ready else 503)

    async def _check_open(self) -> None:
        self._stop_withdrawn()

    def _stop_withdrawn(self) -> None:
        """End open requests whose key holds no more, or can't be confirmed."""
        for item in self._open:
            if not access.is_valid(self.mirror, item.caller):
                item.stop(access.explain_invalid(self.mirror))

    def _guard(self, handler: Any) -> Any:
        """Wrap a handler of the entry's own resources with key and errors."""

        async def answer(request: web.Request) -> web.StreamResponse:
            request_id = f"req-{secrets.token_hex(8)}"
            with self._track():
                try:
                    self._check_draining()
                    text = access.find_key(request.headers, request.query_string)
                    caller = await access.identify(self.mirror, text)
                    response = await handler(request, caller)
                except Exception as failure:
                    return self._refuse(to_seam_error(failure), request_id, request)
            if self.closing and not response.prepared:
                response.force_close()
            return response

        return answer

    def _check_draining(self) -> None:
        if self._draining:
            raise error.CapacityError(
                "this entry is shutting down, ask another", error.Kind.SHUTTING_DOWN
            )

    def _refuse(
        self,
        failure: error.SeamError,
        request_id: str,
        request: web.Request,
        customer: str = "",
    ) -> web.Response:
        self._timeline.record("refused", request_id, customer, detail=failure.kind)
        response = render_error(failure, request_id)
        if self.closing or not request.content.is_eof():
            response.force_close()
        return response

    async def _list_models(
        self, request: web.Request, caller: access.Caller
    ) -> web.Response:
        models = [self._render_model(name) for name in self._usable_models(caller)]
        return web.json_response({"object": "list", "data": models})

    async def _get_model(
        self, request: web.Request, caller: access.Caller
    ) -> web.Response:
        name = request.match_info["model"]
        if name not in self._usable_models(caller):
            raise error.RequestError(f"no model {name!r}", error.Kind.MODEL_UNKNOWN)
        return web.json_response(self._render_model(name))

    def _usable_models(self, caller: access.Caller) -> list[str]:
        return [
            name
            for name, model in self.mirror.fleet.models.items()
            if not model.customers or caller.customer in model.customers
        ]

    def _render_model(self, name: str) -> dict[str, Any]:
        return {"id": name, "object": "model", "created": 0, "owned_by": "sapphireseam"}

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        """Serve one request on a route of the configuration."""
        request_id = f"req-{secrets.token_hex(8)}"
        with self._track() as item:
            sink = ResponseSink(request, request_id, item, self)
            try:
                self._check_draining()
                ask = await self._read_ask(request, request_id)
                item.caller = ask.caller
                item.end = ask.deadline
                await self._carry(ask, sink, item)
                return sink.response
            except Exception as caught:
                failure = to_seam_error(caught)
                if sink.response is None:
                    customer = item.caller.customer
                    return self._refuse(failure, request_id, request, customer)
                self._timeline.record("cut", request_id, detail=failure.kind)
                await sink.abort(failure)
                return sink.response

    async def _carry(
        self, ask: routedrequest.RoutedRequest, sink: ResponseSink, item: OpenRequest
    ) -> None:
        """Pass the limits, then forward, then note how it ended."""
        if ask.caller.customer:
            await self._spend(ask.caller.customer)
        self._timeline.record("accepted", ask.id, ask.caller.customer, ask.caller.key)
        if ask.idempotency_key and not ask.route.idempotent:
            await self._claims.serve(ask, sink, item.stopped, self._forwarder)
        else:
            await self._forwarder.serve(ask, sink, item.stopped)
        self._timeline.record("answered", ask.id, ask.caller.customer)

    async def _spend(self, customer: str) -> None:
        """Pass the customer's limit; a refusal here is before any hand-over."""
        try:
            await self._limits.spend(customer)
        except error.SeamError as failure:
            failure.not_run = True
            raise

    async def _find_route(self, path: str) -> tuple[str, fleet.Route]:
        """Return a path's route; one that was published just before is known, too."""
        try:
            return routedrequest.find_route(self.mirror.fleet, path)
        except error.RequestError:
            await self.mirror.refresh()
            return routedrequest.find_route(self.mirror.fleet, path)

    async def _read_ask(
        self, request: web.Request, request_id: str
    ) -> routedrequest.RoutedRequest:
        path = request.rel_url.raw_path
        access.check_path_and_body(path, b"")
        name, route = await self._find_route(request.path)
        current = self.mirror.fleet
        if request.method not in route.methods:
            text = f"route {name} takes {', '.join(route.methods)}"
            raise error.RequestError(text)
        text = access.find_key(request.headers, request.query_string)
        caller = access.Caller("", "")
        if not route.open:
            caller = await access.identify(self.mirror, text)
        body = await routedrequest.read_body(request, route.body_limit)
        access.check_path_and_body(path, body)
        document: dict[str, Any] = {}
        model = ""
        if not route.service:
            document = routedrequest.parse_body(body)
            model = routedrequest.check_model(
                current, document.get("model"), caller.customer
            )
        query = access.strip_query(request.rel_url.raw_query_string)
        target = f"{path}?{query}" if query else path
        return routedrequest.RoutedRequest(
            request_id,
            caller,
            route,
            name,
            model,
            request.method,
            target,
            access.strip_headers(request.headers),
            body,
            bool(document.get("stream")),
            self.timer.read_clock() + route.timeout,
            routedrequest.estimate_cost(document, len(body)),
            fingerprint.compute(caller.customer, request.method, target, body),
            request.headers.get("Idempotency-Key", ""),
        )
