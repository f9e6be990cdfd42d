"""Fakes an upstream in trouble, which sends bytes without end.

After the request it sends `start` once, and then `repeated` until the caller closes
the connection: as fast as the caller reads, or once every `pause` seconds.

    flood = FakeFlood(b"HTTP/1.1 200 OK\\r\\n", b"X-Name: value\\r\\n")
"""

import asyncio

from sapphireseam.core.instance import Instance

# Bytes that are written at once without a pause.
BLOCK_BYTES = 64 * 1024
# A flood stops after this many bytes, so that a caller that reads on gets to an end.
MAX_SENT_BYTES = 64 * 1024 * 1024


class FakeFlood:
    """Answers every request without end."""

    def __init__(self, start: bytes, repeated: bytes, pause: float = 0.0):
        self.start_bytes = start
        self.repeated = repeated
        self.pause = pause
        # Bytes that were sent, including those that wait in the sockets' buffers.
        self.sent = 0
        self.max_sent = MAX_SENT_BYTES
        self.has_closed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    async def stop(self) -> None:
        """Stop listening."""
        self._server.close()

    @property
    def address(self) -> str:
        """Return the address at which it listens."""
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    @property
    def instance(self) -> Instance:
        """Return the instance as discovery would list it."""
        return Instance("flood", "llm", self.address, "z", 8)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            await self._send(writer, self.start_bytes)
            await self._pause(reader)
            count = 1 if self.pause else -(-BLOCK_BYTES // len(self.repeated))
            while self.sent < self.max_sent and not writer.is_closing():
                await self._send(writer, self.repeated * count)
                await self._pause(reader)
            await reader.read()
            self.has_closed.set()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.has_closed.set()
        except asyncio.CancelledError:
            # The test has ended.
            return
        finally:
            writer.close()

    async def _pause(self, reader: asyncio.StreamReader) -> None:
        """Wait; raise `IncompleteReadError` if the caller closes meanwhile."""
        if not self.pause:
            return
        try:
            async with asyncio.timeout(self.pause):
                await reader.readuntil(b"\r\n\r\n")
        except TimeoutError:
            return

    async def _send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(data)
        await writer.drain()
        self.sent += len(data)
