"""Records how the body of an HTTP answer is framed and how its connection ended.

A body ends after a given length, with its last chunk or with its connection. The
HTTP library reports the end of the connection in the same way whether the upstream
closed it or reset it.
"""

import asyncio
import enum

import aiohttp
from aiohttp.connector import Connection


class Framing(enum.StrEnum):
    """What marks the end of a body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


class ConnectionEnd(enum.StrEnum):
    """How the connection of an answer has ended, if it has."""

    OPEN = "open"
    CLOSED = "closed"
    RESET = "reset"


class FramedResponse(aiohttp.ClientResponse):
    """An answer that records how its connection ends.

    Pass it as `response_class` to a session.
    """

    _ended: asyncio.Future[None] | None = None

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """Read the head of the answer."""
        self._ended = connection.protocol.closed
        if self._ended is not None:
            self._ended.add_done_callback(_retrieve_exception)
        return await super().start(connection)

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
        if self._ended is None:
            # The connection had ended before the answer was read from it.
            return ConnectionEnd.RESET
        if not self._ended.done():
            return ConnectionEnd.OPEN
        is_reset = self._ended.cancelled() or self._ended.exception() is not None
        return ConnectionEnd.RESET if is_reset else ConnectionEnd.CLOSED


def _retrieve_exception(ended: asyncio.Future[None]) -> None:
    """Mark the exception as handled, so that asyncio doesn't log it."""
    if not ended.cancelled():
        ended.exception()
