"""Tells whether the body of an HTTP answer is complete when its connection ends.

A body ends after a given length, with its last chunk or with its connection. In the
last case it is complete only if the upstream closed the connection. The HTTP library
takes a reset for the end of such a body, and the event loop doesn't raise an error if
it reads the last data and the reset at once. The sessions made here see both.

    async with framing.create_session() as http, http.get(url) as response:
        body = await response.read()  # raises ClientPayloadError after a reset
"""

import asyncio
import enum
import errno
import functools
import socket
import struct
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

# The value of SO_LINGER with which a close resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Errors of a connection whose peer can't be reached. They don't come from the peer.
_UNREACHABLE = frozenset({errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH})


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


class _Protocol(ResponseHandler):
    """Records how its connection ends."""

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(loop)
        self.end = ConnectionEnd.OPEN

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

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """Read the head of the answer."""
        self._framed_protocol = connection.protocol
        return await super().start(connection)

    async def read(self) -> bytes:
        """Return the body; raise `ClientPayloadError` if it isn't complete."""
        body = await super().read()
        self.check_complete()
        return body

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
    """Opens connections that record how they end."""

    def __init__(self, **options: Any):
        super().__init__(**options)
        # The library has no public way to choose the protocol class.
        self._factory = functools.partial(_Protocol, loop=self._loop)


def create_session(
    connector_options: dict[str, Any] | None = None, **options: Any
) -> aiohttp.ClientSession:
    """Return a session whose answers are `FramedResponse` objects.

    `connector_options` are those of `aiohttp.TCPConnector`, and `options` those of
    `aiohttp.ClientSession`.
    """
    connector = _Connector(**(connector_options or {}))
    return aiohttp.ClientSession(
        connector=connector, response_class=FramedResponse, **options
    )


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
