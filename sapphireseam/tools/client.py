"""Sends planned requests and records when each part of an answer arrives.

The client does not verify answers: it returns them as received, and `check`
compares them with the right answers.
"""

from collections.abc import Callable
from typing import NamedTuple

import aiohttp
import msgspec

from sapphireseam.tools import plan
from sapphireseam.utils import timer

_EVENT_END = b"\n\n"
_EVENT_START = b"data: "
NOT_RUN_HEADER = "X-Seam-Not-Run"


class Reply(NamedTuple):
    """The reply to a request; times are readings of the client's clock.

    `content` is the received part of the answer's text, image or digest.
    `ended` is true if the answer was terminated properly. `code` is the kind of
    an error that the server reported. `failure` describes a timeout, a failed
    connection or an answer that cannot be parsed. `gaps` are the seconds between
    the tokens of a stream.
    """

    sent: float
    first: float
    last: float
    status: int = 0
    content: str | bytes = ""
    finish_reason: str = ""
    ended: bool = False
    code: str = ""
    not_run: bool = False
    failure: str = ""
    retry_after: str = ""
    gaps: tuple[float, ...] = ()


class StreamReader:
    """A parser of a streamed answer that records the time of each token."""

    def __init__(self, read_clock: Callable[[], float]):
        self.texts: list[str] = []
        self.times: list[float] = []
        self.finish_reason = ""
        self.code = ""
        self.done = False
        self._buffer = b""
        self._read_clock = read_clock

    def feed(self, data: bytes) -> None:
        """Parse the next bytes of the stream."""
        *events, self._buffer = (self._buffer + data).split(_EVENT_END)
        now = self._read_clock()
        for event in events:
            if event.startswith(_EVENT_START):
                self._parse_event(event[len(_EVENT_START) :], now)

    def _parse_event(self, data: bytes, now: float) -> None:
        if data == b"[DONE]":
            self.done = True
            return
        document = msgspec.json.decode(data)
        if document.get("error"):
            self.code = str(document["error"].get("code") or "unnamed")
            return
        for choice in document.get("choices", []):
            text = choice.get("text") or choice.get("delta", {}).get("content")
            if text:
                self.texts.append(text)
                self.times.append(now)
            self.finish_reason = choice.get("finish_reason") or self.finish_reason


def read_error_code(data: bytes) -> str:
    """Return the error code of a body in OpenAI's format, or `unnamed`."""
    try:
        return str(msgspec.json.decode(data)["error"]["code"] or "unnamed")
    except (msgspec.DecodeError, KeyError, TypeError):
        return "unnamed"


def _parse_body(request: plan.Request, reply: Reply, data: bytes) -> Reply:
    """Return the reply with the content of a body that is not streamed."""
    if request.protocol == "get":
        return reply._replace(content=data, ended=True)
    try:
        document = msgspec.json.decode(data)
        if request.protocol == "post":
            return reply._replace(content=document["digest"], ended=True)
        choice = document["choices"][0]
        text = choice["text"] if "text" in choice else choice["message"]["content"]
    except (msgspec.DecodeError, KeyError, IndexError, TypeError):
        return reply._replace(failure="body cannot be parsed")
    return reply._replace(
        content=text, finish_reason=choice["finish_reason"], ended=True
    )


class Client:
    """A client that sends requests to base URLs with the customers' keys."""

    def __init__(
        self,
        bases: list[str],
        keys: dict[str, str],
        timeout: float,
        timer_service: timer.TimerService,
    ):
        self._bases = [base.rstrip("/") for base in bases]
        self._keys = keys
        self._timeout = timeout
        self._timer = timer_service
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=30),
            timeout=aiohttp.ClientTimeout(total=None),
            auto_decompress=True,
        )

    async def stop(self) -> None:
        """Close the connection pool."""
        await self._session.close()

    def make_headers(self, customer: str) -> dict[str, str]:
        """Return the headers with a customer's key, empty without one."""
        key = self._keys.get(customer)
        return {"Authorization": f"Bearer {key}"} if key else {}

    def choose_base(self, position: float) -> str:
        """Return the base URL for a position from 0 to 1."""
        return self._bases[int(position * len(self._bases)) % len(self._bases)]

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return the connection pool, for calls other than planned requests."""
        return self._session

    async def send(self, request: plan.Request) -> Reply:
        """Send a request and return its reply, also if the request fails."""
        sent = self._timer.read_clock()
        reader = StreamReader(self._timer.read_clock)
        reply = Reply(sent, sent, sent)
        try:
            reply = await timer.wait_for(
                self._timer, self._exchange(request, reply, reader), self._timeout
            )
        except TimeoutError:
            reply = reply._replace(failure="timeout")
        except (aiohttp.ClientError, OSError) as failure:
            reply = reply._replace(failure=type(failure).__name__)
        except msgspec.DecodeError:
            reply = reply._replace(failure="event cannot be parsed")
        return self._add_streamed_content(reply, reader)

    def _add_streamed_content(self, reply: Reply, reader: StreamReader) -> Reply:
        """Return the reply with the streamed content that arrived."""
        reply = reply._replace(last=self._timer.read_clock())
        if not reader.times:
            return reply._replace(code=reply.code or reader.code)
        times = reader.times
        gaps = tuple(
            after - before for before, after in zip(times, times[1:], strict=False)
        )
        return reply._replace(
            status=200,
            first=times[0],
            gaps=gaps,
            content="".join(reader.texts),
            finish_reason=reader.finish_reason,
            ended=reader.done,
            code=reader.code,
        )

    async def _exchange(
        self, request: plan.Request, reply: Reply, reader: StreamReader
    ) -> Reply:
        headers = self.make_headers(request.customer)
        if request.body:
            headers["Content-Type"] = "application/json"
        if request.claims:
            headers["Idempotency-Key"] = request.id
        method = "GET" if request.protocol == "get" else "POST"
        url = self.choose_base(request.place) + request.path
        async with self._session.request(
            method, url, data=request.body or None, headers=headers
        ) as response:
            reply = reply._replace(
                status=response.status,
                not_run=response.headers.get(NOT_RUN_HEADER, "") == "true",
                retry_after=response.headers.get("Retry-After", ""),
            )
            try:
                return await self._read_answer(request, reply, reader, response)
            except (aiohttp.ClientError, OSError) as failure:
                return reply._replace(failure=type(failure).__name__)

    async def _read_answer(
        self,
        request: plan.Request,
        reply: Reply,
        reader: StreamReader,
        response: aiohttp.ClientResponse,
    ) -> Reply:
        if request.stream and response.status == 200:
            async for data in response.content.iter_any():
                reader.feed(data)
            return reply._replace(ended=reader.done)
        data = await response.read()
        reply = reply._replace(first=self._timer.read_clock())
        if response.status != 200:
            return reply._replace(code=read_error_code(data))
        return _parse_body(request, reply, data)
