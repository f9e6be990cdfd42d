"""Simulates a plain service that answers GET and POST requests over HTTP.

Answers are JSON; label images are PNG files. Every path is served, so a route
may keep its prefix or strip it. A request's id is the `id` in its JSON body,
else its `X-Request-Id`, else its body's digest. `GET /_runs` reports how often
each request ran, which reveals requests that were executed twice. Requests
without a body are counted under their path.
"""

import asyncio
import json
import re
from typing import NamedTuple

from aiohttp import web

from sapphireseam.agent import engine as engine_client
from sapphireseam.tools import answer, engine, listener, record
from sapphireseam.utils import application, timer

_LABEL = re.compile(r"/labels/([^/]+)\.png$")


class Hooks(NamedTuple):
    """Markers that inject faults; an empty marker matches no request.

    A request whose prompt or body contains `crash_marker`, for example in one message
    of a chat, crashes the upstream, which restarts after `restart_seconds`. A request
    with `fail_marker` is always answered with 500. The complete answer to a request
    with `late_marker` is delayed by `late_seconds`. Every `unframed_every`th answer of
    a plain service ends with its connection, and every `broken_every`th of those is
    broken off; 0 means none. `reset_share` of the answers of a plain service, evenly
    spread, are replaced by a reset of their connection. With a sidecar, connections are
    accepted while the upstream is down. Every answer names `ceiling` as the requests
    per second that the upstream takes, if it isn't empty.
    """

    crash_marker: str = ""
    restart_seconds: engine.Seconds = 1.0
    fail_marker: str = ""
    late_marker: str = ""
    late_seconds: engine.Seconds = 2.0
    unframed_every: int = 0
    broken_every: int = 0
    reset_share: engine.Share = 0.0
    has_sidecar: bool = False
    ceiling: str = ""


def render_failure(message: str, code: str, kind: str = "server_error") -> dict:
    """Return an upstream's error body in the OpenAI format."""
    return {"error": {"message": message, "type": kind, "code": code, "param": None}}


def match_marker(marker: str, text: str) -> bool:
    """Return whether the marker is set and the text contains it."""
    return bool(marker) and marker in text


def read_request_id(request: web.Request, body: bytes) -> str:
    """Return the id under which a request's runs are counted."""
    try:
        document = json.loads(body)
    except ValueError:
        document = None
    if isinstance(document, dict) and "id" in document:
        return str(document["id"])
    header = request.headers.get("X-Request-Id")
    return header or answer.compute_digest(body)


class ServiceStandIn:
    """A plain service that takes `service_seconds` for each request."""

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        service_seconds: float,
        hooks: Hooks,
        timer_service: timer.TimerService,
    ):
        self.name = name
        self.seen = record.SeenValues()
        self.runs = record.RunCounts()
        self._service_seconds = service_seconds
        self._hooks = hooks
        self._timer = timer_service
        self._active = 0
        self._answers = 0
        self._tasks = application.TaskGroup()
        self.listener = listener.Listener(
            host,
            port,
            [
                web.get("/health", self._get_health),
                web.get("/load", self._get_load),
                web.get("/_runs", self._get_runs),
                web.get("/_seen", self._get_seen),
                web.get("/{path:.*}", self._serve_get),
                web.post("/{path:.*}", self._serve_post),
            ],
            hooks.restart_seconds,
            timer_service,
            hooks.has_sidecar,
        )

    async def start(self) -> None:
        """Bind the port and serve."""
        await self.listener.start()

    async def stop(self) -> None:
        """Finish the requests in flight, then close."""
        await self.listener.stop()
        await self._tasks.cancel()

    async def _get_health(self, request: web.Request) -> web.Response:
        return web.json_response({"status": "ok", "deaths": self.listener.crashes})

    async def _get_load(self, request: web.Request) -> web.Response:
        return web.json_response({"running": self._active, "waiting": 0})

    async def _get_runs(self, request: web.Request) -> web.Response:
        return web.json_response(self.runs.render())

    async def _get_seen(self, request: web.Request) -> web.Response:
        return web.json_response(self.seen.render())

    async def _serve_get(self, request: web.Request) -> web.Response:
        failure = await self._run(request, b"")
        if failure is not None:
            return failure
        label = _LABEL.search(request.path)
        if label:
            image = answer.render_label(label.group(1))
            return self._respond(request, image, "image/png")
        document = {"path": request.path, "upstream": self.name}
        return self._respond(request, json.dumps(document).encode())

    async def _serve_post(self, request: web.Request) -> web.Response:
        content = await request.read()
        failure = await self._run(request, content)
        if failure is not None:
            return failure
        document = {
            "id": read_request_id(request, content),
            "digest": answer.compute_digest(content),
            "upstream": self.name,
        }
        return self._respond(request, json.dumps(document).encode())

    def _respond(
        self, request: web.Request, body: bytes, content_type: str = "application/json"
    ) -> web.Response:
        """Return a complete answer, or send one without length or chunks."""
        self._answers += 1
        share = self._hooks.reset_share
        if int(self._answers * share) > int((self._answers - 1) * share):
            listener.reset_connection(request)
        every = self._hooks.unframed_every
        if every and self._answers % every == 0:
            unframed, broken_every = self._answers // every, self._hooks.broken_every
            breaks_off = bool(broken_every) and unframed % broken_every == 0
            listener.send_unframed(request, body, content_type, breaks_off)
        named = {engine_client.CEILING_HEADER: self._hooks.ceiling}
        headers = named if self._hooks.ceiling else None
        return web.Response(body=body, content_type=content_type, headers=headers)

    async def _run(self, request: web.Request, content: bytes) -> web.Response | None:
        """Do the work and count it; return an error answer only if the work failed.

        A crash drops the connection instead.
        """
        self.seen.add(request)
        text = f"{request.path} {content.decode(errors='replace')}"
        name = read_request_id(request, content) if content else request.path
        # Work continues after the caller disconnects, as in a service that has
        # already sent a document to its printer.
        work = self._tasks.spawn(self._work(name, text))
        outcome = await asyncio.shield(work)
        if outcome == "died":
            listener.drop_connection(request)
        if outcome == "failed":
            failure = render_failure(
                "the request contains the marker for failures", "upstream_failed"
            )
            return web.json_response(failure, status=500)
        if match_marker(self._hooks.late_marker, text):
            await self._timer.sleep(self._hooks.late_seconds)
        return None

    async def _work(self, name: str, text: str) -> str:
        """Simulate the work's duration; count and return its outcome."""
        self.runs.count(name, "started")
        self._active += 1
        crashes = self.listener.crashes
        await self._timer.sleep(self._service_seconds)
        self._active -= 1
        if match_marker(self._hooks.crash_marker, text):
            self.listener.crash()
        outcome = "completed"
        if self.listener.crashes != crashes:
            outcome = "died"
        elif match_marker(self._hooks.fail_marker, text):
            outcome = "failed"
        self.runs.count(name, outcome)
        return outcome
