"""Sends and receives typed messages on a gRPC stream, in batches.

All queued messages are packed into one gRPC message, since the cost is per gRPC
message and hardly per byte. `send` waits while more than `BUFFER_BYTES` are queued.
If more than `OVERFLOW_BYTES` are queued, the stream is aborted.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

import grpc
import msgspec

from sapphireseam.core import error, message

# `send` waits while more bytes than this are queued on the stream.
BUFFER_BYTES = 4 * 1024 * 1024
# A stream is aborted when more bytes than this are queued, since its reader is too
# slow.
OVERFLOW_BYTES = 64 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_batch_decoder = msgspec.msgpack.Decoder(list[bytes])


class LinkError(error.ControlError):
    """The other end can't be reached, or the connection to it was closed."""


def is_being_cancelled() -> bool:
    """Return whether the running task itself has been cancelled."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


class Stream:
    """One end of a message stream, the same class for clients and servers."""

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
        self._writable = asyncio.Event()
        self._writable.set()
        self._broken = False
        self._writing = asyncio.Lock()
        self._writer = asyncio.create_task(self._flush_forever())

    def post(self, item: Any) -> None:
        """Queue a message for the next flush; it is lost if the stream breaks."""
        data = message.REGISTRY.encode(item)
        self._outgoing.append(data)
        self._outgoing_bytes += len(data)
        if self._outgoing_bytes > BUFFER_BYTES:
            self._writable.clear()
        if self._outgoing_bytes > OVERFLOW_BYTES:
            self.abort()
        self._wake.set()

    async def send(self, item: Any) -> None:
        """Wait until at most `BUFFER_BYTES` are queued, then queue a message.

        Raises `LinkError` if the stream is closed.
        """
        await self._writable.wait()
        if self._broken:
            raise LinkError("the stream is closed")
        self.post(item)

    def receive_nowait(self) -> Any:
        """Return the next message if it has been received, else None."""
        if not self._incoming:
            return None
        return message.REGISTRY.decode(self._incoming.popleft())

    async def receive(self) -> Any:
        """Wait for the next message; raise `LinkError` at the end of the stream."""
        while not self._incoming:
            try:
                data = await self._read()
            except (grpc.RpcError, grpc.aio.BaseError, asyncio.InvalidStateError) as e:
                raise LinkError(f"the stream broke: {type(e).__name__}") from None
            except asyncio.CancelledError:
                # Closing a channel raises this in the tasks that read its streams,
                # although nobody cancelled those tasks.
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
        """Write all queued messages; return once flow control accepts them."""
        async with self._writing:
            self._wake.clear()
            batch = self._outgoing
            self._outgoing = []
            self._outgoing_bytes = 0
            self._writable.set()
            if not batch:
                return
            try:
                await self._write(_encoder.encode(batch))
            except (grpc.RpcError, grpc.aio.BaseError, asyncio.InvalidStateError):
                self.abort()

    def abort(self) -> None:
        """Close the stream immediately; `send` then raises `LinkError`.

        At a client, this cancels the gRPC call, so that `receive` raises `LinkError` at
        both ends. At a server, the gRPC call ends when the handler returns.
        """
        if not self._broken:
            self._broken = True
            self._writable.set()
            self._close()

    async def close(self) -> None:
        """Close the stream and stop its writer task."""
        self.abort()
        self._writer.cancel()
        await asyncio.gather(self._writer, return_exceptions=True)
