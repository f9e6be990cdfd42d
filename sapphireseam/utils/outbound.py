"""Sends requests to upstreams that were found by discovery, and reads the answers.

A connection is used for one request at a time, and reused afterwards. The dialect
defines the header names of requests and answers. Every error states whether the
upstream may have run the request, since a request that isn't idempotent is retried
only if it didn't run.
"""

import asyncio
import functools
import logging
import socket
from collections import Counter
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import NamedTuple, Protocol

import aiohttp
import yarl
from multidict import CIMultiDictProxy

from sapphireseam.core import instance as instances
from sapphireseam.utils import event, framing, memory
from sapphireseam.utils.ceiling import CeilingMonitor

logger = logging.getLogger(__name__)

Headers = tuple[tuple[str, str], ...]
# Opens a scope for one wait for an upstream's data. `TimeoutError` in the scope means
# that the upstream is given up.
WaitScope = Callable[[], AbstractAsyncContextManager[object]]

# Timeout for opening a connection, in seconds.
CONNECT_SECONDS = 0.5
# A connection is closed if sent data stays unacknowledged for longer, in milliseconds.
TCP_USER_TIMEOUT_MS = 1500
# How long an idle connection stays open, in seconds.
IDLE_SECONDS = 4.0
# Bytes of a body that are read at once.
READ_BYTES = 64 * 1024
# Copies of a complete answer while it is handed over.
COPIES = 2
# The largest answer to an order, in bytes.
MAX_REPLY_BYTES = 1024 * 1024
# Budget of a pool for the bytes of unfinished answers, if it is given none.
MAX_BUFFERED_BYTES = 32 * 1024 * 1024
# The lowest HTTP status of a failure.
FAILURE_STATUS = 400
# The HTTP status of an answer that is a stream of the requested events.
STREAM_STATUS = 200


# Errors of a connection that ends before the head of an answer is complete.
_BROKEN_ERRORS = (
    aiohttp.ServerDisconnectedError,
    aiohttp.ClientOSError,
    ConnectionError,
)
# Ends of a connection that come from the upstream.
_BROKEN_ENDS = (framing.ConnectionEnd.CLOSED, framing.ConnectionEnd.RESET)


class Outgoing(NamedTuple):
    """A request to an upstream.

    `headers` are forwarded unchanged. `remaining` is the time that the upstream may
    take, in seconds; 0 means no limit. A resumed answer continues after the event
    `resume_after`; -1 requests the complete answer.
    """

    id: str
    customer: str
    host: str
    method: str
    target: str
    headers: Headers
    body: bytes
    remaining: float = 0.0
    resume_after: int = -1


class Head(NamedTuple):
    """The status and headers of an answer.

    `is_not_run` is true if the upstream guarantees that it hasn't run the request.
    `id` is the id of the answered request, empty if the answer has none.
    """

    status: int
    headers: Headers
    id: str
    is_not_run: bool
    is_stream: bool


class Reply(NamedTuple):
    """The complete answer to an order."""

    status: int
    body: bytes

    @property
    def is_success(self) -> bool:
        """Whether the order was executed."""
        return self.status < FAILURE_STATUS


class Dialect(Protocol):
    """Defines the header names that upstreams use."""

    def render(
        self, request: Outgoing, instance: instances.Instance
    ) -> list[tuple[str, str]]:
        """Return the headers of a request to an instance."""

    def read_id(self, headers: Mapping[str, str]) -> str:
        """Return the request's id from its headers or those of its answer, or ""."""

    def is_not_run(self, status: int, headers: CIMultiDictProxy[str]) -> bool:
        """Return whether an answer guarantees that the request hasn't run."""

    def is_leaving(self, headers: CIMultiDictProxy[str]) -> bool:
        """Return whether an answer says that its upstream is leaving."""

    def read_ceiling(self, status: int, headers: CIMultiDictProxy[str]) -> str | None:
        """Return the requests per second that an answer names, "" if it names none.

        Return None if the answer isn't of the upstream to which the request was sent.
        """

    def read_cold_seconds(
        self,
        instance: instances.Instance,
        status: int,
        headers: CIMultiDictProxy[str],
    ) -> float | None:
        """Return for how many seconds an answer says that its upstream stays cold.

        Return None if it doesn't say so, or isn't of `instance`.
        """

    def is_signed(self, headers: CIMultiDictProxy[str]) -> bool:
        """Return whether an answer has a header that only upstreams send."""


class OutboundError(Exception):
    """A request failed; `is_not_run` is true if it certainly didn't run."""

    def __init__(self, text: str, is_not_run: bool):
        super().__init__(text)
        self.is_not_run = is_not_run


class RefusalError(OutboundError):
    """An upstream answered, but didn't deliver the requested result."""


class NotResumedError(RefusalError):
    """An upstream answered, but its answer doesn't continue the stream."""


class NothingLeftError(NotResumedError):
    """An answer that should continue a stream has no event.

    The upstream doesn't have the rest of the stream, or had nothing left to send.
    """


class LeavingError(RefusalError):
    """The request wasn't sent, because its upstream has said that it is leaving."""


class UnsendableError(RefusalError):
    """The request has a target or header that no upstream can be sent."""


class BrokenError(OutboundError):
    """The upstream ended the connection before its answer was complete.

    A timeout, a refusal, an unreachable upstream or a malformed answer is no such
    error.
    """


class EmptyAnswerError(BrokenError):
    """A stream ended with its connection before its first event.

    The upstream may have closed the connection early, or had nothing left to send.
    """


class AnswerTimeoutError(OutboundError):
    """An upstream accepted a request but sent nothing in time."""


def limit_silence(seconds: float | None) -> WaitScope:
    """Return the scope that gives an upstream up after seconds without data."""
    return functools.partial(asyncio.timeout, seconds)


# Never gives an upstream up.
ENDLESS_WAIT = limit_silence(None)


class Answer:
    """An answer whose body can be read in parts, in events or at once."""

    def __init__(
        self, head: Head, response: framing.FramedResponse, buffer: memory.Share
    ):
        self.head = head
        self._response = response
        self._buffer = buffer
        self._received = 0

    @property
    def has_marked_end(self) -> bool:
        """Whether the end of the body is marked by its length or its last chunk."""
        return self._response.framing is not framing.Framing.CONNECTION

    def _make_end_error(self, text: str) -> OutboundError:
        if self._response.connection_end in _BROKEN_ENDS:
            return BrokenError(text, False)
        return OutboundError(text, False)

    def describe(self) -> dict[str, object]:
        """Return how the body is framed, the bytes read of it and its end."""
        return {
            "framing": str(self._response.framing),
            "bytes": self._received,
            "connection": str(self._response.connection_end),
        }

    async def _read(self) -> bytes:
        """Return the next bytes, or empty bytes at the end of a complete body."""
        try:
            data = await self._response.content.read(READ_BYTES)
            if not data:
                self._response.check_complete()
        except (aiohttp.ClientError, OSError) as failure:
            text = f"the answer ended early: {type(failure).__name__}"
            raise self._make_end_error(text) from None
        self._received += len(data)
        return data

    async def read_some(self, wait_scope: WaitScope = ENDLESS_WAIT) -> bytes:
        """Return the next bytes, or empty bytes at the end of a complete body.

        Raises `OutboundError` if the body ends early or is malformed, and
        `AnswerTimeoutError` if nothing is received in time.
        """
        try:
            async with wait_scope():
                return await self._read()
        except TimeoutError:
            raise AnswerTimeoutError("nothing received in time", False) from None

    async def read_events(
        self, wait_scope: WaitScope = ENDLESS_WAIT
    ) -> AsyncIterator[list[event.Event]]:
        """Yield the events of the body as they arrive.

        Raises `OutboundError` if the body ends early, is malformed, ends inside an
        event or has more than `event.MAX_EVENT_BYTES` without a complete event,
        `AnswerTimeoutError` if no event is completed in time, and
        `EmptyAnswerError` if the body ends with its connection before the first event.
        """
        splitter = event.Splitter()
        has_begun = False
        while events := await self._read_next_events(splitter, wait_scope):
            has_begun = True
            yield events
        if splitter.has_incomplete_event:
            raise self._make_end_error("the answer ended inside an event")
        if not has_begun and self._response.framing is framing.Framing.CONNECTION:
            raise EmptyAnswerError("the answer ended before its first event", False)

    async def read_continuation(
        self, last_event: int, wait_scope: WaitScope = ENDLESS_WAIT
    ) -> AsyncIterator[list[event.Event]]:
        """Yield the events that continue a stream after the event `last_event`.

        Comments are left out. Raises `NotResumedError` if the answer is no stream, or
        at an event whose number doesn't follow that of the one before,
        `NothingLeftError` if there is no event, and the errors of `read_events`.
        """
        if self.head.status != STREAM_STATUS or not self.head.is_stream:
            text = f"the upstream did not resume the stream: {self.head.status}"
            raise NotResumedError(text, False)
        number = last_event
        async for events in self.read_events(wait_scope):
            pieces = [item for item in events if not item.is_comment]
            count = 0
            while count < len(pieces) and pieces[count].number == number + 1:
                number += 1
                count += 1
            if count:
                yield pieces[:count]
            if count < len(pieces):
                text = f"event {pieces[count].number} doesn't follow event {number}"
                raise NotResumedError(text, False)
        if number == last_event:
            raise NothingLeftError("the continuation has no event", False)

    async def _read_next_events(
        self, splitter: event.Splitter, wait_scope: WaitScope
    ) -> list[event.Event]:
        """Return the next complete events, or none at the end of the body."""
        size = 0
        try:
            async with wait_scope():
                while data := await self._read():
                    if events := splitter.feed(data):
                        self._record_buffer(0)
                        return events
                    size += len(data)
                    self._record_buffer(size)
                    if size > event.MAX_EVENT_BYTES:
                        text = f"the answer has {size} bytes without an event"
                        raise OutboundError(text, False)
        except TimeoutError:
            raise AnswerTimeoutError("no event received in time", False) from None
        return []

    def _record_buffer(self, size: int) -> None:
        try:
            self._buffer.resize(size)
        except memory.BudgetError as failure:
            # The upstream did nothing wrong.
            raise RefusalError(str(failure), False) from None

    async def read_all(self, limit: int, wait_scope: WaitScope = ENDLESS_WAIT) -> bytes:
        """Return the complete body; raise if it ends early or exceeds `limit` bytes.

        The body counts as buffered until the answer is closed.
        """
        body = bytearray()
        try:
            while data := await self.read_some(wait_scope):
                body += data
                self._record_buffer(COPIES * len(body))
                if len(body) > limit:
                    text = f"the answer has more than {limit} bytes"
                    raise OutboundError(text, False)
            return bytes(body)
        finally:
            # The traceback of an error would keep the body alive.
            body.clear()


class ConnectionPool:
    """Reuses the connections of one process to all upstreams.

    An upstream that has said in an answer that it is leaving gets no further request
    from this process. `on_leaving` is called when it says so for the first time.
    """

    def __init__(self, dialect: Dialect, budget: memory.MemoryBudget | None = None):
        self.on_leaving: Callable[[instances.Instance], None] = lambda _: None
        # Called with the seconds for which an answer says that its upstream is cold.
        self.on_cold: Callable[[instances.Instance, float], None] = lambda *_: None
        # Hears the ceilings that upstreams name, if it is set.
        self.ceiling_monitor: CeilingMonitor | None = None
        self._dialect = dialect
        # Ids and start times of the instances that are leaving. A run never returns.
        self._leaving: set[tuple[str, int]] = set()
        self._sessions: dict[str, aiohttp.ClientSession] = {}
        # Requests in progress by address.
        self._open_requests: Counter[str] = Counter()
        self._listed: frozenset[str] | None = None
        self._is_stopped = False
        self._buffers = budget or memory.MemoryBudget(MAX_BUFFERED_BYTES)

    async def start(self) -> None:
        """Do nothing; a connection is opened when it is first used."""

    async def stop(self) -> None:
        """Close every connection; nothing more is sent."""
        self._is_stopped = True
        sessions = list(self._sessions.values())
        self._sessions.clear()
        for session in sessions:
            await session.close()

    async def keep_only(self, addresses: frozenset[str]) -> None:
        """Close the connections to all other addresses, once they are idle.

        An upstream that is no longer listed may finish its requests in progress.
        """
        self._listed = addresses
        for address in list(self._sessions):
            await self._close_if_unlisted(address)

    async def _close_if_unlisted(self, address: str) -> None:
        is_listed = self._listed is None or address in self._listed
        if is_listed or self._open_requests[address]:
            return
        del self._open_requests[address]
        session = self._sessions.pop(address, None)
        if session is not None:
            await session.close()

    def _get_session(self, address: str) -> aiohttp.ClientSession:
        session = self._sessions.get(address)
        if session is None:
            connector_options = {"limit": 0, "keepalive_timeout": IDLE_SECONDS}
            timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS)
            session = framing.create_session(
                connector_options,
                _limit_unacknowledged,
                self._dialect.read_id,
                timeout=timeout,
                read_bufsize=READ_BYTES // 2,
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            )
            self._sessions[address] = session
        return session

    @asynccontextmanager
    async def send(
        self,
        request: Outgoing,
        instance: instances.Instance,
        wait_scope: WaitScope = ENDLESS_WAIT,
    ) -> AsyncIterator[Answer]:
        """Send a request and yield its answer.

        The connection is closed if the caller doesn't read the answer to its end.

        Raises `OutboundError` if no answer to this request is received,
        `AnswerTimeoutError` if none has begun in time, and
        `LeavingError` if the upstream has said that it is leaving.
        """
        if self._is_stopped:
            raise RefusalError("this process stops", True)
        if (instance.id, instance.born) in self._leaving:
            raise LeavingError("the upstream is leaving", True)
        self._open_requests[instance.address] += 1
        try:
            async with self._exchange(request, instance, wait_scope) as answer:
                yield answer
        except OutboundError as failure:
            if not self._is_stopped or isinstance(failure, RefusalError):
                raise
            # The upstream did nothing wrong.
            raise RefusalError("this process stops", failure.is_not_run) from None
        finally:
            self._open_requests[instance.address] -= 1
            await self._close_if_unlisted(instance.address)

    @asynccontextmanager
    async def _exchange(
        self,
        request: Outgoing,
        instance: instances.Instance,
        wait_scope: WaitScope,
    ) -> AsyncIterator[Answer]:
        rate = self._find_rate(instance)
        try:
            async with wait_scope():
                response = await self._open(request, instance)
        except TimeoutError:
            raise AnswerTimeoutError("no answer in time", False) from None
        if self._dialect.is_leaving(response.headers):
            self._record_leaving(instance)
        buffer = self._buffers.open()
        try:
            head = self._read_head(request, response)
            self._record_ceiling(instance, response, rate)
            self._record_cold(instance, response)
            yield Answer(head, response, buffer)
        finally:
            buffer.close()
            # The connection of a completely read answer was already released for reuse.
            response.close()

    def _find_rate(self, instance: instances.Instance) -> float:
        """Return the known ceiling of an instance, 0 if it has none."""
        if self.ceiling_monitor is None:
            return 0.0
        return self.ceiling_monitor.find_rate(instances.get_run_name(instance))

    def _record_ceiling(
        self,
        instance: instances.Instance,
        response: framing.FramedResponse,
        rate_at_sending: float,
    ) -> None:
        named = self._dialect.read_ceiling(response.status, response.headers)
        if self.ceiling_monitor is not None and named is not None:
            run = instances.get_run_name(instance)
            self.ceiling_monitor.record_answer(instance.id, run, named, rate_at_sending)

    def _record_cold(
        self, instance: instances.Instance, response: framing.FramedResponse
    ) -> None:
        seconds = self._dialect.read_cold_seconds(
            instance, response.status, response.headers
        )
        if seconds is not None:
            self.on_cold(instance, seconds)

    def is_signed(self, headers: CIMultiDictProxy[str]) -> bool:
        """Return whether an answer has a header that only upstreams send."""
        return self._dialect.is_signed(headers)

    def _record_leaving(self, instance: instances.Instance) -> None:
        run = (instance.id, instance.born)
        if run not in self._leaving:
            self._leaving.add(run)
            logger.info("upstream is leaving", extra={"upstream": instance.id})
            self.on_leaving(instance)

    async def _open(
        self, request: Outgoing, instance: instances.Instance
    ) -> framing.FramedResponse:
        if not request.target.startswith("/"):
            raise UnsendableError("the target has no slash at its start", True)
        headers = self._dialect.render(request, instance)
        try:
            url = yarl.URL(f"http://{instance.address}{request.target}", encoded=True)
            return await self._get_session(instance.address).request(
                request.method,
                url,
                headers=headers,
                data=request.body or None,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as e:
            text = f"can't connect: {type(e).__name__}"
            raise OutboundError(text, True) from None
        except _BROKEN_ERRORS as failure:
            text = f"no answer: {type(failure).__name__}"
            if framing.classify_error(failure) is framing.ConnectionEnd.UNREACHABLE:
                raise OutboundError(text, False) from None
            raise BrokenError(text, False) from None
        except (aiohttp.ClientError, OSError) as failure:
            text = f"no answer: {type(failure).__name__}"
            raise OutboundError(text, False) from None
        except ValueError as failure:
            raise UnsendableError(f"can't be sent: {failure}", False) from None

    def _read_head(self, request: Outgoing, response: framing.FramedResponse) -> Head:
        headers = response.headers
        id = self._dialect.read_id(headers)
        is_not_run = self._dialect.is_not_run(response.status, headers)
        # Without an id, only a new connection shows which request was refused.
        is_unnamed_refusal = not id and is_not_run and response.is_on_new_connection
        if id != request.id and not is_unnamed_refusal:
            # This is a late answer to an earlier request on the same connection.
            raise OutboundError("the answer belongs to another request", False)
        is_stream = headers.get("Content-Type", "").startswith(event.CONTENT_TYPE)
        return Head(response.status, tuple(headers.items()), id, is_not_run, is_stream)

    async def send_order(
        self,
        instance: instances.Instance,
        method: str,
        path: str,
        body: bytes,
        seconds: float,
    ) -> Reply | None:
        """Send an order to an upstream; return its answer, or None if there is none."""
        if self._is_stopped:
            return None
        session = self._get_session(instance.address)
        try:
            url = yarl.URL(f"http://{instance.address}{path}", encoded=True)
            async with asyncio.timeout(seconds):
                async with session.request(method, url, data=body or None) as response:
                    if self._dialect.is_leaving(response.headers):
                        self._record_leaving(instance)
                    if self._dialect.read_id(response.headers):
                        raise framing.MalformedAnswerError("it belongs to a request")
                    self._record_cold(instance, response)
                    body = await response.read_body(MAX_REPLY_BYTES)
                    return Reply(response.status, body)
        except (aiohttp.ClientError, OSError, ValueError) as failure:
            # A path that can't be sent raises ValueError.
            detail = {
                "upstream": instance.id,
                "path": path,
                "cause": type(failure).__name__,
            }
            logger.info("no answer to an order", extra=detail)
            return None


def _limit_unacknowledged(own_socket: socket.socket) -> None:
    own_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
