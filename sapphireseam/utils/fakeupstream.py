"""Fakes upstreams that are found by discovery, and their faults.

Each request is answered by the first of the upstream's `behaviours`, which is then
removed. If none is left, the request gets a complete answer. The upstream records
the requests that ran, so that tests can check them; callers can't see them.
"""

import asyncio
import socket
from collections.abc import Mapping
from typing import NamedTuple

from multidict import CIMultiDict, CIMultiDictProxy

from sapphireseam.core.instance import Instance
from sapphireseam.utils import framing, outbound

ID = "Fake-Id"
NOT_RUN = "Fake-Not-Run"
RESUME = "Fake-Resume"
CUSTOMER = "Fake-Customer"
REMAINING = "Fake-Remaining"
LEAVING = "Fake-Leaving"
CEILING = "Fake-Ceiling"
COLD = "Fake-Cold"
# Lists the parts of a request's prompt, separated by commas.
PARTS = "Fake-Parts"
HEALTH_PATH = "/"
# Agents check their upstream's health here.
AGENT_HEALTH_PATH = "/health"
UNNAMED_REFUSAL = (
    f"HTTP/1.1 400 X\r\n{NOT_RUN}: 1\r\nContent-Length: 2\r\n\r\nno".encode()
)
TRANSFER_LINE = b"Transfer-Encoding: chunked\r\n"
# How long a silent upstream sends nothing, in seconds.
SILENT_SECONDS = 30.0
# How long an upstream that pauses sends nothing before it goes on, in seconds.
PAUSE_SECONDS = 1.3


class FakeDialect:
    """The header names that the fake upstreams use."""

    def render(
        self, request: outbound.Outgoing, instance: Instance
    ) -> list[tuple[str, str]]:
        """Return the headers of a request."""
        headers = [("Host", request.host), (ID, request.id), *request.headers]
        headers += [(CUSTOMER, request.customer), (REMAINING, str(request.remaining))]
        if request.resume_after >= 0:
            headers.append((RESUME, str(request.resume_after)))
        return headers

    def read_id(self, headers: Mapping[str, str]) -> str:
        """Return the id of a request or of the answered request."""
        return headers.get(ID, "")

    def is_not_run(self, status: int, headers: CIMultiDictProxy[str]) -> bool:
        """Return whether the answer guarantees that the request hasn't run."""
        return NOT_RUN in headers

    def is_leaving(self, headers: CIMultiDictProxy[str]) -> bool:
        """Return whether the upstream says that it is leaving."""
        return LEAVING in headers

    def read_ceiling(self, status: int, headers: CIMultiDictProxy[str]) -> str | None:
        """Return the requests per second that the upstream names."""
        return headers.get(CEILING, "")

    def read_cold_seconds(
        self, instance: Instance, status: int, headers: CIMultiDictProxy[str]
    ) -> float | None:
        """Return for how many seconds the upstream says that it stays cold."""
        return float(headers[COLD]) if COLD in headers else None

    def is_signed(self, headers: CIMultiDictProxy[str]) -> bool:
        """Return whether the answer is that of a fake upstream."""
        return ID in headers


class Run(NamedTuple):
    """A request that an upstream has received.

    It arrived `at` this time, on the clock of the event loop, at the upstream's run
    `born`.
    """

    id: str
    path: str
    headers: CIMultiDict
    body: bytes
    at: float = 0.0
    born: int = 0

    @property
    def parts(self) -> list[str]:
        """Return the parts of the prompt."""
        return self.headers.get(PARTS, "").split(",")


class Raw(NamedTuple):
    """Bytes that are sent as an answer; the connection is closed or reset after them.

    Each `{id}` in the bytes is replaced by the id of the request.
    """

    data: bytes
    resets: bool = False


class Event(NamedTuple):
    """A crash under a request with a bad part, or the arrival of such a request.

    `at` is on the clock of the event loop, in seconds.
    """

    at: float
    run: Run


class FakeUpstream:
    """Fakes an upstream on one loopback port.

    Behaviours: `well` (complete answer), `refuse` (not run), `fail` (500),
    `impossible` (422), `drop` (closes without an answer), `silent` (no answer),
    `cut` (closes within the third event), `stall` (sends nothing after the second
    event), `stale` (answers another request), `stale-refuse` (refuses another one),
    `repeat` (complete answer, after the newest refusal or 500 on the connection, once
    more), `unnamed-refusal` (complete answer, after a refusal without an id).
    A sound upstream may pause for `PAUSE_SECONDS` and then go on: `pause-head` (before
    the head of its answer), `pause-start` (before the first event), `pause` (after the
    first event).

    Answers without length or chunks, which end with their connection: `unframed`
    (complete), `unframed-cut` (closes within the third event), `unframed-empty`
    (closes before the first event), `unframed-reset` (resets the connection after
    the second event), `reset` (resets the connection instead of an answer).

    A behaviour that is a `Raw` object is sent instead of an answer.

    Any request whose prompt has one of `bad_parts` crashes the upstream while it is
    answered: the upstream resets all its connections, loses its running requests, and
    listens again after `down_seconds` as the next run, with another `born`. A leaving
    upstream stays down. With a sidecar, connections are accepted while the upstream is
    down, and are closed without an answer once a request has arrived.

    A request for `HEALTH_PATH` or `AGENT_HEALTH_PATH` is no run; its answer is empty.
    """

    def __init__(
        self, name: str, service: str = "llm", events: int = 4, version: str = ""
    ):
        self.name = name
        self.version = version
        self.service = service
        self.domain = "z"
        self.events = events
        self.behaviours: list[str | Raw] = []
        # The data of each event begins with it, or with the request's id if empty.
        self.text = ""
        self.runs: list[Run] = []
        self.connections = 0
        self.slots = 8
        self.born = 0
        # Whether every answer says that the upstream is leaving.
        self.is_leaving = False
        # The requests per second that every answer names, none if empty.
        self.ceiling = ""
        # Until when the upstream is cold, on the clock of the event loop.
        self.cold_until = 0.0
        # For how many seconds it is cold after it crashed.
        self.cold_seconds = 0.0
        # The arrival times of all requests, on the clock of the event loop.
        self.arrivals: list[float] = []
        # Delay before each event, in seconds.
        self.event_delay = 0.0
        # Ids of the requests that were running when their connection was closed.
        self.dropped: list[str] = []
        self.bad_parts: frozenset[str] = frozenset()
        # Events of an answer that are sent before a bad part crashes the upstream; a
        # negative number crashes it before the head.
        self.events_before_crash = 0
        # Delay of a crash after that, in seconds.
        self.crash_delay = 0.0
        self.down_seconds = 1.0
        self.has_sidecar = False
        self.crashes: list[Event] = []
        self.bad_arrivals: list[Event] = []
        # Keeps the port while the upstream is down; servers listen beside it.
        self._reservation: socket.socket | None = None
        self._port = 0
        self._connections: set[asyncio.StreamWriter] = set()
        # The newest refusal or 500 on each open connection.
        self._failures: dict[asyncio.StreamWriter, bytes] = {}
        self._restarting: asyncio.Task | None = None
        self._is_down = False
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen."""
        if self._reservation is None:
            self._reservation = socket.socket()
            self._reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._reservation.bind(("127.0.0.1", 0))
            _, self._port = self._reservation.getsockname()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)

    async def stop(self) -> None:
        """Stop listening."""
        if self._restarting is not None:
            self._restarting.cancel()
        self._server.close()
        self._reservation.close()

    @property
    def cold_left(self) -> float:
        """For how many seconds the upstream stays cold, as a list would show it."""
        return max(self.cold_until - asyncio.get_running_loop().time(), 0.0)

    def cool(self, seconds: float) -> None:
        """Be cold for some seconds from now on, or longer if it is already."""
        end = asyncio.get_running_loop().time() + seconds
        self.cold_until = max(self.cold_until, end)

    @property
    def is_down(self) -> bool:
        """Whether the upstream has crashed and serves nothing."""
        return self._is_down

    def _crash(self, run: Run) -> None:
        """Reset all connections and listen again as the next run after a while."""
        if self.is_down:
            return
        self.crashes.append(_make_event(run))
        self._is_down = True
        if not self.has_sidecar:
            self._server.close()
        for writer in self._connections:
            framing.break_off(writer.transport)
        self._restarting = asyncio.create_task(self._restart())

    async def _restart(self) -> None:
        await asyncio.sleep(self.down_seconds)
        if self.is_leaving:
            return
        self.born += 1
        self.cool(self.cold_seconds)
        self._is_down = False
        if not self.has_sidecar:
            await self.start()

    @property
    def instance(self) -> Instance:
        """Return the instance as discovery would list it."""
        return Instance(
            self.name,
            self.service,
            f"127.0.0.1:{self._port}",
            self.domain,
            self.slots,
            born=self.born,
            version=self.version,
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._connections.add(writer)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # The caller closed the connection, or the test has ended.
            return
        finally:
            self._connections.discard(writer)
            self._failures.pop(writer, None)
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return false if the connection must be closed."""
        run = await _read_request(reader)
        if self.is_down:
            return False
        if run.path in (HEALTH_PATH, AGENT_HEALTH_PATH):
            cold = f"{COLD}: {self.cold_left}\r\n"
            head = f"HTTP/1.1 200 OK\r\n{cold}Content-Length: 0\r\n\r\n"
            writer.write(head.encode())
            return True
        self.arrivals.append(asyncio.get_running_loop().time())
        run = run._replace(at=self.arrivals[-1], born=self.born)
        behaviour = self.behaviours.pop(0) if self.behaviours else "well"
        if behaviour != "refuse":
            self.runs.append(run)
        if behaviour != "refuse" and self._crashes_under(run):
            self.bad_arrivals.append(_make_event(run))
            if self.events_before_crash < 0:
                return await self._crash_later(run)
        if isinstance(behaviour, Raw):
            return await _send_raw(writer, behaviour, run)
        if behaviour == "drop":
            return False
        if behaviour == "reset":
            framing.break_off(writer.transport)
            return False
        if behaviour == "silent":
            await self._wait_for_close(reader, run)
            return False
        if behaviour in ("refuse", "fail", "impossible", "stale", "stale-refuse"):
            answer = _render_short_answer(behaviour, run, self._render_state())
            if behaviour in ("refuse", "fail"):
                self._failures[writer] = answer
            writer.write(answer)
            return True
        if behaviour == "repeat":
            writer.write(self._failures.get(writer, b""))
        if behaviour == "unnamed-refusal":
            writer.write(UNNAMED_REFUSAL)
        return await self._stream_answer(reader, writer, run, behaviour)

    def _crashes_under(self, run: Run) -> bool:
        return not self.bad_parts.isdisjoint(run.parts)

    async def _crash_later(self, run: Run) -> bool:
        await asyncio.sleep(self.crash_delay)
        self._crash(run)
        return False

    def _render_state(self) -> bytes:
        """Return the headers of every answer that tell the upstream's state."""
        leaving = f"{LEAVING}: 1\r\n" if self.is_leaving else ""
        ceiling = f"{CEILING}: {self.ceiling}\r\n" if self.ceiling else ""
        return (leaving + ceiling).encode()

    async def _wait_for_close(self, reader: asyncio.StreamReader, run: Run) -> None:
        try:
            async with asyncio.timeout(SILENT_SECONDS):
                await reader.read(1)
        except TimeoutError:
            return
        self.dropped.append(run.id)

    async def _stream_answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        run: Run,
        behaviour: str,
    ) -> bool:
        crashes = self._crashes_under(run)
        start = int(run.headers.get(RESUME, "-1")) + 1
        is_framed = not behaviour.startswith("unframed")
        ending = behaviour.removeprefix("unframed-")
        coding = TRANSFER_LINE if is_framed else b""
        if behaviour == "pause-head":
            await asyncio.sleep(PAUSE_SECONDS)
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + f"{ID}: {run.id}\r\nFake-By: {self.name}\r\n".encode()
            + coding
            + self._render_state()
            + b"\r\n"
        )
        if ending == "empty":
            return False
        for number in range(start, self.events):
            if crashes and number == start + self.events_before_crash:
                return await self._crash_later(run)
            if self.event_delay:
                await asyncio.sleep(self.event_delay)
            if number - start == {"pause-start": 0, "pause": 1}.get(behaviour):
                await asyncio.sleep(PAUSE_SECONDS)
            if writer.is_closing() or reader.at_eof():
                self.dropped.append(run.id)
                return False
            text = self.text or run.id
            event = f"id: {number}\ndata: {text}-{number}\n\n".encode()
            if ending == "reset" and number == start + 2:
                framing.break_off(writer.transport)
                return False
            if ending == "cut" and number == start + 2:
                _write_part(writer, event[:5], is_framed)
                await writer.drain()
                return False
            if behaviour == "stall" and number == start + 2:
                await self._wait_for_close(reader, run)
                return False
            _write_part(writer, event, is_framed)
            await writer.drain()
        if is_framed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        return is_framed


def _make_event(run: Run) -> Event:
    return Event(asyncio.get_running_loop().time(), run)


def _write_part(writer: asyncio.StreamWriter, data: bytes, is_framed: bool) -> None:
    """Write a part of a body, as a chunk if the body is framed."""
    if is_framed:
        data = f"{len(data):x}\r\n".encode() + data + b"\r\n"
    writer.write(data)


async def _send_raw(writer: asyncio.StreamWriter, raw: Raw, run: Run) -> bool:
    """Send the bytes and return false, which closes the connection."""
    writer.write(raw.data.replace(b"{id}", run.id.encode()))
    await writer.drain()
    if raw.resets:
        framing.break_off(writer.transport)
    return False


def make_raw(
    body: bytes,
    status: bytes = b"200 OK",
    content_type: bytes = b"text/event-stream",
    extra: bytes = b"",
) -> Raw:
    """Return a whole answer with a length; `extra` holds further lines of its head."""
    head = b"HTTP/1.1 %s\r\n%s: {id}\r\nContent-Type: %s\r\n%s" % (
        status,
        ID.encode(),
        content_type,
        extra,
    )
    return Raw(b"%sContent-Length: %d\r\n\r\n%s" % (head, len(body), body))


def list_cut_heads() -> list[Raw]:
    """Return heads of successful answers that end early, by a close and by a reset.

    They end in the status line, in a name, in a value, between two headers, before and
    in the empty line, with a length, with chunks and with neither.
    """
    start = b"HTTP/1.1 200 OK\r\n%s: {id}\r\nContent-Type: text/" % ID.encode()
    places = [b"HTTP/1.1 2", b"HTTP/1.1 200 OK\r\n", start[:20], start]
    for framing_line in (b"", b"Content-Length: 40\r\n", TRANSFER_LINE):
        head = start + b"event-stream\r\n" + framing_line
        places += [head, head + b"\r"]
    places += [head[:-1], head[:-4], start + b"event-stream\r\nContent-Length: 4"]
    # An informational head isn't an answer either.
    places += [b"HTTP/1.1 103 Early Hints\r\n\r\n"]
    return [Raw(place, resets) for place in places for resets in (False, True)]


def _render_short_answer(behaviour: str, run: Run, extra: bytes) -> bytes:
    kind = behaviour.removeprefix("stale-")
    status = {"refuse": 503, "fail": 500, "impossible": 422, "stale": 200}[kind]
    id = "another" if behaviour.startswith("stale") else run.id
    if kind == "refuse":
        extra += f"{NOT_RUN}: 1\r\n".encode()
    head = f"HTTP/1.1 {status} X\r\n{ID}: {id}\r\n".encode()
    return head + extra + b"Content-Length: 2\r\n\r\nno"


async def _read_request(reader: asyncio.StreamReader) -> Run:
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.strip().split("\r\n")
    headers = CIMultiDict(line.split(": ", 1) for line in lines)
    body = await reader.readexactly(int(headers.get("Content-Length", "0")))
    return Run(headers.get(ID, ""), first.split()[1], headers, body)
