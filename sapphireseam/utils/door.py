"""Stands between the sockets of clients that nobody controls and the HTTP library.

A `Guard` bounds, for all HTTP servers of one process together, what clients hold here:
the bytes of their requests, the processor time of parsing them, the time that a head, a
body and the reading of an answer may take, and the number of connections. Who goes when
a bound is reached is decided in `policy.eviction` and `policy.turn`. Servers are made
with a guard:

    guard = Guard(budget, timer, max_connections=2000)
    server = Server(guard, handle_request)
    runner = AppRunner(guard, application)

A request whose body isn't whole gets an error that says "not run" where its handler
waits for the body, since it was sent nowhere. Otherwise the connection is closed.
"""

import asyncio
import gc
import itertools
import logging
import resource
from collections import Counter, deque
from collections.abc import Callable
from enum import StrEnum
from typing import Any

from aiohttp import StreamReader, web
from aiohttp.http import HttpProcessingError, RawRequestMessage
from aiohttp.web_protocol import RequestHandler

from sapphireseam.core import error, fleet
from sapphireseam.policy import eviction, turn
from sapphireseam.utils import memory, metric
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.memory import BudgetError, MemoryBudget
from sapphireseam.utils.timer import TimerService, run_periodically

logger = logging.getLogger(__name__)

# Bytes that are read from one connection at once, and that wait parsed for a handler.
READ_BYTES = 16 * 1024
# What an open connection, a request and each of its fields use beside their bytes.
CONNECTION_BYTES = 16 * 1024
REQUEST_BYTES = 4 * 1024
FIELD_BYTES = 512
# Objects that the bytes of an unfinished head become, as a multiple of the bytes.
HEAD_FACTOR = 4
# An answer that waits to be sent is held by its handler, too.
UNSENT_FACTOR = 2
# Time in which the requests of new connections are read before any must go.
TRIM_SECONDS = 0.05
CHECK_SECONDS = 0.25
# A check that comes later than this after the one before follows a stall.
STALL_SECONDS = 1.0
# A body must come at this rate, on average over this time.
BODY_SECONDS = 10.0
BODY_BYTES_PER_SECOND = 1024
# An answer of which the client reads nothing for this long is given up.
ANSWER_SECONDS = 60.0
# An unread answer counts as stalled after this time.
UNREAD_SECONDS = 5.0
# Time in which a refused request gets its answer before its connection is closed.
REFUSAL_SECONDS = 0.5
# Interval at which bounds that were reached are logged.
LOG_SECONDS = 1.0
# Share of a process's descriptors that clients' connections may have, and the most
# connections in any case.
CONNECTION_SHARE = 0.5
MAX_CONNECTIONS = 10_000

# What the library raises on requests that break off or that it can't parse.
_CLIENT_ERRORS = (HttpProcessingError, web.RequestPayloadError, ConnectionError)
_buffer = bytearray(READ_BYTES)
_view = memoryview(_buffer)


class Bound(StrEnum):
    """What a client has run into."""

    MEMORY = "memory"
    HEAD_TIME = "head_time"
    BODY_TIME = "body_time"
    ANSWER_TIME = "answer_time"
    CONNECTIONS = "connections"


def _make_refusal(bound: Bound) -> error.SeamError:
    if bound is Bound.BODY_TIME:
        text = "the body came too slowly"
        return error.RequestError(text, error.Kind.REQUEST_TIMEOUT)
    return error.CapacityError("the memory for requests is used up", not_run=True)


class Guard:
    """Bounds the clients of one process, as a part of its application."""

    def __init__(
        self,
        budget: MemoryBudget,
        timer: TimerService,
        max_connections: int = MAX_CONNECTIONS,
    ):
        self.budget = budget
        self.limit = eviction.ConnectionLimit(max_connections)
        # Returns the seconds in which a head must be whole.
        self.read_head_seconds: Callable[[], float] = lambda: fleet.Bounds().head
        self.read_clock = timer.read_clock
        self.connections: set[Connection] = set()
        self.bounded: Counter[Bound] = Counter()
        self._turns: turn.TurnQueue[Connection] = turn.TurnQueue()
        self._is_step_due = False
        self._is_trim_due = False
        self._timer = timer
        self._tasks = TaskGroup()
        self._collected = 0
        # By bound: how often it was reached since the last log line, and by whom last.
        self._unlogged: dict[Bound, tuple[int, str]] = {}
        self._logged = self._checked = timer.read_clock()

    async def start(self) -> None:
        """Start the periodic checks."""
        self._tasks.spawn(run_periodically(self._timer, CHECK_SECONDS, self._check))

    async def stop(self) -> None:
        """Stop the checks."""
        await self._tasks.cancel()

    def report(self, meter: metric.Meter) -> None:
        """Export the bounds that were reached, and what clients hold."""
        meter.read_many(
            metric.BOUNDED,
            lambda: [(self.bounded[bound], {"bound": bound}) for bound in Bound],
        )
        meter.read_many(
            metric.CLIENT_BYTES,
            lambda: [
                (self.budget.used_bytes, {"state": "held"}),
                (self.budget.max_bytes, {"state": "budget"}),
            ],
        )
        meter.read(metric.CLIENT_CONNECTIONS, lambda: self.limit.count)

    def add(self, connection: "Connection") -> None:
        """Take a connection; those that are too many go shortly afterwards."""
        self.connections.add(connection)
        if self.limit.add(connection) and not self._is_trim_due:
            self._is_trim_due = True
            asyncio.get_running_loop().call_later(TRIM_SECONDS, self._trim)

    def _trim(self) -> None:
        self._is_trim_due = False
        for connection in self.limit.trim():
            connection.bound(Bound.CONNECTIONS)

    def record_bound(self, bound: Bound, address: str) -> None:
        """Count a client that has run into a bound; the log gets a line a second."""
        self.bounded[bound] += 1
        count, _ = self._unlogged.get(bound, (0, ""))
        self._unlogged[bound] = count + 1, address

    async def _check(self) -> None:
        now = self.read_clock()
        # After a stall of this process nobody knows what clients sent meanwhile.
        has_stalled = now - self._checked > STALL_SECONDS
        self._checked = now
        head_seconds = self.read_head_seconds()
        for connection in list(self.connections):
            if has_stalled:
                connection.excuse(now)
                connection.excuse_reading(now)
            connection.check(now, head_seconds)
        if self.bounded[Bound.MEMORY] != self._collected:
            # The library's objects of a connection that was closed refer to each other.
            self._collected = self.bounded[Bound.MEMORY]
            gc.collect()
        if now - self._logged >= LOG_SECONDS:
            self._logged = now
            for bound, (count, address) in self._unlogged.items():
                detail = {"bound": str(bound), "count": count, "address": address}
                logger.warning("clients bounded", extra=detail)
            self._unlogged.clear()

    @property
    def has_room(self) -> bool:
        """Return whether more bytes may be parsed in this step of the event loop."""
        return self._turns.has_room

    def spend(self, count: int, seconds: float) -> None:
        """Record that bytes were parsed in this step, and how long it took."""
        self._turns.spend(count, seconds)
        self._schedule_step()

    def queue(self, connection: "Connection", received: int) -> None:
        """Give a connection a turn once it is the one with the fewest bytes."""
        self._turns.add(connection, received)
        self._schedule_step()

    def _schedule_step(self) -> None:
        if not self._is_step_due:
            self._is_step_due = True
            asyncio.get_running_loop().call_soon(self._step)

    def _step(self) -> None:
        self._is_step_due = False
        self._turns.begin_step()
        while (connection := self._turns.take()) is not None:
            connection.take_turn()
        if self._turns:
            self._schedule_step()


class _Handler(RequestHandler):
    """The library's protocol of one connection, which tells it what it parses."""

    def __init__(self, connection: "Connection", *arguments: Any, **options: Any):
        self._connection = connection
        super().__init__(*arguments, **options)

    @property
    def connection(self) -> "Connection":
        """Return the connection that is handled."""
        return self._connection

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        super().data_received(data)
        self._connection.record(len(data), self._request_count, self._messages)

    def refuse(self) -> None:
        """Close the connection after the present answer, whatever is still unread."""
        self._lingering_time = 0.0

    def log_exception(self, *arguments: Any, **options: Any) -> None:
        """Log an error; what clients do wrong gets a short line."""
        failure = options.get("exc_info")
        if not isinstance(failure, _CLIENT_ERRORS):
            super().log_exception(*arguments, **options)
            return
        detail = {"address": self._connection.address, "cause": str(failure)[:200]}
        logger.info("request can't be read", extra=detail)

    def _pause_transport_reading(self) -> None:
        self._connection.hold()

    def _resume_transport_reading(self) -> None:
        self._connection.release()

    async def _handle_request(self, request: web.BaseRequest, *arguments: Any) -> Any:
        try:
            response, is_reset = await super()._handle_request(request, *arguments)
        finally:
            self._connection.finish_request()
        # The library keeps both bodies until the connection's next request.
        request._read_bytes = None
        if isinstance(response, web.Response):
            response.body = None
        return response, is_reset


class Connection(asyncio.BufferedProtocol):
    """Feeds one client's bytes to the library in turns, and counts what it holds."""

    def __init__(self, guard: Guard, server: web.Server, options: dict[str, Any]):
        self._guard = guard
        loop = asyncio.get_running_loop()
        self._handler: _Handler | None = _Handler(self, server, loop=loop, **options)
        self._share = guard.budget.open(self._evict)
        self._transport: asyncio.Transport | None = None
        self._address = ""
        # Bytes that were read and wait for a turn.
        self._pending = b""
        self._is_queued = False
        self._is_feeding = False
        # True while the library wants no more bytes.
        self._is_held = False
        self._bound_since: float | None = None
        # What each request that isn't answered holds, the oldest first.
        self._charges: deque[int] = deque()
        self._extra = 0
        self._unsent = 0
        self._seen = 0
        self._payload: StreamReader | None = None
        # Bytes of the newest request and of the head that isn't whole.
        self._received = 0
        self._partial = 0
        self._head_since: float | None = None
        self._window_start = 0.0
        self._window_bytes = 0
        self._answer_progressed = 0.0

    @property
    def address(self) -> str:
        """Return the client's address."""
        return self._address

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection, or refuse it if there are too many."""
        self._transport = transport
        self._address = str((transport.get_extra_info("peername") or ("",))[0])
        # Without a request it may go as soon as its first bytes should have been read.
        now = self._guard.read_clock()
        self._share.progressed = now + TRIM_SECONDS - eviction.STALL_SECONDS
        self._handler.connection_made(transport)
        self._guard.add(self)
        self._update()

    def connection_lost(self, failure: Exception | None) -> None:
        """Let everything go."""
        self._guard.connections.discard(self)
        self._guard.limit.remove(self)
        self._pending = b""
        self._transport = None
        handler, self._handler, self._payload = self._handler, None, None
        # Without cycles, what the connection held is freed at once.
        self._share.close()
        self._share.evict = None
        handler.connection_lost(failure)

    def pause_writing(self) -> None:
        """Pass on that the client reads slowly."""
        self._handler.pause_writing()
        self._measure_unsent(self._guard.read_clock())
        self._update()

    def resume_writing(self) -> None:
        """Pass on that the client has read."""
        self._handler.resume_writing()

    def eof_received(self) -> bool | None:
        """Pass on that the client sends no more."""
        return self._handler.eof_received()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where received bytes go; all connections share it."""
        return _view

    def buffer_updated(self, count: int) -> None:
        """Take received bytes."""
        if self._bound_since is not None:
            return
        self._pending += bytes(_view[:count])
        while self._pending and not self._is_held and self._guard.has_room:
            self._feed()
        if self._pending:
            self._transport.pause_reading()
            self._queue()

    def take_turn(self) -> None:
        """Parse one slice of the bytes that wait."""
        self._is_queued = False
        if self._transport is None or self._is_held or not self._pending:
            return
        self._feed()
        self._continue()

    def _feed(self) -> None:
        data = self._pending
        if len(data) > turn.SLICE_BYTES:
            data, self._pending = data[: turn.SLICE_BYTES], data[turn.SLICE_BYTES :]
        else:
            self._pending = b""
        began = self._guard.read_clock()
        self._is_feeding = True
        try:
            self._handler.data_received(data)
        finally:
            self._is_feeding = False
            self._guard.spend(len(data), self._guard.read_clock() - began)

    def _queue(self) -> None:
        if not self._is_queued and not self._is_held:
            self._is_queued = True
            self._guard.queue(self, self._received)

    def _continue(self) -> None:
        """Go on with the bytes that wait, or else read on."""
        if self._transport is None or self._is_held or self._bound_since is not None:
            return
        if self._pending:
            self._queue()
        else:
            self._transport.resume_reading()

    def hold(self) -> None:
        """Read no more until `release`."""
        self._is_held = True
        if self._transport is not None:
            self._transport.pause_reading()

    def release(self) -> None:
        """Read on."""
        self._is_held = False
        if not self._is_feeding:
            self._continue()

    def record(self, count: int, requests: int, messages: deque) -> None:
        """Count bytes that were parsed, and the requests that began with them."""
        now = self._guard.read_clock()
        new, self._seen = requests - self._seen, requests
        if new:
            self._record_requests(new, messages, now)
            self._charges[-1] += count
            self._received = count
        elif self._is_body_open:
            self._received += count
            self._window_bytes += count
            if self._charges:
                self._charges[-1] += count
        elif count:
            self._partial += count
            if self._head_since is None:
                self._head_since = now
        if count:
            self._share.progressed = now
        self._update()

    def _record_requests(self, new: int, messages: deque, now: float) -> None:
        self._guard.limit.begin(self)
        self._partial = 0
        self._head_since = None
        first = len(messages) - new
        for message, payload in itertools.islice(messages, first, None):
            self._charges.append(_estimate_head(message))
            self._payload = payload
        self._share.missing = None
        if self._is_body_open:
            self._share.missing = _read_length(message)
        self._window_start, self._window_bytes = now, 0

    @property
    def _is_body_open(self) -> bool:
        return self._payload is not None and not self._payload.is_eof()

    def add_charge(self, size: int) -> None:
        """Count `size` bytes more for the present request.

        Raises `CapacityError` if there is no memory for them.
        """
        self._extra += size
        try:
            self._resize()
        except BudgetError:
            self._extra -= size
            self._guard.record_bound(Bound.MEMORY, self._address)
            raise _make_refusal(Bound.MEMORY) from None

    def finish_request(self) -> None:
        """Let the bytes of the oldest request go: it is answered."""
        if self._charges:
            self._charges.popleft()
        self._extra = 0
        if self._transport is not None:
            self._measure_unsent(self._guard.read_clock())
            if not self._charges:
                self._guard.limit.rest(self)
            self._update()

    def _measure_unsent(self, now: float) -> None:
        unsent = self._transport.get_write_buffer_size()
        if unsent != self._unsent or not unsent:
            self._answer_progressed = now
        self._unsent = unsent

    def _resize(self) -> None:
        # An answered request's body is dropped as it comes.
        is_sent = len(self._charges) > (1 if self._is_body_open else 0)
        self._share.is_evictable = not is_sent
        size = CONNECTION_BYTES + sum(self._charges) + self._extra
        size += UNSENT_FACTOR * self._unsent
        self._share.resize(size + HEAD_FACTOR * self._partial)

    def _update(self) -> None:
        if self._transport is None:
            return
        try:
            self._resize()
        except BudgetError:
            self.bound(Bound.MEMORY)

    def _evict(self) -> None:
        self.bound(Bound.MEMORY)

    def bound(self, bound: Bound) -> None:
        """Refuse the request that isn't whole, or close the connection."""
        if self._bound_since is not None or self._transport is None:
            return
        self._bound_since = self._guard.read_clock()
        self._guard.record_bound(bound, self._address)
        self._pending = b""
        self._transport.pause_reading()
        if self._is_body_open and len(self._charges) == 1:
            self._handler.refuse()
            self._payload.set_exception(_make_refusal(bound))
        else:
            self._transport.abort()

    def check(self, now: float, head_seconds: float) -> None:
        """Enforce the bounds of time."""
        if self._transport is None:
            return
        if self._bound_since is not None:
            if now - self._bound_since >= REFUSAL_SECONDS:
                self._transport.abort()
            return
        if self._unsent or self._charges:
            self._check_answer(now)
        if self._is_held or self._pending:
            # The client can't go on before it is read again.
            self.excuse(now)
        elif self._head_since is not None and now - self._head_since > head_seconds:
            self.bound(Bound.HEAD_TIME)
        elif self._is_body_open and self._charges:
            self._check_body(now)

    def excuse(self, now: float) -> None:
        """Count the time until now for the client, whom nobody could hear."""
        self._share.progressed = now
        if self._head_since is not None:
            self._head_since = now
        self._window_start, self._window_bytes = now, 0

    def excuse_reading(self, now: float) -> None:
        """Count the time until now as if the client had read its answer."""
        self._answer_progressed = now

    def _check_answer(self, now: float) -> None:
        self._measure_unsent(now)
        unread = now - self._answer_progressed if self._unsent else 0.0
        if unread >= ANSWER_SECONDS:
            self.bound(Bound.ANSWER_TIME)
            return
        self._update()
        if unread >= UNREAD_SECONDS:
            self._share.is_evictable = True
            self._share.progressed = self._answer_progressed

    def _check_body(self, now: float) -> None:
        elapsed = now - self._window_start
        if elapsed < BODY_SECONDS:
            return
        if self._window_bytes < elapsed * BODY_BYTES_PER_SECOND:
            self.bound(Bound.BODY_TIME)
        else:
            self._window_start, self._window_bytes = now, 0


def _estimate_head(message: Any) -> int:
    """Return the bytes that a request's head holds once it is parsed."""
    if not isinstance(message, RawRequestMessage):
        return REQUEST_BYTES
    fields = message.raw_headers
    size = len(message.path) + sum(len(name) + len(value) for name, value in fields)
    # The library keeps names and values as bytes and as text.
    return REQUEST_BYTES + 2 * size + FIELD_BYTES * len(fields)


def _read_length(message: Any) -> int | None:
    text = message.headers.get("Content-Length", "")
    return int(text) if text.isdecimal() else None


def add_charge(request: web.BaseRequest, size: int) -> None:
    """Count `size` bytes more for a request until it is answered.

    Raises `CapacityError` if there is no memory for them.
    """
    if isinstance(request.protocol, _Handler):
        request.protocol.connection.add_charge(size)


class Server(web.Server):
    """An HTTP server whose clients are bounded by a guard."""

    def __init__(self, guard: Guard, handler: Any, **options: Any):
        options["read_bufsize"] = READ_BYTES
        super().__init__(handler, **options)
        self._guard = guard

    def __call__(self) -> Any:
        """Return the protocol of a new connection."""
        return Connection(self._guard, self, self._kwargs)


class AppRunner(web.AppRunner):
    """Runs a web application whose clients are bounded by a guard."""

    def __init__(self, guard: Guard, app: web.Application, **options: Any):
        super().__init__(app, **options)
        self._guard = guard

    async def _make_server(self) -> web.Server:
        made = await super()._make_server()
        return Server(
            self._guard,
            made.request_handler,
            request_factory=made.request_factory,
            handler_cancellation=made.handler_cancellation,
            **made._kwargs,
        )


def make_guard(
    timer: TimerService,
    memory_mb: float | None = None,
    max_fds: int | None = None,
    budget_share: float = memory.BUDGET_SHARE,
) -> Guard:
    """Return the guard of a process on a VM with this memory and these descriptors.

    Without a value, what the system says counts. Raises `SettingsError` if the memory
    can't be enough.
    """
    budget = memory.make_budget(memory_mb, timer.read_clock, budget_share)
    if max_fds is None:
        max_fds = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    limit = min(int(max_fds * CONNECTION_SHARE), MAX_CONNECTIONS)
    return Guard(budget, timer, limit)
