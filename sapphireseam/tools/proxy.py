"""Stand between two processes on loopback and harm what passes.

A link slows down, falls silent one way or both, or loses its connections. Silence
holds bytes back and hands them on once the link is well, as a network does that was
cut and joined again.
"""

import asyncio
import enum
import socket
import struct

# Bytes that are passed on at once.
CHUNK_BYTES = 64 * 1024
# How much later a slow link hands bytes on, in seconds.
SLOW_SECONDS = 0.15
# Closes a socket with a reset instead of its proper end.
_RESET = struct.pack("ii", 1, 0)


class LinkFault(enum.StrEnum):
    """Name what a link may suffer from."""

    NONE = "none"
    SLOW = "slow"
    SILENT = "silent"
    # Nothing reaches the server, or nothing comes back from it.
    SILENT_REQUESTS = "silent there"
    SILENT_REPLIES = "silent back"


_HOLDS_THERE = frozenset({LinkFault.SILENT, LinkFault.SILENT_REQUESTS})
_HOLDS_BACK = frozenset({LinkFault.SILENT, LinkFault.SILENT_REPLIES})


class Proxy:
    """Take connections at one address and pass them on to another."""

    def __init__(self, address: str, target: str):
        self.address = address
        self.target = target
        self._harm = LinkFault.NONE
        self._changed = asyncio.Event()
        self._open: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begin to listen."""
        host, port = self.address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Close every connection and listen no more."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def set_fault(self, kind: LinkFault) -> None:
        """Let the link suffer from something from now on; `NONE` heals it."""
        self._harm = kind
        self._changed.set()
        self._changed = asyncio.Event()

    def reset(self) -> None:
        """Reset every connection that is open."""
        for writer in list(self._open):
            held = writer.get_extra_info("socket")
            if held is not None:
                held.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open.add(writer)
        try:
            await self._wait_heard(_HOLDS_THERE)
            host, port = self.target.rsplit(":", 1)
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            # The caller sees what it would without a proxy.
            self._close(writer)
            return
        self._open.add(far_writer)
        there = asyncio.create_task(self._pump(reader, far_writer, _HOLDS_THERE))
        back = asyncio.create_task(self._pump(far_reader, writer, _HOLDS_BACK))
        try:
            await asyncio.wait({there, back})
        finally:
            there.cancel()
            back.cancel()
            self._close(writer)
            self._close(far_writer)

    def _close(self, writer: asyncio.StreamWriter) -> None:
        self._open.discard(writer)
        writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        holds: frozenset[LinkFault],
    ) -> None:
        """Pass one direction on until its end, or until either side is lost."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._wait_heard(holds)
                if self._harm is LinkFault.SLOW:
                    await asyncio.sleep(SLOW_SECONDS)
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except OSError:
            # A lost connection takes its other half along.
            writer.transport.abort()

    async def _wait_heard(self, holds: frozenset[LinkFault]) -> None:
        while self._harm in holds:
            await self._changed.wait()
