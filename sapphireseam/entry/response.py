"""Writes answers and errors to callers over HTTP.

The caller's key is checked again before each piece of an answer, so a caller
whose key was withdrawn gets nothing more. An answer that can't be completed is
aborted in such a way that the caller notices.
"""

import asyncio
import logging
import math
from typing import Any, Protocol

from aiohttp import HttpVersion11, web

from sapphireseam.core import error, key
from sapphireseam.entry import access
from sapphireseam.entry.delivery import EVENT_STREAM
from sapphireseam.utils import framing
from sapphireseam.utils.mirror import Mirror
from sapphireseam.utils.timer import TimerService, wait_for

logger = logging.getLogger(__name__)

NOT_RUN_HEADER = "X-Seam-Not-Run"
REQUEST_HEADER = "X-Request-Id"
# A write that raises the unsent bytes to this number must finish within
# `STALL_SECONDS`, or the caller counts as stalled.
SLOW_BYTES = 64 * 1024
STALL_SECONDS = 30.0

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
        render_body(failure), status=failure.answer.status, headers=headers
    )


def render_body(failure: error.SeamError) -> dict[str, Any]:
    """Return an error's body, with any key in its message redacted."""
    body = error.render_body(failure)
    body["error"]["message"] = key.redact(failure.message)
    return body


def to_seam_error(failure: Exception) -> error.SeamError:
    """Return the failure as a `SeamError`; log it if it was not expected."""
    if isinstance(failure, error.SeamError):
        return failure
    if isinstance(failure, ConnectionError):
        return error.SeamError("the caller disconnected", error.Kind.CANCELLED)
    logger.error("unexpected error", exc_info=failure)
    return error.SeamError("internal error; the cause is in the entry's log")


class OpenRequest:
    """Track an open request, so that the gateway can end it."""

    def __init__(self):
        self.caller = access.Caller("", "")
        self.stopped: asyncio.Future[error.SeamError] = (
            asyncio.get_running_loop().create_future()
        )

    def stop(self, failure: error.SeamError) -> None:
        """End the request with an error."""
        if not self.stopped.done():
            self.stopped.set_result(failure)


class GatewayState(Protocol):
    """Provide the state that all requests of one gateway share.

    `closing` is true from the beginning of a shutdown.
    """

    mirror: Mirror
    timer: TimerService
    closing: bool


class ResponseSink:
    """Write an answer to a caller while the caller's key is valid."""

    def __init__(
        self,
        request: web.Request,
        request_id: str,
        open_request: OpenRequest,
        gateway: GatewayState,
    ):
        self._request = request
        self._request_id = request_id
        self._open_request = open_request
        self._gateway = gateway
        self.response: web.StreamResponse | None = None

    async def begin(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Send the answer's head."""
        if self.response is not None:
            raise RuntimeError("the answer has already begun")
        self._check()
        response = web.StreamResponse(status=status)
        for name, value in headers:
            if name.lower() not in _OWN_HEADERS:
                response.headers.add(name, value)
        response.headers[REQUEST_HEADER] = self._request_id
        if self._gateway.closing:
            response.force_close()
        self.response = response
        await response.prepare(self._request)

    def _check(self) -> None:
        """Raise if the request was ended or the caller's key is no longer valid."""
        failure = None
        if self._open_request.stopped.done():
            failure = self._open_request.stopped.result()
        elif not access.is_valid(self._gateway.mirror, self._open_request.caller):
            failure = access.make_invalid_key_error(self._gateway.mirror)
        if failure is not None:
            # The request has an answer, so it has run.
            failure.not_run = False
            raise failure

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        self._check()
        transport = self._request.transport
        unsent = transport.get_write_buffer_size() if transport is not None else 0
        if unsent + len(data) < SLOW_BYTES:
            await self.response.write(data)
            return
        try:
            await wait_for(
                self._gateway.timer, self.response.write(data), STALL_SECONDS
            )
        except TimeoutError:
            text = "the caller stopped reading"
            raise error.SeamError(text, error.Kind.CANCELLED) from None

    async def finish(self) -> None:
        """End the body."""
        self._check()
        await self.response.write_eof()

    async def abort(self, failure: error.SeamError) -> None:
        """Abort an answer that can't be completed, so that the caller notices.

        An event stream gets an error event, unless much earlier data is unsent
        because the caller doesn't read. In both cases the connection is closed
        without the regular end of the body. A caller that doesn't know chunks would
        take the close for that end.
        """
        transport = self._request.transport
        if transport is None:
            return
        if self._request.version < HttpVersion11:
            framing.break_off(transport)
            return
        content_type = self.response.headers.get("Content-Type", "")
        # uvloop sends what is written only after the current step, so a small amount
        # of unsent data says nothing about the caller.
        is_slow = transport.get_write_buffer_size() >= SLOW_BYTES
        if is_slow or not content_type.startswith(EVENT_STREAM):
            transport.abort()
            return
        body = web.json_response(render_body(failure)).body
        await self.response.write(b"data: " + body + b"\n\n")
        transport.close()
