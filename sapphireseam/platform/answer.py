"""Write answers to the platform's clients: a replica's, or one of our own."""

import json

from aiohttp import web

from sapphireseam.core import error
from sapphireseam.platform import dialect
from sapphireseam.utils.outbound import Headers

# What a status of these promises: the request hasn't run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MAY_HAVE_RUN_STATUS = 502


def choose_status(failure: error.SeamError) -> int:
    """Return the status that says of a failure no more than is true."""
    status = failure.answer.status
    if status in NOT_RUN_STATUSES and not failure.not_run:
        return MAY_HAVE_RUN_STATUS
    return status


def render_failure(failure: error.SeamError, attempt: str) -> web.Response:
    """Return an answer of our own, with the time to come back if there is one."""
    status = choose_status(failure)
    headers = {dialect.ATTEMPT: attempt} if attempt else {}
    if failure.retry_after and status in NOT_RUN_STATUSES:
        headers["Retry-After"] = f"{failure.retry_after:.2f}"
    body = json.dumps(error.render_body(failure)).encode()
    return web.Response(
        status=status, headers=headers, body=body, content_type="application/json"
    )


def render_json(body: bytes, status: int = 200) -> web.Response:
    """Return an answer with a JSON body."""
    return web.Response(status=status, body=body, content_type="application/json")


class ClientSink:
    """Write a replica's answer to one client.

    A stream goes out as it comes; a whole answer is written at its end.
    """

    def __init__(self, request: web.BaseRequest, is_streamed: bool):
        self._request = request
        self._is_streamed = is_streamed
        self._status = 0
        self._headers: Headers = ()
        self._body = bytearray()
        self.is_closing = False
        self.response: web.StreamResponse | None = None

    @property
    def has_begun(self) -> bool:
        """Say whether the client has got anything."""
        return self.response is not None

    async def begin(self, status: int, headers: Headers) -> None:
        """Begin the answer."""
        self._status = status
        self._headers = dialect.strip_answer(headers)
        if self._is_streamed:
            self.response = self._make(web.StreamResponse(status=status))
            await self.response.prepare(self._request)

    def _make(self, response: web.StreamResponse) -> web.StreamResponse:
        for name, value in self._headers:
            response.headers.add(name, value)
        if self.is_closing:
            response.force_close()
        return response

    async def write(self, data: bytes) -> None:
        """Continue the answer."""
        if self.response is None:
            self._body += data
        else:
            await self.response.write(data)

    async def finish(self) -> None:
        """End the answer, which is whole."""
        if self.response is None:
            whole = web.Response(status=self._status, body=bytes(self._body))
            whole.headers.popall("Content-Type", None)
            self.response = self._make(whole)
        else:
            await self.response.write_eof()

    def break_off(self) -> None:
        """End the answer so that the client sees that it isn't whole."""
        if self._request.transport is not None:
            self._request.transport.close()
