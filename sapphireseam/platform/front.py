"""Take the platform's clients at an edge machine, and its readiness questions."""

import logging
import math

from aiohttp import web

from sapphireseam.core import error
from sapphireseam.entry import routedrequest
from sapphireseam.entry.direct import DirectRequest
from sapphireseam.entry.discovery import FrontContext
from sapphireseam.platform import answer, batch, dialect
from sapphireseam.policy.waiting import WaitEstimator
from sapphireseam.utils import probe

logger = logging.getLogger(__name__)

READY_PATH = "/readyz"
# After a SIGTERM clients still come for a while, until the platform has asked
# twice in vain and a little longer, in seconds.
NOTICE_SECONDS = 3.0
# What is left of the grace for closing down after the last request, in seconds.
CLOSING_SECONDS = 0.8
# Longer than clients leave a connection idle, in seconds.
KEEP_SECONDS = 90.0


class Front:
    """Serve clients and the platform's balancer."""

    def __init__(self, desk: FrontContext, callers: str, ready: str, grace: float):
        self._desk = desk
        self._callers = callers
        self._ready = ready
        self._grace = grace
        self._batch = batch.BatchFront(desk)
        self._callers_patience = WaitEstimator()
        self._is_closing = False
        self._runners: list[web.ServerRunner] = []

    async def start(self) -> None:
        """Begin to serve."""
        header_bytes = self._desk.authorizer.bounds.header_bytes
        callers = web.Server(
            self._serve,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEP_SECONDS,
            auto_decompress=False,
            max_line_size=header_bytes,
            max_field_size=header_bytes,
        )
        ready = web.Server(self._answer_ready, access_log=None)
        for server, address in ((ready, self._ready), (callers, self._callers)):
            runner = web.ServerRunner(server, shutdown_timeout=self._measure_patience())
            await runner.setup()
            self._runners.append(runner)
            host, port = probe.split_address(address)
            await web.TCPSite(runner, host, port, backlog=1024).start()

    def _measure_notice(self) -> float:
        return min(NOTICE_SECONDS, self._grace / 2)

    def _measure_patience(self) -> float:
        """Return how long a stop waits for open requests once it takes no more."""
        return max(self._grace - self._measure_notice() - CLOSING_SECONDS, 0.0)

    async def stop(self) -> None:
        """Have the balancer look elsewhere, finish what is open, close.

        No connection is taken any more before what is open is counted, so that a
        request that comes last is finished as well.
        """
        self._is_closing = True
        await self._desk.timer.sleep(self._measure_notice())
        for runner in reversed(self._runners):
            await runner.cleanup()

    async def _answer_ready(self, request: web.BaseRequest) -> web.Response:
        is_ready = self._desk.authorizer.is_ready and not self._is_closing
        return web.Response(status=200 if is_ready else 503)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request to its end."""
        response = await self._answer(request)
        if self._is_closing and not response.prepared:
            response.force_close()
        return response

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        attempt = request.headers.get(dialect.ATTEMPT, "")
        try:
            if batch.is_about_lots(request.path):
                return await self._batch.answer(request)
            return await self._route(request, attempt)
        except error.SeamError as failure:
            _log_failure(attempt, failure)
            response = answer.render_failure(failure, attempt)
            if not request.content.is_eof():
                response.force_close()
            return response

    async def _route(
        self, request: web.BaseRequest, attempt: str
    ) -> web.StreamResponse:
        arrived = self._desk.timer.read_clock()
        host = request.headers.get("Host", "")
        text = dialect.read_key(request.headers)
        admitted = await self._desk.authorizer.authorize(host, request.path, text)
        body = await routedrequest.read_body(
            request, self._desk.authorizer.bounds.body_bytes
        )
        if admitted.route.batch is not None:
            return await self._batch.accept(admitted, attempt, body)
        if not attempt:
            raise error.RequestError(f"the header {dialect.ATTEMPT} is missing")
        patience = _read_patience(request)
        limit = admitted.route.timeout
        call = DirectRequest(
            attempt,
            admitted.customer,
            admitted.rank,
            admitted.route_name,
            admitted.route,
            host,
            request.method,
            request.raw_path,
            dialect.strip_request(request.headers),
            body,
            arrived,
            arrived + (limit if patience is None else min(patience, limit)),
            _read_resumption(request),
            self._measure_waited(admitted.route_name, patience, arrived),
        )
        return await self._carry(request, call)

    def _measure_waited(self, route: str, patience: float | None, now: float) -> float:
        """Return how long a caller had waited before it came, as far as known."""
        if patience is None:
            return 0.0
        return self._callers_patience.update_estimate(route, patience, now)

    async def _carry(
        self, request: web.BaseRequest, call: DirectRequest
    ) -> web.StreamResponse:
        sink = answer.ClientSink(request, call.route.streamed)
        sink.is_closing = self._is_closing
        try:
            await self._desk.forwarder.serve(call, sink)
        except error.SeamError as failure:
            if not sink.has_begun:
                raise
            _log_failure(call.id, failure)
            sink.break_off()
        except ConnectionError:
            # The client has gone; nothing more can be told it.
            logger.info("client went away", extra={"request": call.id})
            sink.break_off()
        if sink.response is None:
            raise error.SeamError("the client went away", error.Kind.CANCELLED)
        return sink.response


def _read_patience(request: web.BaseRequest) -> float | None:
    """Return for how many seconds the client waits, or None if it doesn't say."""
    text = request.headers.get(dialect.DEADLINE, "")
    if not text:
        return None
    try:
        milliseconds = float(text)
    except ValueError:
        milliseconds = math.nan
    if not math.isfinite(milliseconds):
        raise error.RequestError(f"{dialect.DEADLINE} is no number")
    return milliseconds / dialect.MILLISECONDS


def _read_resumption(request: web.BaseRequest) -> int:
    """Return the event behind which a client goes on, -1 for none."""
    text = request.headers.get(dialect.RESUME, "")
    return int(text) if text.isdigit() else -1


def _log_failure(attempt: str, failure: error.SeamError) -> None:
    logger.info(
        "request failed",
        extra={
            "request": attempt,
            "kind": str(failure.kind),
            "cause": failure.message,
            "not_run": failure.not_run,
            "retry_after": failure.retry_after,
        },
    )
