"""Serves callers over HTTP.

One task handles each request: it finds the route, authenticates the caller,
debits the rate limit and forwards the request. The status, `Retry-After` and "not
run" header of a refusal come from the table in `core.error`, by the kind of the
error. An error may override the table's values of the two headers.
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
from sapphireseam.utils import door, grace, probe
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.drain import Drain
from sapphireseam.utils.mirror import Mirror
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import TimerService, run_periodically

# Interval at which the keys of open requests are checked again.
KEY_CHECK_SECONDS = 0.25
# How long new requests are still served after a shutdown began, so that the load
# balancer sees the failing health check first.
NOTICE_SECONDS = 2.0


class Gateway:
    """Serve callers on one address."""

    def __init__(
        self,
        address: str,
        mirror: Mirror,
        rate_limits: RateLimitClient,
        idempotent_forwarder: IdempotentForwarder,
        forwarder: Forwarder,
        batch_api: BatchApi,
        timeline: Timeline,
        timer: TimerService,
        its_grace: grace.Grace | None = None,
        guard: door.Guard | None = None,
    ):
        self._guard = guard or door.make_guard(timer)
        self._address = address
        self.mirror = mirror
        self.timer = timer
        self._grace = its_grace or grace.Grace(timer=timer)
        self._grace.subscribe(self._stop_open)
        self._drain = Drain(self._grace, timer, NOTICE_SECONDS)
        self._rate_limits = rate_limits
        self._idempotent_forwarder = idempotent_forwarder
        self._forwarder = forwarder
        self._batch_api = batch_api
        self._timeline = timeline
        self._open_requests: set[OpenRequest] = set()
        self._tasks = TaskGroup()
        self._runner: web.AppRunner | None = None
        # Called with the HTTP application before it starts to serve.
        self.prepare: Callable[[web.Application], None] = lambda app: None

    @property
    def closing(self) -> bool:
        """Return whether a stop has begun; each answer then closes its connection."""
        return self._grace.is_stopping

    async def start(self) -> None:
        """Start to listen."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        self.prepare(app)
        app.router.add_get(probe.HEALTH_PATH, self._drain.wrap(self._answer_health))
        app.router.add_get("/v1/models", self._wrap_handler(self._list_models))
        app.router.add_get("/v1/models/{model}", self._wrap_handler(self._get_model))
        for method, path, handler in self._batch_api.list_handlers():
            app.router.add_route(method, path, self._wrap_handler(handler))
        app.router.add_route("*", "/{path:.*}", self._drain.wrap(self._serve))
        self._runner = door.AppRunner(
            self._guard,
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=self._grace.close_step_seconds,
            auto_decompress=False,
        )
        await self._runner.setup()
        await probe.listen(self._runner, self._address)
        self._tasks.spawn(
            run_periodically(self.timer, KEY_CHECK_SECONDS, self._check_keys)
        )
        self.mirror.subscribe(self._stop_unauthorized)

    async def stop(self) -> None:
        """Shut down gracefully.

        The health check fails first, then new requests are refused, and the
        server closes once the open requests have ended, or have been ended shortly
        before the end of the grace.
        """
        if self._runner is not None:
            await self._drain.run(self._runner, self._has_idempotent_run)
        await self._tasks.cancel()

    def _has_idempotent_run(self) -> bool:
        """Return whether a request with an idempotency key runs, even unattended."""
        return self._idempotent_forwarder.open_count > 0

    def _stop_open(self) -> None:
        """End open requests since the grace ends."""
        for open_request in self._open_requests:
            open_request.stop(grace.make_cut())

    @contextmanager
    def _track(self) -> Iterator[OpenRequest]:
        """Count a request as open until its answer is complete."""
        open_request = OpenRequest()
        self._open_requests.add(open_request)
        try:
            yield open_request
        finally:
            self._open_requests.discard(open_request)

    async def _answer_health(self, request: web.Request) -> web.Response:
        """Tell the load balancer whether to send new requests to this entry."""
        ready = not self.closing and self.mirror.is_confirmed()
        body = {
            "healthy": ready,
            "draining": self.closing,
            "revision": self.mirror.revision,
        }
        return web.json_response(body, status=200 if ready else 503)

    async def _check_keys(self) -> None:
        self._stop_unauthorized()

    def _stop_unauthorized(self) -> None:
        """End open requests whose key is no longer valid or can't be confirmed."""
        for open_request in self._open_requests:
            if not access.is_valid(self.mirror, open_request.caller):
                open_request.stop(access.make_invalid_key_error(self.mirror))

    def _wrap_handler(self, handler: Any) -> Any:
        """Return a handler that also checks the caller's key and renders errors."""

        async def answer(request: web.Request) -> web.StreamResponse:
            request_id = f"req-{secrets.token_hex(8)}"
            with self._track():
                try:
                    self._check_draining()
                    routedrequest.check_text(request, access.READ_HEADERS)
                    text = access.find_key(request.headers, request.query_string)
                    caller = await self._grace.wait_for(
                        access.identify(self.mirror, text), grace.make_refusal()
                    )
                    return await self._grace.wait_for(
                        handler(request, caller), grace.make_cut()
                    )
                except Exception as failure:
                    return self._refuse(to_seam_error(failure), request_id, request)

        return self._drain.wrap(answer)

    def _check_draining(self) -> None:
        if self._drain.is_refusing:
            raise grace.make_refusal()

    def _refuse(
        self,
        failure: error.SeamError,
        request_id: str,
        request: web.Request,
        customer: str = "",
    ) -> web.Response:
        self._timeline.record("refused", request_id, customer, detail=failure.kind)
        response = render_error(failure, request_id)
        if not request.content.is_eof():
            response.force_close()
        return response

    async def _list_models(
        self, request: web.Request, caller: access.Caller
    ) -> web.Response:
        models = [self._render_model(name) for name in self._list_usable_models(caller)]
        return web.json_response({"object": "list", "data": models})

    async def _get_model(
        self, request: web.Request, caller: access.Caller
    ) -> web.Response:
        name = request.match_info["model"]
        if name not in self._list_usable_models(caller):
            raise error.RequestError(f"no model {name!r}", error.Kind.MODEL_UNKNOWN)
        return web.json_response(self._render_model(name))

    def _list_usable_models(self, caller: access.Caller) -> list[str]:
        return [
            name
            for name, model in self.mirror.fleet.models.items()
            if not model.customers or caller.customer in model.customers
        ]

    def _render_model(self, name: str) -> dict[str, Any]:
        return {"id": name, "object": "model", "created": 0, "owned_by": "sapphireseam"}

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        """Serve a request on a route of the configuration."""
        request_id = f"req-{secrets.token_hex(8)}"
        with self._track() as open_request:
            sink = ResponseSink(request, request_id, open_request, self)
            try:
                self._check_draining()
                routed = await self._grace.wait_for(
                    self._read_request(request, request_id), grace.make_refusal()
                )
                open_request.caller = routed.caller
                await self._forward(routed, sink, open_request)
                return sink.response
            except Exception as caught:
                failure = to_seam_error(caught)
                if sink.response is None:
                    customer = open_request.caller.customer
                    return self._refuse(failure, request_id, request, customer)
                self._timeline.record("cut", request_id, detail=failure.kind)
                await sink.abort(failure)
                return sink.response

    async def _forward(
        self,
        routed: routedrequest.RoutedRequest,
        sink: ResponseSink,
        open_request: OpenRequest,
    ) -> None:
        """Debit the rate limit, forward the request and record the events."""
        if routed.caller.customer:
            await self._debit(routed.caller.customer)
        self._timeline.record(
            "accepted", routed.id, routed.caller.customer, routed.caller.key
        )
        if routed.idempotency_key and not routed.route.idempotent:
            await self._idempotent_forwarder.serve(
                routed, sink, open_request.stopped, self._forwarder
            )
        else:
            await self._forwarder.serve(routed, sink, open_request.stopped)
        self._timeline.record("answered", routed.id, routed.caller.customer)

    async def _debit(self, customer: str) -> None:
        """Debit the rate limit; an error says "not run", since nothing was sent."""
        try:
            await self._rate_limits.debit(customer)
        except error.SeamError as failure:
            failure.not_run = True
            raise

    async def _find_route(self, path: str) -> tuple[str, fleet.Route]:
        """Return a path's route.

        If none matches, the configuration is refreshed first, so that a route
        which was just published is found.
        """
        try:
            return routedrequest.find_route(self.mirror.fleet, path)
        except error.RequestError:
            await self.mirror.refresh()
            return routedrequest.find_route(self.mirror.fleet, path)

    def _bound_deadline(self, route: fleet.Route) -> float:
        """Return the deadline of a request, or raise if it comes too late in a stop."""
        deadline = self.timer.read_clock() + route.timeout
        return self._grace.bound(deadline, route.idempotent)

    async def _read_request(
        self, request: web.Request, request_id: str
    ) -> routedrequest.RoutedRequest:
        routedrequest.check_text(request, access.READ_HEADERS)
        path = request.rel_url.raw_path
        access.check_path_and_body(path, b"")
        name, route = await self._find_route(request.path)
        current = self.mirror.fleet
        if request.method not in route.methods:
            text = f"route {name} accepts only {', '.join(route.methods)}"
            raise error.RequestError(text)
        text = access.find_key(request.headers, request.query_string)
        caller = access.Caller("", "")
        if not route.open:
            caller = await access.identify(self.mirror, text)
        self._bound_deadline(route)
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
            self._bound_deadline(route),
            routedrequest.estimate_cost(document, len(body)),
            fingerprint.compute(caller.customer, request.method, target, body),
            request.headers.get("Idempotency-Key", ""),
            routedrequest.list_parts(document),
        )
