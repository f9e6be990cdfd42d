"""Injects faults into the connections between two processes on loopback.

A link may be slow, silent in one or both directions, or have its connections reset.
A silent link holds bytes back and delivers them once the fault is cleared, like a
network that was partitioned and healed. While nobody listens at the target, the proxy
refuses connections as well.
"""

import asyncio
import enum

from sapphireseam.utils import framing

# Maximum number of bytes forwarded at once.
CHUNK_BYTES = 64 * 1024
# Delay of a slow link, in seconds.
SLOW_SECONDS = 0.15
# Time between two checks whether somebody listens at the target again, in seconds.
CHECK_SECONDS = 0.02


class LinkFault(enum.StrEnum):
    """A fault that a link can have."""

    NONE = "none"
    SLOW = "slow"
    SILENT = "silent"
    # Nothing reaches the server.
    SILENT_REQUESTS = "silent there"
    # Nothing returns from the server.
    SILENT_REPLIES = "silent back"


_BLOCKS_REQUESTS = frozenset({LinkFault.SILENT, LinkFault.SILENT_REQUESTS})
_BLOCKS_REPLIES = frozenset({LinkFault.SILENT, LinkFault.SILENT_REPLIES})


class Proxy:
    """A TCP proxy that accepts connections at one address and forwards them."""

    def __init__(self, address: str, target: str):
        self.address = address
        self.target = target
        self._fault = LinkFault.NONE
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._following: asyncio.Task | None = None

    async def start(self) -> None:
        """Start listening."""
        await self._listen()

    async def _listen(self) -> None:
        host, port = self.address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        if self._following is not None:
            self._following.cancel()
        if self._server is not None:
            self._server.close()
        self.reset()

    def set_fault(self, kind: LinkFault) -> None:
        """Set the fault of the link; `NONE` clears it."""
        self._fault = kind
        self._changed.set()
        self._changed = asyncio.Event()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            framing.break_off(writer.transport)

    def _follow_target(self) -> None:
        """Stop listening if nobody listens at the target, until somebody does."""
        if self._following is None or self._following.done():
            self._following = asyncio.create_task(self._follow())

    async def _follow(self) -> None:
        while not await self._can_connect():
            self._server.close()
            await asyncio.sleep(CHECK_SECONDS)
        if not self._server.is_serving():
            await self._listen()

    async def _can_connect(self) -> bool:
        host, port = self.target.rsplit(":", 1)
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.close()
        return True

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._wait_until_passable(_BLOCKS_REQUESTS)
            host, port = self.target.rsplit(":", 1)
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            # Without the proxy, the caller would see a failed connection, too.
            self._close(writer)
            self._follow_target()
            return
        self._writers.add(far_writer)
        forward = asyncio.create_task(
            self._pump(reader, writer.transport, far_writer, _BLOCKS_REQUESTS)
        )
        backward = asyncio.create_task(
            self._pump(far_reader, far_writer.transport, writer, _BLOCKS_REPLIES)
        )
        try:
            await asyncio.wait({forward, backward})
        finally:
            forward.cancel()
            backward.cancel()
            self._close(writer)
            self._close(far_writer)
            self._follow_target()

    def _close(self, writer: asyncio.StreamWriter) -> None:
        self._writers.discard(writer)
        writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        source: asyncio.BaseTransport,
        writer: asyncio.StreamWriter,
        blocking_faults: frozenset[LinkFault],
    ) -> None:
        """Forward one direction until its end, or until either connection is lost.

        `source` is the transport of the reader's connection.
        """
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._wait_until_passable(blocking_faults)
                if self._fault is LinkFault.SLOW:
                    await asyncio.sleep(SLOW_SECONDS)
                writer.write(data)
                await writer.drain()
            if not source.is_closing() and framing.has_pending_error(source):
                framing.break_off(writer.transport)
            else:
                writer.write_eof()
        except OSError:
            # If one connection is lost, the other one is reset.
            framing.break_off(writer.transport)

    async def _wait_until_passable(self, blocking_faults: frozenset[LinkFault]) -> None:
        while self._fault in blocking_faults:
            await self._changed.wait()
