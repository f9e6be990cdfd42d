"""Serves the simulated engine over HTTP with the OpenAI API.

Besides `/v1/chat/completions`, `/v1/completions` and `/v1/models` there are
`/health`, `/load` (delayed), `/cache_events?after=N` (late, with gaps) and
`/orders`. Tests read digests of the received values from `/_seen`, counts of
the requests that ran from `/_runs`, and from `/_crashes` when the engine crashed and
when requests with the crash marker arrived.

A streamed answer has one event for each token. To resume it, the caller
repeats the request with `seam_resume_from`, the number of tokens that it
already has. The answer then begins with the next token, and its `usage` counts
the whole answer as if it had not been interrupted. Answers that are not
streamed are resumed in the same way. When a client disconnects, its sequence is
cancelled at once.
"""

import asyncio
from typing import NamedTuple

import msgspec
from aiohttp import web

from sapphireseam.core import error
from sapphireseam.tools import answer, engine, listener, record, service
from sapphireseam.utils import setting, timer

# Creation time in every answer, in Unix seconds; fixed so that answers don't
# differ by it.
CREATED_SECONDS = 1_700_000_000
_JSON = "application/json"


class Call(NamedTuple):
    """A validated chat or completion request."""

    chat: bool
    job: engine.Job
    stream: bool
    include_usage: bool
    fingerprint: str
    id: str


class BadCallError(Exception):
    """Raised when a request is malformed."""


def _respond(document: dict, status: int = 200, request_id: str = "") -> web.Response:
    headers = {"X-Request-Id": request_id} if request_id else None
    return web.Response(
        body=msgspec.json.encode(document),
        status=status,
        content_type=_JSON,
        headers=headers,
    )


def _respond_error(status: int, message: str, code: str) -> web.Response:
    kind = "server_error" if status >= 500 else "invalid_request_error"
    return _respond(service.render_failure(message, code, kind), status)


def decode_body(data: bytes) -> dict:
    """Return a request's JSON object, or raise `BadCallError`."""
    try:
        body = msgspec.json.decode(data)
    except msgspec.DecodeError as failure:
        raise BadCallError(f"the body is not valid JSON: {failure}") from None
    if not isinstance(body, dict):
        raise BadCallError("the body must be a JSON object")
    return body


def parse_call(body: dict, chat: bool, call_id: str) -> Call:
    """Return the validated call, or raise `BadCallError`."""
    field = "messages" if chat else "prompt"
    if not body.get(field):
        raise BadCallError(f"{field!r} is missing")
    try:
        prompt = answer.render_prompt(body)
    except (AttributeError, TypeError):
        raise BadCallError(f"{field!r} is malformed") from None
    limit = answer.read_token_limit(body)
    resume_from = body.get("seam_resume_from", 0)
    for name, value in (("max_tokens", limit), ("seam_resume_from", resume_from)):
        if value is not None and (type(value) is not int or value < 0):
            raise BadCallError(f"{name!r} must be a non-negative integer")
    model = str(body.get("model", ""))
    options = body.get("stream_options") or {}
    return Call(
        chat=chat,
        job=engine.Job(model, prompt, limit, resume_from),
        stream=bool(body.get("stream")),
        include_usage=bool(options.get("include_usage")),
        fingerprint=answer.compute_fingerprint(model, prompt),
        id=call_id,
    )


def render_usage(call: Call, sequence: engine.Sequence) -> dict:
    """Return the token counts of the whole answer."""
    prompt_tokens = answer.count_prompt_tokens(call.job.prompt)
    completion_tokens = len(sequence.answer.tokens)
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
        "prompt_tokens_details": {"cached_tokens": sequence.cached_tokens},
    }


def render_completion(call: Call, sequence: engine.Sequence, text: str) -> dict:
    """Return the body of an answer that is not streamed."""
    choice = {"index": 0, "finish_reason": sequence.answer.finish_reason}
    if call.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": call.id,
        "object": "chat.completion" if call.chat else "text_completion",
        "created": CREATED_SECONDS,
        "model": call.job.model,
        "choices": [choice],
        "usage": render_usage(call, sequence),
    }


def encode_event(document: dict) -> bytes:
    """Return the document as one server-sent event."""
    return b"data: " + msgspec.json.encode(document) + b"\n\n"


def render_chunk(call: Call, text: str, finish_reason: str | None = None) -> dict:
    """Return one token's event, or the last event with the finish reason."""
    choice = {"index": 0, "finish_reason": finish_reason}
    if not call.chat:
        choice["text"] = text
    elif finish_reason is None:
        choice["delta"] = {"role": "assistant", "content": text}
    else:
        choice["delta"] = {}
    return {
        "id": call.id,
        "object": "chat.completion.chunk" if call.chat else "text_completion",
        "created": CREATED_SECONDS,
        "model": call.job.model,
        "choices": [choice],
    }


class EngineStandIn:
    """An engine behind an HTTP server.

    A crash of the engine drops all connections and refuses new ones until the
    restart.
    """

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        models: list[str],
        seed: int,
        speeds: engine.Speeds,
        hooks: service.Hooks,
        checks_fence: bool,
        timer_service: timer.TimerService,
    ):
        self.name = name
        self.checks_fence = checks_fence
        self.seen = record.SeenValues()
        self.runs = record.RunCounts()
        self._hooks = hooks
        self._timer = timer_service
        self._calls = 0
        # Arrivals of requests with the crash marker, on the wall clock, in seconds.
        self._marked_arrivals: list[float] = []
        self.listener = listener.Listener(
            host,
            port,
            [
                web.post("/v1/chat/completions", self._serve_chat),
                web.post("/v1/completions", self._serve_completion),
                web.get("/v1/models", self._get_models),
                web.get("/health", self._get_health),
                web.get("/load", self._get_load),
                web.get("/cache_events", self._get_cache_events),
                web.get("/orders", self._get_orders),
                web.post("/orders", self._serve_order),
                web.get("/_crashes", self._get_crashes),
                web.get("/_runs", self._get_runs),
                web.get("/_seen", self._get_seen),
            ],
            hooks.restart_seconds,
            timer_service,
            hooks.has_sidecar,
        )
        self.engine = engine.Engine(
            models,
            speeds,
            seed,
            timer_service,
            hooks.crash_marker,
            self.listener.crash,
        )

    async def start(self) -> None:
        """Start the engine, then serve."""
        await self.engine.start()
        await self.listener.start()

    async def stop(self) -> None:
        """Finish the requests in flight, then stop the engine."""
        await self.listener.stop()
        await self.engine.stop()

    async def _serve_chat(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(request, chat=True)

    async def _serve_completion(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(request, chat=False)

    async def _serve(self, request: web.Request, chat: bool) -> web.StreamResponse:
        self.seen.add(request)
        self._calls += 1
        prefix = "chatcmpl" if chat else "cmpl"
        call_id = f"{prefix}-{self.name}-{self._calls}"
        try:
            call = parse_call(decode_body(await request.read()), chat, call_id)
        except BadCallError as failure:
            return _respond_error(400, str(failure), "bad_request")
        if service.match_marker(self._hooks.crash_marker, call.job.prompt):
            self._marked_arrivals.append(self._timer.read_wall_clock())
        try:
            sequence = self.engine.submit(call.job)
        except engine.ModelNotLoadedError as failure:
            return _respond_error(404, str(failure), "model_unknown")
        return await self._answer_call(request, call, sequence)

    async def _answer_call(
        self, request: web.Request, call: Call, sequence: engine.Sequence
    ) -> web.StreamResponse:
        """Answer with the sequence's tokens and count how the run ended."""
        counts = ["started", "resumed"] if call.job.resume_from else ["started"]
        self.runs.count(call.fingerprint, *counts)
        outcome = "cancelled"
        try:
            if service.match_marker(self._hooks.fail_marker, call.job.prompt):
                await sequence.read()
                outcome = "failed"
                return _respond_error(
                    500,
                    "the request contains the marker for failures",
                    "upstream_failed",
                )
            if call.stream:
                response = await self._stream(request, call, sequence)
            else:
                response = await self._complete(request, call, sequence)
            outcome = "completed"
            return response
        except engine.EngineCrashedError:
            outcome = "died"
            listener.drop_connection(request)
        finally:
            self.engine.cancel(sequence)
            self.runs.count(call.fingerprint, outcome)

    async def _delay_answer(self, call: Call) -> None:
        if service.match_marker(self._hooks.late_marker, call.job.prompt):
            await self._timer.sleep(self._hooks.late_seconds)

    async def _complete(
        self, request: web.Request, call: Call, sequence: engine.Sequence
    ) -> web.Response:
        tokens = await sequence.read_all()
        await self._delay_answer(call)
        request_id = request.headers.get("X-Request-Id", "")
        return _respond(
            render_completion(call, sequence, "".join(tokens)), request_id=request_id
        )

    async def _stream(
        self, request: web.Request, call: Call, sequence: engine.Sequence
    ) -> web.StreamResponse:
        headers = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}
        if "X-Request-Id" in request.headers:
            headers["X-Request-Id"] = request.headers["X-Request-Id"]
        response = web.StreamResponse(headers=headers)
        await self._delay_answer(call)
        await response.prepare(request)
        try:
            while tokens := await sequence.read():
                parts = [encode_event(render_chunk(call, text)) for text in tokens]
                await response.write(b"".join(parts))
            await response.write(self._render_end(call, sequence))
            await response.write_eof()
        except (ConnectionError, asyncio.CancelledError):
            # The client disconnected, or the engine's crash dropped the connection.
            if sequence.crashed:
                raise engine.EngineCrashedError(
                    "the connection was dropped by a crash of the engine"
                ) from None
            raise
        return response

    def _render_end(self, call: Call, sequence: engine.Sequence) -> bytes:
        end = encode_event(render_chunk(call, "", sequence.answer.finish_reason))
        if call.include_usage:
            usage = render_chunk(call, "")
            usage["choices"] = []
            usage["usage"] = render_usage(call, sequence)
            end += encode_event(usage)
        return end + b"data: [DONE]\n\n"

    async def _get_models(self, request: web.Request) -> web.Response:
        self.seen.add(request)
        models = [
            {
                "id": name,
                "object": "model",
                "created": CREATED_SECONDS,
                "owned_by": self.name,
            }
            for name in sorted(self.engine.models)
        ]
        return _respond({"object": "list", "data": models})

    async def _get_health(self, request: web.Request) -> web.Response:
        return _respond({"status": "ok", "deaths": self.listener.crashes})

    async def _get_load(self, request: web.Request) -> web.Response:
        load = self.engine.report_load()
        document = load._asdict()
        document["age"] = self._timer.read_clock() - document.pop("at")
        document["max_running"] = self.engine.speeds.max_running
        document["cache_blocks"] = self.engine.speeds.cache_blocks
        return _respond(document)

    async def _get_cache_events(self, request: web.Request) -> web.Response:
        try:
            after = int(request.query.get("after", "0"))
        except ValueError:
            return _respond_error(400, "'after' must be an integer", "bad_request")
        events = self.engine.cache.list_events(after)
        return _respond(
            {
                "events": [
                    {"number": item.number, "kind": item.kind, "blocks": item.blocks}
                    for item in events
                ]
            }
        )

    async def _get_orders(self, request: web.Request) -> web.Response:
        return _respond(
            {
                "role": self.engine.role,
                "models": sorted(self.engine.models),
                "highest_fence": self.engine.highest_fence,
                "orders": [order._asdict() for order in self.engine.orders],
            }
        )

    async def _serve_order(self, request: web.Request) -> web.Response:
        self.seen.add(request)
        try:
            body = decode_body(await request.read())
            order = setting.parse(engine.Order, body, "order")
        except (BadCallError, error.SettingsError) as failure:
            return _respond_error(400, str(failure), "bad_request")
        try:
            await self.engine.execute_order(order, self.checks_fence)
        except engine.StaleFenceError as failure:
            return _respond_error(409, str(failure), "conflict")
        return _respond(
            {"role": self.engine.role, "models": sorted(self.engine.models)}
        )

    async def _get_crashes(self, request: web.Request) -> web.Response:
        return _respond(
            {"crashes": self.listener.crash_times, "arrivals": self._marked_arrivals}
        )

    async def _get_runs(self, request: web.Request) -> web.Response:
        return _respond(self.runs.render())

    async def _get_seen(self, request: web.Request) -> web.Response:
        return _respond(self.seen.render())
