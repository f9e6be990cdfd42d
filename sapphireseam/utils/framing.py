"""Tells whether the body of an HTTP answer is complete when its connection ends.

A body ends after a given length, with its last chunk or with its connection. In the
last case it is complete only if the upstream closed the connection. The HTTP library
takes a reset for the end of such a body, and the event loop doesn't raise an error if
it reads the last data and the reset at once. The sessions made here see both.

    async with framing.create_session() as http, http.get(url) as response:
        body = await response.read()  # raises ClientPayloadError after a reset

A server may write an answer once more before the next one. Only the id of its request
tells such a copy from the next answer. So a connection that has answered a request with
a failure, after which the request may be sent again, isn't used for this request again.
"""

import asyncio
import enum
import errno
import functools
import re
import socket
import struct
from collections.abc import Callable, Mapping
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from aiohttp.http import RawResponseMessage
from aiohttp.tracing import Trace

# The lowest status of an answer that isn't informational.
FINAL_STATUS = 200
# The lowest status of an answer after which a request may be sent again.
FAILURE_STATUS = 300
# A connection is closed once it has answered this many requests with a failure.
MAX_FAILED_IDS = 100
# Bytes of an answer beside its body that are always accepted: heads, chunk sizes,
# chunk extensions and trailers.
MAX_OVERHEAD_BYTES = 128 * 1024
# Further bytes of this kind that are accepted for each byte of the body.
OVERHEAD_PER_BODY_BYTE = 2
# What no header of a request or an answer may have.
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
# The value of SO_LINGER with which a close resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Errors of a connection whose peer can't be reached. They don't come from the peer.
_UNREACHABLE = frozenset({errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH})


class MalformedAnswerError(aiohttp.ClientError):
    """The received bytes are no answer, or too many for one."""


class Framing(enum.StrEnum):
    """What marks the end of a body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


class ConnectionEnd(enum.StrEnum):
    """How the connection of an answer has ended, if it has.

    The peer has closed or reset it, this process has dropped it, or the peer became
    unreachable.
    """

    OPEN = "open"
    CLOSED = "closed"
    RESET = "reset"
    DROPPED = "dropped"
    UNREACHABLE = "unreachable"


_FAILED_ENDS = (ConnectionEnd.RESET, ConnectionEnd.UNREACHABLE)

# Returns the id of a request from its headers, or an empty string.
IdReader = Callable[[Mapping[str, str]], str]


class _Protocol(ResponseHandler):
    """Records how its connection ends, and rejects malformed answers."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_open: Callable[[socket.socket], None],
        read_id: IdReader,
    ):
        super().__init__(loop)
        self._read_id = read_id
        self.end = ConnectionEnd.OPEN
        self._on_open = on_open
        # Bytes that were received since the newest request.
        self._received = 0
        # The body of the newest answer, and whether that answer is the final one.
        self._body: aiohttp.StreamReader | None = None
        self._is_answered = False
        self._request_id = ""
        # Requests that were sent, including the newest.
        self.request_count = 0
        # When data was received last, on the clock of the event loop.
        self.received_at = loop.time()
        # Ids of the requests that were answered with a failure.
        self._failed_ids: set[str] = set()

    def begin_request(self, id: str) -> bool:
        """Expect the answer to a request; return false if it can't be sent here."""
        if id in self._failed_ids:
            return False
        self._request_id = id
        self.request_count += 1
        return True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Prepare the connection's socket."""
        self._on_open(transport.get_extra_info("socket"))
        super().connection_made(transport)

    def set_response_params(self, **options: Any) -> None:
        """Prepare for the answer to a new request."""
        self._received = 0
        self._body = None
        self._is_answered = False
        super().set_response_params(**options)

    def feed_data(
        self, data: tuple[RawResponseMessage, aiohttp.StreamReader], size: int = 0
    ) -> None:
        """Queue the head of an answer, unless the request has its answer."""
        if self._is_answered:
            self._abort()
            return
        message, self._body = data
        self._is_answered = message.code >= FINAL_STATUS
        if self._is_answered and self._read_id(message.headers) != self._request_id:
            # The answer to this request may follow.
            self.force_close()
        elif message.code >= FAILURE_STATUS and self._request_id:
            self._record_failure()
        super().feed_data(data, size)

    def _record_failure(self) -> None:
        self._failed_ids.add(self._request_id)
        if len(self._failed_ids) >= MAX_FAILED_IDS:
            self.force_close()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or close the connection if none are awaited."""
        if data and self._is_answered and self._body.is_eof():
            self._abort()
            return
        super().data_received(data)
        self._received += len(data)
        self.received_at = self._loop.time()
        failure = self.exception()
        if failure is not None:
            # The library reports malformed bytes only to a reader of the head.
            text = f"malformed: {type(failure).__name__}"
            self._fail_body(MalformedAnswerError(text))
        elif self._has_too_much_overhead() and self.transport is not None:
            text = f"{self._received} bytes received, hardly any of them in the body"
            self._abort()
            self.set_exception(MalformedAnswerError(text))
            self._fail_body(MalformedAnswerError(text))

    def _abort(self) -> None:
        self.force_close()
        if self.transport is not None:
            self.transport.abort()

    def _has_too_much_overhead(self) -> bool:
        if self._reading_paused:
            # Some received bytes of the body are not parsed yet.
            return False
        size = self._body.total_bytes if self._body is not None else 0
        overhead = self._received - size
        return overhead > MAX_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * size

    def _fail_body(self, failure: aiohttp.ClientError) -> None:
        """Make readers of the body fail, unless it is complete or has failed."""
        body = self._body
        if body is not None and not body.is_eof() and body.exception() is None:
            body.set_exception(failure)

    def close(self) -> None:
        """Close the connection; an answer that isn't complete has ended early."""
        super().close()
        self._fail_body(aiohttp.ClientPayloadError("the connection was closed here"))

    def abort(self) -> None:
        """Close the connection at once, as `close` does."""
        super().abort()
        self._fail_body(aiohttp.ClientPayloadError("the connection was closed here"))

    def eof_received(self) -> None:
        """Record the end of the received data."""
        is_reset = self.transport is not None and has_pending_error(self.transport)
        self.end = ConnectionEnd.RESET if is_reset else ConnectionEnd.CLOSED
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record the end of the connection."""
        if exc is not None:
            self.end = classify_error(exc)
        elif self.end is ConnectionEnd.OPEN:
            self.end = ConnectionEnd.DROPPED
        super().connection_lost(exc)


class FramedResponse(aiohttp.ClientResponse):
    """An answer that isn't complete if it ends with the reset of its connection."""

    _framed_protocol: _Protocol
    # Whether the connection carried no request before this one.
    is_on_new_connection: bool

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """Read the head of the answer.

        Raises `MalformedAnswerError` if it can't be passed on to a caller.
        """
        self._framed_protocol = connection.protocol
        self.is_on_new_connection = connection.protocol.request_count == 1
        await super().start(connection)
        if self.status < FINAL_STATUS:
            raise MalformedAnswerError(f"status {self.status} is not final")
        if any(_CONTROL_CHARACTER.search(value) for value in self.headers.values()):
            raise MalformedAnswerError("a header has a control character")
        return self

    async def read(self) -> bytes:
        """Return the body; raise `ClientPayloadError` if it isn't complete."""
        body = await super().read()
        self.check_complete()
        return body

    async def read_body(self, limit: int) -> bytes:
        """Return the body; raise `ClientError` if it's incomplete or above `limit`.

        `limit` is in bytes.
        """
        body = bytearray()
        async for data in self.content.iter_any():
            body += data
            if len(body) > limit:
                raise MalformedAnswerError(f"more than {limit} bytes")
        self.check_complete()
        return bytes(body)

    def check_complete(self) -> None:
        """Raise `ClientPayloadError` if the body that was read isn't complete."""
        has_failed = self.connection_end in _FAILED_ENDS
        if has_failed and self.framing is Framing.CONNECTION:
            raise aiohttp.ClientPayloadError("the connection was reset")

    @property
    def framing(self) -> Framing:
        """Return what marks the end of the body."""
        codings = self.headers.get("Transfer-Encoding", "").lower()
        if "chunked" in codings:
            return Framing.CHUNKS
        if "Content-Length" in self.headers:
            return Framing.LENGTH
        return Framing.CONNECTION

    @property
    def connection_end(self) -> ConnectionEnd:
        """Return how the connection has ended, or `OPEN`."""
        return self._framed_protocol.end


class _Connector(aiohttp.TCPConnector):
    """Opens connections that record how they end.

    The event loop makes their sockets. uvloop closes the descriptor of a socket that it
    was given if it is interrupted while it takes the socket over. The socket would then
    close the descriptor again, when it may already belong to another connection.
    """

    def __init__(
        self,
        on_open: Callable[[socket.socket], None],
        read_id: IdReader,
        **options: Any,
    ):
        super().__init__(**options)
        self._read_id = read_id
        # The library has no public way to choose the protocol class.
        self._factory = functools.partial(_Protocol, self._loop, on_open, read_id)

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        """Return a connection that has answered the request with no failure."""
        id = self._read_id(req.headers)
        unfit: list[Connection] = []
        try:
            while True:
                connection = await super().connect(req, traces, timeout)
                if self._has_expired(connection.protocol):
                    connection.close()
                elif connection.protocol.begin_request(id):
                    return connection
                else:
                    unfit.append(connection)
        finally:
            for connection in unfit:
                connection.release()

    def _has_expired(self, protocol: _Protocol) -> bool:
        """Return whether a connection has been idle for too long.

        The library counts from the last release, which needn't follow a request here.
        """
        idle = self._loop.time() - protocol.received_at
        return self._keepalive_timeout is not None and idle > self._keepalive_timeout

    # The library has no public way to replace this either.
    async def _wrap_create_connection(
        self,
        *args: Any,
        addr_infos: list[tuple],
        req: aiohttp.ClientRequest,
        timeout: aiohttp.ClientTimeout,
        client_error: type[Exception] = aiohttp.ClientConnectorError,
        **options: Any,
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        """Open a connection to the first address that accepts one."""
        try:
            async with asyncio.timeout(timeout.sock_connect):
                return await self._connect(addr_infos, *args, **options)
        except OSError as failure:
            # The kernel's timeout has a number, the one above has none.
            if isinstance(failure, TimeoutError) and failure.errno is None:
                raise
            raise client_error(req.connection_key, failure) from failure

    async def _connect(
        self, addr_infos: list[tuple], *args: Any, **options: Any
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        failure = OSError("no address")
        for *_, (host, port, *_) in addr_infos:
            try:
                return await self._loop.create_connection(
                    *args, host=host, port=port, **options
                )
            except OSError as caught:
                failure = caught
        raise failure


def create_session(
    connector_options: dict[str, Any] | None = None,
    on_open: Callable[[socket.socket], None] = lambda _: None,
    read_id: IdReader = lambda _: "",
    may_resend: bool = False,
    **options: Any,
) -> aiohttp.ClientSession:
    """Return a session whose answers are `FramedResponse` objects.

    It sends no request twice by itself, whatever its method, unless `may_resend` is
    set. Then a GET is sent again if its connection has just been closed.

    `on_open` is called with the socket of each new connection, and `read_id` with the
    headers of each request. `connector_options` are those of `aiohttp.TCPConnector`,
    and `options` those of `aiohttp.ClientSession`.
    """
    connector = _Connector(on_open, read_id, **(connector_options or {}))
    session = aiohttp.ClientSession(
        connector=connector, response_class=FramedResponse, **options
    )
    # The library has no public way to switch off its own retries.
    session._retry_connection = may_resend
    return session


def classify_error(failure: BaseException) -> ConnectionEnd:
    """Return how a connection has ended that raised this error."""
    if isinstance(failure, OSError) and failure.errno in _UNREACHABLE:
        return ConnectionEnd.UNREACHABLE
    return ConnectionEnd.RESET


def has_pending_error(transport: asyncio.BaseTransport) -> bool:
    """Return whether a connection whose end was reported has failed instead.

    uvloop reports the end, too, if a reset arrives together with data. The error is
    then still pending at the socket.
    """
    own_socket = transport.get_extra_info("socket")
    return own_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0


def break_off(transport: asyncio.Transport) -> None:
    """Reset a connection at once, so that the peer notices that data is missing.

    An abort alone closes it as after complete data.
    """
    own_socket = transport.get_extra_info("socket")
    if own_socket is not None:
        own_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()
