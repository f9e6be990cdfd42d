"""Answer one caller over HTTP: an answer as it comes, or an error.

An answer goes on only while its caller may have it: each piece looks at the
key again. An answer that can't be made whole is cut so that the caller sees it.
"""

import asyncio
import logging
import math
from typing import Any, Protocol

from aiohttp import web

from sapphireseam.core import error, key
from sapphireseam.entry import access
from sapphireseam.entry.delivery import EVENT_STREAM
from sapphireseam.utils.mirror import Mirror
from sapphireseam.utils.timer import TimerService, wait_for

logger = logging.getLogger(__name__)

NOT_RUN_HEADER = "X-Seam-Not-Run"
REQUEST_HEADER = "X-Request-Id"
# Bytes that may wait for a caller before its reading is watched, and how long
# it may then read nothing, in seconds.
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
    """Return an error's body; a key that got into its text is taken out."""
    body = error.render_body(failure)
    body["error"]["message"] = key.redact(failure.message)
    return body


def to_seam_error(failure: Exception) -> error.SeamError:
    """Return an error of the closed list; log one that was not expected."""
    if isinstance(failure, error.SeamError):
        return failure
    if isinstance(failure, ConnectionError):
        return error.SeamError("the caller went away", error.Kind.CANCELLED)
    logger.error("unexpected error", exc_info=failure)
    return error.SeamError("internal error; the operators' log has the cause")


class OpenRequest:
    """Track a request under way, so that it can be ended from outside."""

    def __init__(self, end: float):
        self.caller = access.Caller("", "")
        # The latest time, on the entry's clock, at which it may still be open.
        self.end = end
        self.stopped: asyncio.Future[error.SeamError] = (
            asyncio.get_running_loop().create_future()
        )

    def stop(self, failure: error.SeamError) -> None:
        """End the request with an error."""
        if not self.stopped.done():
            self.stopped.set_result(failure)


class GatewayState(Protocol):
    """Know what holds for all callers of one entry.

    `closing` is true from the first moment of a stop on.
    """

    mirror: Mirror
    timer: TimerService
    closing: bool


class ResponseSink:
    """Write an answer to a caller whose key still holds."""

    def __init__(
        self,
        request: web.Request,
        request_id: str,
        item: OpenRequest,
        owner: GatewayState,
    ):
        self._request = request
        self._request_id = request_id
        self._item = item
        self._owner = owner
        self.response: web.StreamResponse | None = None

    async def begin(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Send the answer's head."""
        self._check()
        response = web.StreamResponse(status=status)
        for name, value in headers:
            if name.lower() not in _OWN_HEADERS:
                response.headers.add(name, value)
        response.headers[REQUEST_HEADER] = self._request_id
        if self._owner.closing:
            response.force_close()
        self.response = response
        await response.prepare(self._request)

    def _check(self) -> None:
        """Raise once the caller may get nothing more."""
        failure = None
        if self._item.stopped.done():
            failure = self._item.stopped.result()
        elif not access.is_valid(self._owner.mirror, self._item.caller):
            failure = access.explain_invalid(self._owner.mirror)
        if failure is not None:
            # There is an answer, so the request has run.
            failure.not_run = False
            raise failure

    async def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        self._check()
        transport = self._request.transport
        waiting = transport.get_write_buffer_size() if transport is not None else 0
        if waiting + len(data) < SLOW_BYTES:
            await self.response.write(data)
            return
        try:
            await wait_for(self._owner.timer, self.response.write(data), STALL_SECONDS)
        except TimeoutError:
            text = "the caller stopped reading"
            raise error.SeamError(text, error.Kind.CANCELLED) from None

    async def finish(self) -> None:
        """End the body."""
        self._check()
        await self.response.write_eof()

    async def break_off(self, failure: error.SeamError) -> None:
        """End an answer that can't be made whole, so that the caller sees it.

        An event stream gets an error event; in any case the connection is cut
        without the body's proper end.
        """
        transport = self._request.transport
        if transport is None:
            return
        kind = self.response.headers.get("Content-Type", "")
        if not kind.startswith(EVENT_STREAM) or transport.get_write_buffer_size():
            transport.abort()
            return
        body = web.json_response(render_body(failure)).body
        await self.response.write(b"data: " + body + b"\n\n")
        transport.close()
