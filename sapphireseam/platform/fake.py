"""Stand-ins around a front for tests of its stop, and a client of it."""

import asyncio
from typing import NamedTuple

from sapphireseam.core import error, fleet, message
from sapphireseam.entry.authorizer import Authorization
from sapphireseam.entry.direct import DirectRequest
from sapphireseam.platform import dialect
from sapphireseam.platform.answer import ClientSink
from sapphireseam.utils.timer import SystemTimer

SAFE, UNSAFE, STREAM, BATCH = "safe", "unsafe", "stream", "batch"
ROUTE_SECONDS = 60.0
MAX_BODY_BYTES = 1000
HEADERS = (("X-Response-Signature", "sig"),)


class FakeAuthorizer:
    """Authorizes every request, for a route that the first part of the path names."""

    is_ready = True
    bounds = fleet.Bounds(body_bytes=MAX_BODY_BYTES)

    async def authorize(self, host: str, path: str, key_text: str) -> Authorization:
        """Return the authorization of a request."""
        kind = path.split("/")[1]
        route = fleet.Route(
            f"/{kind}/",
            "llm",
            idempotent=kind == SAFE,
            streamed=kind == STREAM,
            timeout=ROUTE_SECONDS,
            batch=fleet.Batch() if kind == BATCH else None,
        )
        return Authorization(kind, route, "t1", 0)

    async def identify_with_refresh(self, key_text: str) -> str:
        """Return the customer of a key."""
        return "t1"


class SlowForwarder:
    """Answers after as many seconds as the last part of the path says.

    A request that isn't answered at its deadline fails.
    """

    def __init__(self):
        self.requests: list[DirectRequest] = []

    async def serve(self, request: DirectRequest, sink: ClientSink) -> None:
        """Answer one request; a stream begins at once."""
        self.requests.append(request)
        if request.route.streamed:
            await sink.begin(200, HEADERS)
            await sink.write(b"id: 0\n\n")
        now = SystemTimer().read_clock()
        try:
            async with asyncio.timeout(request.deadline - now):
                await asyncio.sleep(float(request.target.split("/")[-1]))
        except TimeoutError:
            kind = error.Kind.DEADLINE_EXCEEDED
            raise error.SeamError("late", kind, not_run=False) from None
        if not request.route.streamed:
            await sink.begin(200, HEADERS)
        await sink.write(b"whole")
        await sink.finish()


class SlowBulkJobs:
    """Answers every call about bulk jobs after `seconds`."""

    def __init__(self, seconds: float):
        self.seconds = seconds

    async def accept(self, *arguments: object) -> None:
        """Accept a bulk job."""
        await asyncio.sleep(self.seconds)

    async def read(self, *arguments: object) -> message.LotView:
        """Return no results."""
        await asyncio.sleep(self.seconds)
        return message.LotView(2, ())

    async def end(self, *arguments: object) -> None:
        """End a bulk job."""
        await asyncio.sleep(self.seconds)


class Reply(NamedTuple):
    """What a client received; `is_whole` says whether an answer came to its end."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


class Client:
    """A client with one connection."""

    def __init__(self, port: int):
        self._port = port
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def open(self) -> None:
        """Connect to the front."""
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self._port
        )

    def send(
        self,
        path: str,
        method: str = "POST",
        body: bytes = b"b",
        length: int | None = None,
        deadline: float = ROUTE_SECONDS,
        attempt: str = "a",
    ) -> None:
        """Send a request; `length` is the declared length of the body."""
        size = len(body) if length is None else length
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: h\r\n{dialect.ATTEMPT}: {attempt}\r\n"
            f"{dialect.DEADLINE}: {deadline * dialect.MILLISECONDS_PER_SECOND}\r\n"
            f"Content-Length: {size}\r\n\r\n"
        )
        self.writer.write(head.encode() + body)

    async def receive(self) -> Reply:
        """Return an answer, or raise `EOFError` if the connection ends before it."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        first, *lines = head.split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines if line)
        status = int(first.split()[1])
        if "content-length" in headers:
            size = int(headers["content-length"])
            return Reply(status, headers, await self.reader.readexactly(size), True)
        return await self._receive_chunks(status, headers)

    async def _receive_chunks(self, status: int, headers: dict[str, str]) -> Reply:
        body = b""
        try:
            while True:
                size = int(await self.reader.readuntil(b"\r\n"), 16)
                data = await self.reader.readexactly(size + 2)
                if not size:
                    return Reply(status, headers, body, True)
                body += data[:-2]
        except EOFError:
            return Reply(status, headers, body, False)

    async def ask(self, path: str, **options) -> Reply:
        """Send a request and return its answer."""
        self.send(path, **options)
        return await self.receive()
