"""Send and receive typed messages on one stream, many to a flush.

Whatever waits is packed into one gRPC message, since the cost is per message and
hardly per byte. A sender waits while too much waits already; a reader that
doesn't keep up at all is cut off.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

import grpc
import msgspec

from sapphireseam.core import error, message

# Bytes that may wait on a stream before its sender has to wait.
BUFFER_BYTES = 4 * 1024 * 1024
# Bytes at which a reader that doesn't keep up is cut off.
OVERFLOW_BYTES = 64 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_batch_decoder = msgspec.msgpack.Decoder(list[bytes])


class LinkError(error.ControlError):
    """Report that the other end can't be reached or went away."""


def is_being_cancelled() -> bool:
    """Say whether somebody has cancelled the running task itself."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


class Stream:
    """Send and receive messages on one stream; either end looks the same."""

    def __init__(
        self,
        read: Callable[[], Awaitable[Any]],
        write: Callable[[bytes], Awaitable[None]],
        close: Callable[[], None],
    ):
        self._read = read
        self._write = write
        self._close = close
        self._outgoing: list[bytes] = []
        self._outgoing_bytes = 0
        self._incoming: deque[bytes] = deque()
        self._wake = asyncio.Event()
        self._room = asyncio.Event()
        self._room.set()
        self._broken = False
        self._writing = asyncio.Lock()
        self._writer = asyncio.create_task(self._flush_forever())

    def post(self, item: Any) -> None:
        """Queue a message for the next flush; lost if the stream breaks."""
        data = message.REGISTRY.encode(item)
        self._outgoing.append(data)
        self._outgoing_bytes += len(data)
        if self._outgoing_bytes > BUFFER_BYTES:
            self._room.clear()
        if self._outgoing_bytes > OVERFLOW_BYTES:
            self.abort()
        self._wake.set()

    async def send(self, item: Any) -> None:
        """Queue a message, waiting while too much waits already."""
        await self._room.wait()
        if self._broken:
            raise LinkError("the stream is closed")
        self.post(item)

    def receive_nowait(self) -> Any:
        """Return the next message if it is here already, else None."""
        if not self._incoming:
            return None
        return message.REGISTRY.decode(self._incoming.popleft())

    async def receive(self) -> Any:
        """Return the next message, or raise `LinkError` at the stream's end."""
        while not self._incoming:
            try:
                data = await self._read()
            except (grpc.RpcError, grpc.aio.BaseError, asyncio.InvalidStateError) as e:
                raise LinkError(f"the stream broke: {type(e).__name__}") from None
            except asyncio.CancelledError:
                # A channel that is closed cancels its streams, not their readers.
                if is_being_cancelled():
                    raise
                raise LinkError("the channel was closed") from None
            if data is grpc.aio.EOF or not data:
                raise LinkError("the other end closed the stream")
            self._incoming.extend(_batch_decoder.decode(data))
        return message.REGISTRY.decode(self._incoming.popleft())

    async def _flush_forever(self) -> None:
        while not self._broken:
            await self._wake.wait()
            await self.flush()

    async def flush(self) -> None:
        """Write all that was queued; returns once the other side has room."""
        async with self._writing:
            self._wake.clear()
            batch = self._outgoing
            self._outgoing = []
            self._outgoing_bytes = 0
            self._room.set()
            if not batch:
                return
            try:
                await self._write(_encoder.encode(batch))
            except (grpc.RpcError, grpc.aio.BaseError, asyncio.InvalidStateError):
                self.abort()

    def abort(self) -> None:
        """End the stream at once; both ends see it broken."""
        if not self._broken:
            self._broken = True
            self._room.set()
            self._close()

    async def close(self) -> None:
        """End the stream and its writer."""
        self.abort()
        self._writer.cancel()
        await asyncio.gather(self._writer, return_exceptions=True)
