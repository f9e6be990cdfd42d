"""Serves the platform's clients and readiness checks on an edge machine.

A client's request is authorized and sent to a replica. Requests about batch jobs are
handled by `batch`.
"""

import logging
import math
from typing import NamedTuple

from aiohttp import web

from sapphireseam.core import error, fingerprint, number
from sapphireseam.entry import routedrequest
from sapphireseam.entry.authorizer import Authorization
from sapphireseam.entry.direct import DirectRequest
from sapphireseam.entry.discovery import FrontContext
from sapphireseam.platform import answer, batch, dialect
from sapphireseam.policy.waiting import WaitEstimator
from sapphireseam.utils import door, grace, probe
from sapphireseam.utils.drain import Drain

logger = logging.getLogger(__name__)

READY_PATH = "/readyz"
# After a SIGTERM the platform still sends clients here until two readiness checks have
# failed, and for a short time after that.
SHUTDOWN_DELAY_SECONDS = 3.0
# Longer than clients leave a connection idle.
KEEPALIVE_SECONDS = 90.0


class _Received(NamedTuple):
    """An authorized request with its body.

    `remaining` is how many seconds the client still waited when the request arrived,
    and None if it has not said so. `deadline` is on the entry's monotonic clock.
    """

    authorization: Authorization
    body: bytes
    remaining: float | None
    deadline: float


class Front:
    """Serves clients and the platform's load balancer."""

    def __init__(
        self,
        context: FrontContext,
        callers_address: str,
        ready_address: str,
        guard: door.Guard | None = None,
    ):
        self._guard = guard or door.make_guard(context.timer)
        self._context = context
        self._grace = context.grace
        self._callers_address = callers_address
        self._ready_address = ready_address
        self._batch = batch.BatchFront(context)
        self._wait_estimator = WaitEstimator()
        self._drain = Drain(self._grace, context.timer, SHUTDOWN_DELAY_SECONDS)
        self._runners: list[web.ServerRunner] = []

    async def start(self) -> None:
        """Start serving."""
        callers = door.Server(
            self._guard,
            self._drain.wrap(self._answer),
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_SECONDS,
            auto_decompress=False,
            max_line_size=routedrequest.MAX_HEAD_BYTES,
            max_field_size=routedrequest.MAX_HEAD_BYTES,
        )
        ready = door.Server(self._guard, self._answer_ready, access_log=None)
        for server, address in (
            (ready, self._ready_address),
            (callers, self._callers_address),
        ):
            runner = web.ServerRunner(
                server, shutdown_timeout=self._grace.close_step_seconds
            )
            await runner.setup()
            self._runners.append(runner)
            host, port = probe.split_address(address)
            await probe.start_site(runner, host, port)

    async def stop(self) -> None:
        """Fail the readiness checks, finish or end open requests, then close."""
        for runner in self._runners[1:]:
            await self._drain.run(runner)
        for runner in self._runners[:1]:
            await runner.cleanup()

    async def _answer_ready(self, request: web.BaseRequest) -> web.Response:
        is_ready = self._context.authorizer.is_ready and not self._grace.is_stopping
        return web.Response(status=200 if is_ready else 503)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        attempt_id = request.headers.get(dialect.ATTEMPT, "")
        try:
            if self._drain.is_refusing:
                raise grace.make_refusal()
            if self._context.authorizer.is_ready:
                header_bytes = self._context.authorizer.bounds.header_bytes
                routedrequest.check_head(request, header_bytes)
            routedrequest.check_text(request, dialect.READ_HEADERS)
            if batch.is_job_path(request.path):
                return await self._answer_about_job(request)
            return await self._route(request, attempt_id)
        except error.SeamError as failure:
            _log_failure(attempt_id, failure)
            response = answer.render_failure(failure, attempt_id)
            if not request.content.is_eof():
                response.force_close()
            return response

    async def _answer_about_job(self, request: web.BaseRequest) -> web.Response:
        is_read = request.method in ("GET", "HEAD")
        failure = grace.make_refusal() if is_read else grace.make_cut()
        return await self._grace.wait_for(self._batch.answer(request), failure)

    async def _read(self, request: web.BaseRequest, arrived: float) -> _Received:
        """Authorize a request and read its body, unless it comes too late in a stop."""
        host = request.headers.get("Host", "")
        authorization = await self._context.authorizer.authorize(
            host, request.path, dialect.read_key(request.headers)
        )
        route = authorization.route
        remaining, deadline = None, math.inf
        if route.batch is None:
            remaining = _read_remaining(request)
            limit = route.timeout if remaining is None else remaining
            deadline = arrived + min(limit, route.timeout)
            self._grace.bound(deadline, route.idempotent)
        body = await routedrequest.read_body(
            request, self._context.authorizer.bounds.body_bytes
        )
        return _Received(authorization, body, remaining, deadline)

    async def _route(
        self, request: web.BaseRequest, attempt_id: str
    ) -> web.StreamResponse:
        arrived = self._context.timer.read_clock()
        if not request.raw_path.startswith("/"):
            raise error.RequestError("the request's target is no path")
        authorization, body, remaining, deadline = await self._grace.wait_for(
            self._read(request, arrived), grace.make_refusal()
        )
        if authorization.route.batch is not None:
            door.add_charge(request, batch.COPIES * len(body))
            accepted = self._batch.accept(authorization, attempt_id, body)
            return await self._grace.wait_for(accepted, grace.make_cut())
        if not attempt_id:
            raise error.RequestError(f"the header {dialect.ATTEMPT} is missing")
        # One that is complete only after the notice is taken if it surely ends.
        may_be_cut = authorization.route.idempotent and not self._drain.is_refusing
        deadline = self._grace.bound(deadline, may_be_cut)
        direct_request = DirectRequest(
            attempt_id,
            authorization.customer,
            authorization.rank,
            authorization.route_name,
            authorization.route,
            request.headers.get("Host", ""),
            request.method,
            request.raw_path,
            dialect.strip_request(request.headers),
            body,
            arrived,
            deadline,
            _read_last_event(request),
            request.headers.get(dialect.RESUMES, ""),
            self._estimate_wait(authorization, remaining, arrived),
            fingerprint.compute(
                authorization.customer, request.method, request.raw_path, body
            ),
            dialect.read_parts(request.headers),
            request.headers.get(dialect.MODEL, ""),
            authorization.revision,
        )
        return await self._forward(request, direct_request)

    def _estimate_wait(
        self, authorization: Authorization, remaining: float | None, now: float
    ) -> float:
        """Return an estimate of the seconds that the client waited before `now`."""
        if remaining is None:
            return 0.0
        group = authorization.customer, authorization.route_name
        return self._wait_estimator.update_estimate(group, remaining, now)

    async def _forward(
        self, request: web.BaseRequest, direct_request: DirectRequest
    ) -> web.StreamResponse:
        route = direct_request.route
        sink = answer.ClientSink(request, route.streamed, route.idempotent, self._grace)
        try:
            await self._context.forwarder.serve(direct_request, sink)
        except error.SeamError as failure:
            if not sink.has_begun:
                raise
            _log_failure(direct_request.id, failure)
            sink.abort()
        except ConnectionError:
            # The client cannot receive an error.
            logger.info("client disconnected", extra={"request": direct_request.id})
            sink.abort()
        if sink.response is None:
            raise error.SeamError("the client disconnected", error.Kind.CANCELLED)
        return sink.response


def _read_remaining(request: web.BaseRequest) -> float | None:
    """Return how many seconds the client still waits, or None without a deadline."""
    text = request.headers.get(dialect.DEADLINE, "")
    if not text:
        return None
    try:
        milliseconds = float(text)
    except ValueError:
        milliseconds = math.nan
    if not math.isfinite(milliseconds):
        raise error.RequestError(f"the header {dialect.DEADLINE} is not a number")
    return milliseconds / dialect.MILLISECONDS_PER_SECOND


def _read_last_event(request: web.BaseRequest) -> int:
    """Return the event after which the client resumes a stream, or -1 for none."""
    text = request.headers.get(dialect.RESUME, "")
    count = number.parse_count(text)
    return -1 if count is None else count


def _log_failure(attempt_id: str, failure: error.SeamError) -> None:
    logger.info(
        "request failed",
        extra={
            "request": attempt_id,
            "kind": str(failure.kind),
            "cause": failure.message,
            "not_run": failure.not_run,
            "retry_after": failure.retry_after,
        },
    )
