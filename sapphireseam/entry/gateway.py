"""Serve callers over HTTP: keys, routes, limits, answers and errors.

One task a request, straight down: whose is it, where does it go, may it go
now, carry it. Each refusal is the row of the table in `core.error` for its
kind, with `Retry-After` and whether the request ran.
"""

import asyncio
import logging
import math
import secrets
from collections.abc import Callable
from typing import Any

from aiohttp import web

from sapphireseam.core import error
from sapphireseam.entry import access, ask as asks
from sapphireseam.entry.allowance import LimitClient
from sapphireseam.entry.claim import ClaimKeeper
from sapphireseam.entry.forward import Forwarder
from sapphireseam.entry.store import FileStore
from sapphireseam.utils import probe
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.mirror import Mirror
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import TimerService, run_periodically

logger = logging.getLogger(__name__)

NOT_RUN_HEADER = "X-Seam-Not-Run"
REQUEST_HEADER = "X-Request-Id"
# How often open requests are checked for keys that ended.
CHECK_SECONDS = 0.25
# How long a graceful stop waits for open requests, in seconds.
DRAIN_SECONDS = 60.0

# Headers of an upstream's answer that the entry sets itself.
_OWN_HEADERS = frozenset({"content-length", "transfer-encoding", "connection"})


def render_error(failure: error.SeamError, request_id: str) -> web.Response:
    """Return the HTTP answer for an error."""
    headers = {REQUEST_HEADER: request_id}
    if failure.retry_after:
        headers["Retry-After"] = str(max(1, math.ceil(failure.retry_after)))
    if failure.not_run:
        headers[NOT_RUN_HEADER] = "true"
    return web.json_response(
        error.render_body(failure), status=failure.answer.status, headers=headers
    )


def as_known(failure: Exception) -> error.SeamError:
    """Return an error of the closed list; log one that was not expected."""
    if isinstance(failure, error.SeamError):
        return failure
    if isinstance(failure, ConnectionError):
        return error.SeamError("the caller went away", error.Kind.CANCELLED)
    logger.error("unexpected error", exc_info=failure)
    return error.SeamError("internal error; the operators' log has the cause")


class ResponseSink:
    """Write an answer to a caller whose key still holds."""

    def __init__(self, request: web.Request, request_id: str):
        self._request = request
        self._request_id = request_id
        self.response: web.StreamResponse | None = None

    async def begin(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Send the answer's head."""
        response = web.StreamResponse(status=status)
        for name, value in headers:
            if name.lower() not in _OWN_HEADERS:
                response.headers.add(name, value)
        response.headers[REQUEST_HEADER] = self._request_id
        self.response = response
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        await self.response.write(data)

    async def finish(self) -> None:
        """End the body."""
        await self.response.write_eof()

    async def break_off(self, failure: error.SeamError) -> None:
        """End an answer that can't be made whole, so that the caller sees it.

        An event stream gets an error event; in any case the connection is cut
        without the body's proper end.
        """
        kind = self.response.headers.get("Content-Type", "")
        if kind.startswith("text/event-stream"):
            body = web.json_response(error.render_body(failure)).body
            await self.response.write(b"data: " + body + b"\n\n")
        if self._request.transport is not None:
            self._request.transport.close()


class OpenRequest:
    """Track a request under way, so that it can be ended from outside."""

    def __init__(self, caller: access.Caller):
        self.caller = caller
        self.stopped: asyncio.Future[error.SeamError] = (
            asyncio.get_running_loop().create_future()
        )

    def stop(self, failure: error.SeamError) -> None:
        """End the request with an error."""
        if not self.stopped.done():
            self.stopped.set_result(failure)


class Gateway:
    """Answer callers on one address."""

    def __init__(
        self,
        address: str,
        mirror: Mirror,
        limits: LimitClient,
        claims: ClaimKeeper,
        forwarder: Forwarder,
        store: FileStore,
        timeline: Timeline,
        timer: TimerService,
    ):
        self._address = address
        self._mirror = mirror
        self._limits = limits
        self._claims = claims
        self._forwarder = forwarder
        self._store = store
        self._timeline = timeline
        self._timer = timer
        self._open: set[OpenRequest] = set()
        self._idle = asyncio.Event()
        self._idle.set()
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
        self._tasks.spawn(
            run_periodically(self._timer, CHECK_SECONDS, self._check_open)
        )
        self._mirror.subscribe(self._stop_withdrawn)

    async def stop(self) -> None:
        """Refuse what is new, finish what is open, then close."""
        self._draining = True
        timeout = self._timer.sleep(DRAIN_SECONDS)
        waiters = [asyncio.ensure_future(w) for w in (self._idle.wait(), timeout)]
        await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
        for waiter in waiters:
            waiter.cancel()
        await self._tasks.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _answer_health(self, request: web.Request) -> web.Response:
        """Tell the balancer whether to send callers here."""
        ready = not self._draining and self._mirror.is_confirmed()
        body = {
            "healthy": ready,
            "draining": self._draining,
            "revision": self._mirror.revision,
        }
        return web.json_response(body, status=200 if ready else 503)

    async def _check_open(self) -> None:
        self._stop_withdrawn()

    def _stop_withdrawn(self) -> None:
        """End open requests whose key holds no more, or can't be confirmed."""
        for item in self._open:
            if access.is_valid(self._mirror, item.caller):
                continue
            if self._mirror.is_confirmed():
                item.stop(error.AccessError("the key was withdrawn"))
            else:
                text = "this entry lost the control VMs and can't confirm the key"
                item.stop(error.ControlError(text))

    def _guard(self, handler: Any) -> Any:
        """Wrap a handler of the entry's own resources with key and errors."""

        async def answer(request: web.Request) -> web.StreamResponse:
            request_id = f"req-{secrets.token_hex(8)}"
            try:
                self._check_draining()
                text = access.find_key(request.headers, request.query_string)
                caller = await access.identify(self._mirror, text)
                return await handler(request, caller)
            except Exception as failure:
                return self._refuse(as_known(failure), request_id, request)

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
        if self._draining or not request.content.is_eof():
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
            for name, model in self._mirror.fleet.models.items()
            if not model.customers or caller.customer in model.customers
        ]

    def _render_model(self, name: str) -> dict[str, Any]:
        return {"id": name, "object": "model", "created": 0, "owned_by": "sapphireseam"}

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        """Serve one request on a route of the configuration."""
        request_id = f"req-{secrets.token_hex(8)}"
        sink = ResponseSink(request, request_id)
        try:
            self._check_draining()
            ask = await self._read_ask(request, request_id)
        except Exception as failure:
            return self._refuse(as_known(failure), request_id, request)
        item = OpenRequest(ask.caller)
        self._open.add(item)
        self._idle.clear()
        try:
            await self._carry(ask, sink, item)
            return sink.response
        except Exception as caught:
            failure = as_known(caught)
            if sink.response is None:
                customer = ask.caller.customer
                return self._refuse(failure, request_id, request, customer)
            self._timeline.record("cut", request_id, detail=failure.kind)
            await sink.break_off(failure)
            return sink.response
        finally:
            self._open.discard(item)
            if not self._open:
                self._idle.set()

    async def _carry(
        self, ask: asks.Ask, sink: ResponseSink, item: OpenRequest
    ) -> None:
        """Pass the limits, then forward, then note how it ended."""
        if ask.fingerprint in self._mirror.quarantined:
            text = "this request crashed the upstreams that ran it"
            raise error.RequestError(text, error.Kind.REQUEST_QUARANTINED)
        if ask.caller.customer:
            await self._limits.spend(ask.caller.customer)
        self._timeline.record("accepted", ask.id, ask.caller.customer, ask.caller.key)
        if ask.idempotency_key and not ask.route.idempotent:
            await self._claims.serve(ask, sink, item.stopped, self._forwarder)
        else:
            await self._forwarder.serve(ask, sink, item.stopped)
        self._timeline.record("answered", ask.id, ask.caller.customer)

    async def _read_ask(self, request: web.Request, request_id: str) -> asks.Ask:
        current = self._mirror.fleet
        name, route = asks.find_route(current, request.path)
        if request.method not in route.methods:
            text = f"route {name} takes {', '.join(route.methods)}"
            raise error.RequestError(text)
        text = access.find_key(request.headers, request.query_string)
        caller = access.Caller("", "")
        if not route.open:
            caller = await access.identify(self._mirror, text)
        body = await asks.read_body(request, route.body_limit)
        document: dict[str, Any] = {}
        model = ""
        if not route.service:
            document = asks.parse_body(body)
            model = asks.check_model(current, document.get("model"), caller.customer)
        query = access.strip_query(request.query_string, text)
        path = request.rel_url.raw_path
        target = f"{path}?{query}" if query else path
        return asks.Ask(
            request_id,
            caller,
            route,
            name,
            model,
            request.method,
            target,
            access.strip_headers(request.headers, text),
            body,
            bool(document.get("stream")),
            self._timer.read_clock() + route.timeout,
            asks.estimate_cost(document, len(body)),
            asks.compute_fingerprint(caller.customer, request.method, target, body),
            request.headers.get("Idempotency-Key", ""),
        )
