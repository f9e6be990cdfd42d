"""Stand in for upstreams that are found by discovery, with their faults.

Each request takes the next act of its upstream; without one it is answered well.
What ran is kept, so that a test can see what callers can't.
"""

import asyncio
from typing import NamedTuple

from multidict import CIMultiDict, CIMultiDictProxy

from sapphireseam.core.instance import Instance
from sapphireseam.utils import outbound

ID = "Fake-Id"
NOT_RUN = "Fake-Not-Run"
RESUME = "Fake-Resume"
CUSTOMER = "Fake-Customer"
REMAINING = "Fake-Remaining"
# How long a silent upstream says nothing, in seconds.
SILENT_SECONDS = 30.0


class FakeDialect:
    """Speak to the fake upstreams."""

    def render(
        self, request: outbound.Outgoing, instance: Instance
    ) -> list[tuple[str, str]]:
        """Return a request's headers."""
        headers = [("Host", request.host), (ID, request.id), *request.headers]
        headers += [(CUSTOMER, request.customer), (REMAINING, str(request.remaining))]
        if request.resume_after >= 0:
            headers.append((RESUME, str(request.resume_after)))
        return headers

    def read_id(self, headers: CIMultiDictProxy[str]) -> str:
        """Return the request that an answer belongs to."""
        return headers.get(ID, "")

    def is_not_run(self, status: int, headers: CIMultiDictProxy[str]) -> bool:
        """Say whether the answer promises that nothing ran."""
        return NOT_RUN in headers


class Run(NamedTuple):
    """Hold a request that an upstream has got."""

    id: str
    path: str
    headers: CIMultiDict
    body: bytes


class FakeUpstream:
    """Answer on one port of loopback; `acts` are taken one a request.

    Acts: `well`, `refuse` (not run), `fail` (500), `impossible` (422), `drop`
    (closes without an answer), `silent`, `cut` (breaks off within the third
    event), `stall` (says nothing more after the second event), `stale` (answers
    another request).
    """

    def __init__(self, name: str, service: str = "llm", events: int = 4):
        self.name = name
        self.service = service
        self.events = events
        self.behaviours: list[str] = []
        self.runs: list[Run] = []
        self.connections = 0
        self.slots = 8
        # Pause before each event, in seconds.
        self.event_delay = 0.0
        # Requests that were at work when their connection closed.
        self.dropped: list[str] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    async def stop(self) -> None:
        """Stop listening."""
        self._server.close()

    @property
    def instance(self) -> Instance:
        """Return what discovery would say of it."""
        port = self._server.sockets[0].getsockname()[1]
        address = f"127.0.0.1:{port}"
        return Instance(self.name, self.service, address, "z", self.slots)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # The caller has closed, or the test is over.
            return
        finally:
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; false if the connection is to be closed."""
        run = await _read_request(reader)
        act = self.behaviours.pop(0) if self.behaviours else "well"
        if act != "refuse":
            self.runs.append(run)
        if act == "drop":
            return False
        if act == "silent":
            await self._wait_for_close(reader, run)
            return False
        if act in ("refuse", "fail", "impossible", "stale"):
            _answer_plainly(writer, act, run)
            return True
        return await self._stream(reader, writer, run, act)

    async def _wait_for_close(self, reader: asyncio.StreamReader, run: Run) -> None:
        try:
            async with asyncio.timeout(SILENT_SECONDS):
                await reader.read(1)
        except TimeoutError:
            return
        self.dropped.append(run.id)

    async def _stream(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        run: Run,
        act: str,
    ) -> bool:
        start = int(run.headers.get(RESUME, "-1")) + 1
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + f"{ID}: {run.id}\r\nFake-By: {self.name}\r\n".encode()
            + b"Transfer-Encoding: chunked\r\n\r\n"
        )
        for number in range(start, self.events):
            if self.event_delay:
                await asyncio.sleep(self.event_delay)
            if writer.is_closing() or reader.at_eof():
                self.dropped.append(run.id)
                return False
            event = f"id: {number}\ndata: {run.id}-{number}\n\n".encode()
            if act == "cut" and number == start + 2:
                _write_chunk(writer, event[:5])
                await writer.drain()
                return False
            if act == "stall" and number == start + 2:
                await self._wait_for_close(reader, run)
                return False
            _write_chunk(writer, event)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")


def _answer_plainly(writer: asyncio.StreamWriter, act: str, run: Run) -> None:
    status = {"refuse": 503, "fail": 500, "impossible": 422, "stale": 200}[act]
    id = "another" if act == "stale" else run.id
    extra = f"{NOT_RUN}: 1\r\n" if act == "refuse" else ""
    writer.write(
        f"HTTP/1.1 {status} X\r\n{ID}: {id}\r\n{extra}".encode()
        + b"Content-Length: 2\r\n\r\nno"
    )


async def _read_request(reader: asyncio.StreamReader) -> Run:
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.strip().split("\r\n")
    headers = CIMultiDict(line.split(": ", 1) for line in lines)
    body = await reader.readexactly(int(headers.get("Content-Length", "0")))
    return Run(headers.get(ID, ""), first.split()[1], headers, body)
