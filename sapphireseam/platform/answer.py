"""Writes answers to the platform's clients: replicas' answers and errors."""

import json

from aiohttp import HttpVersion11, web

from sapphireseam.core import error
from sapphireseam.platform import dialect
from sapphireseam.utils import framing
from sapphireseam.utils.grace import Grace
from sapphireseam.utils.outbound import Headers

# Statuses that promise that the request has not run and will not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MAY_HAVE_RUN_STATUS = 502


def choose_status(failure: error.SeamError) -> int:
    """Return the HTTP status of a failure.

    A request that may have run must not get a status that promises the opposite.
    """
    status = failure.answer.status
    if status in NOT_RUN_STATUSES and not failure.not_run:
        return MAY_HAVE_RUN_STATUS
    return status


def render_failure(failure: error.SeamError, attempt_id: str) -> web.Response:
    """Return an error answer, with a Retry-After header if a time is given."""
    status = choose_status(failure)
    headers = {dialect.ATTEMPT: attempt_id} if attempt_id else {}
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
    """Writes a replica's answer to one client.

    A stream is passed on as it arrives. A plain answer is buffered until its end. The
    answer to a request that must not run again may not say that it hasn't run.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        is_streamed: bool,
        may_repeat: bool,
        grace: Grace,
    ):
        self._request = request
        self._is_streamed = is_streamed
        self._may_repeat = may_repeat
        self._status = 0
        self._headers: Headers = ()
        self._parts: list[bytes] = []
        self._grace = grace
        self.response: web.StreamResponse | None = None

    @property
    def has_begun(self) -> bool:
        """Return whether the client has received a part of the answer."""
        return self.response is not None

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head of a stream, or store the head of a plain answer."""
        if self._status:
            raise RuntimeError("the answer has already begun")
        if status in NOT_RUN_STATUSES and not self._may_repeat:
            raise error.OutcomeError(f"the replica answered {status} and may have run")
        self._status = status
        self._headers = dialect.strip_answer(headers)
        if self._is_streamed:
            self.response = self._add_headers(web.StreamResponse(status=status))
            await self.response.prepare(self._request)

    def _add_headers(self, response: web.StreamResponse) -> web.StreamResponse:
        for name, value in self._headers:
            response.headers.add(name, value)
        if self._grace.is_stopping:
            response.force_close()
        return response

    async def write(self, data: bytes) -> None:
        """Send a part of a stream, or buffer a part of a plain answer."""
        if self.response is None:
            self._parts.append(data)
        else:
            await self.response.write(data)

    async def finish(self) -> None:
        """Finish an answer of which every part was written."""
        if self.response is None:
            plain = web.Response(status=self._status, body=b"".join(self._parts))
            self._parts.clear()
            plain.headers.popall("Content-Type", None)
            self.response = self._add_headers(plain)
        else:
            await self.response.write_eof()

    def abort(self) -> None:
        """Close the connection, to show the client that the answer is incomplete.

        A client that doesn't know chunks would take the close for the regular end.
        """
        transport = self._request.transport
        if transport is None:
            return
        if self._request.version < HttpVersion11:
            framing.break_off(transport)
        else:
            transport.close()
