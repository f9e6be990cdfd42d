"""Sends typed messages between processes over gRPC, as calls and as streams.

There are two generic gRPC methods: `Call` for a message and its answer, and
`Stream` for many messages in both directions. The type of a message selects its
handler, so no generated code is needed. A stream packs all queued messages into
one gRPC message per flush, since the cost is per gRPC message and hardly per byte.

Every caller authenticates with a credential in the metadata of the call: the
fleet secret for processes of the system, the operator key for operators.
"""

import asyncio
import hashlib
import hmac
import itertools
import logging
from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import Any

import grpc
import msgspec

from sapphireseam.core import error, message
from sapphireseam.utils.stream import LinkError, Stream, is_being_cancelled

logger = logging.getLogger(__name__)

SERVICE = "seam.Node"
FLEET_HEADER = "seam-fleet-secret"
OPERATOR_HEADER = "seam-operator-key"

MAX_MESSAGE_BYTES = 96 * 1024 * 1024
# Time that calls in progress get to finish when the server stops, in seconds.
GRACE_SECONDS = 0.5

# Interval of the pings of gRPC, and the time after which an unanswered ping closes
# the connection, in milliseconds.
KEEPALIVE_MS = 2000
KEEPALIVE_TIMEOUT_MS = 1000

_OPTIONS = (
    ("grpc.enable_http_proxy", 0),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
    # A reopened channel must not share a connection that no longer responds.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.keepalive_time_ms", KEEPALIVE_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", KEEPALIVE_MS // 2),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", KEEPALIVE_MS // 2),
)


class Role(StrEnum):
    """The role of an authenticated caller: a process of the system or an operator."""

    FLEET = "fleet"
    OPERATOR = "operator"


def same_secret(given: str, expected: str) -> bool:
    """Return whether two secrets are equal, in constant time for any lengths."""
    return hmac.compare_digest(
        hashlib.sha256(given.encode()).digest(),
        hashlib.sha256(expected.encode()).digest(),
    )


def pack_failure(failure: error.SeamError) -> message.Failure:
    """Return the message that represents an error."""
    leader = getattr(failure, "leader", "")
    return message.Failure(
        str(failure.kind),
        failure.message,
        failure.retry_after,
        failure.not_run,
        leader,
    )


def unpack_failure(failure: message.Failure) -> error.SeamError:
    """Return the error that a message represents."""
    kind = error.Kind(failure.kind)
    if kind is error.Kind.NOT_LEADER:
        return error.NotLeaderError(failure.message, failure.leader)
    return error.SeamError(failure.message, kind, failure.retry_after, failure.not_run)


Caller = frozenset[Role]
CallHandler = Callable[[Any, Caller], Awaitable[Any]]
StreamHandler = Callable[[Any, Stream], Awaitable[None]]


class Server:
    """Serves calls and streams; the type of the first message selects the handler."""

    def __init__(
        self, address: str, authorize: Callable[[dict[str, str]], Awaitable[Caller]]
    ):
        self.address = address
        self._authorize = authorize
        self._calls: dict[type, tuple[Caller, CallHandler]] = {}
        self._streams: dict[type, tuple[Caller, StreamHandler]] = {}
        self._server: grpc.aio.Server | None = None
        # Maps the leader's name to the address at which callers retry.
        self.find_address: Callable[[str], str] = lambda name: name

    def _pack_failure(self, failure: error.SeamError) -> message.Failure:
        packed = pack_failure(failure)
        if not packed.leader:
            return packed
        return packed._replace(leader=self.find_address(packed.leader))

    def add_call(self, kind: type, roles: Caller, handler: CallHandler) -> None:
        """Register the handler of a type of call; callers need one of the roles."""
        self._calls[kind] = (roles, handler)

    def add_stream(self, kind: type, roles: Caller, handler: StreamHandler) -> None:
        """Register the handler of streams that begin with this type of message.

        Callers need one of the roles.
        """
        self._streams[kind] = (roles, handler)

    async def start(self) -> None:
        """Listen; raise `SettingsError` if the address can't be bound."""
        self._server = grpc.aio.server(options=_OPTIONS)
        methods = {
            "Call": grpc.unary_unary_rpc_method_handler(self._answer_call),
            "Stream": grpc.stream_stream_rpc_method_handler(self._serve_stream),
        }
        generic = grpc.method_handlers_generic_handler(SERVICE, methods)
        self._server.add_generic_rpc_handlers((generic,))
        try:
            self._server.add_insecure_port(self.address)
        except RuntimeError:
            text = f"can't listen on {self.address}; it may be in use"
            raise error.SettingsError(text) from None
        await self._server.start()

    async def stop(self) -> None:
        """Stop listening; calls in progress have `GRACE_SECONDS` to finish."""
        if self._server is not None:
            await self._server.stop(GRACE_SECONDS)

    async def _identify(self, context: Any, roles: Caller) -> Caller:
        metadata = {name: value for name, value in context.invocation_metadata()}
        caller = await self._authorize(metadata)
        if not caller & roles:
            raise error.AccessError("a valid fleet secret or operator key is required")
        return caller

    async def _answer_call(self, data: bytes, context: Any) -> bytes:
        return await self._answer(data, lambda roles: self._identify(context, roles))

    async def _answer(
        self, data: bytes, identify: Callable[[Caller], Awaitable[Caller]]
    ) -> bytes:
        try:
            request = message.REGISTRY.decode(data)
            if type(request) not in self._calls:
                raise error.RequestError(f"no handler for {type(request).__name__}")
            roles, handler = self._calls[type(request)]
            caller = await identify(roles)
            reply = await handler(request, caller)
        except error.SeamError as failure:
            reply = self._pack_failure(failure)
        except (ValueError, msgspec.DecodeError) as failure:
            reply = pack_failure(error.RequestError(f"malformed message: {failure}"))
        except Exception:
            logger.exception("unexpected error in a call handler")
            reply = pack_failure(error.SeamError("internal error, see the log"))
        return message.REGISTRY.encode(reply)

    async def _serve_stream(self, requests: Any, context: Any) -> None:
        stream = Stream(context.read, context.write, lambda: None)
        try:
            first = await stream.receive()
            if isinstance(first, message.Keep):
                await self._answer_call_stream(stream, context)
                return
            if type(first) not in self._streams:
                return
            roles, handler = self._streams[type(first)]
            await self._identify(context, roles)
            await handler(first, stream)
        except LinkError:
            pass
        except error.SeamError as failure:
            stream.post(self._pack_failure(failure))
            await stream.flush()
        finally:
            await stream.close()

    async def _answer_call_stream(self, stream: Stream, context: Any) -> None:
        """Answer the calls of a call stream, one after the other."""
        caller = await self._identify(context, frozenset(Role))

        async def identify(roles: Caller) -> Caller:
            if not caller & roles:
                raise error.AccessError("the caller's role doesn't allow this call")
            return caller

        while True:
            item = await stream.receive()
            reply = await self._answer(item.body, identify)
            stream.post(message.Reply(item.number, reply))


class CallStream:
    """Makes calls to one process over one stream, each with its own number.

    This costs both ends less than a separate gRPC call each time. The answer to a call
    that was cancelled is dropped.
    """

    def __init__(self, stream: Stream):
        self.broken = False
        self._stream = stream
        self._numbers = itertools.count()
        self._pending_calls: dict[int, asyncio.Future[bytes]] = {}
        self._reader = asyncio.create_task(self._read())

    async def call(self, data: bytes) -> bytes:
        """Return the encoded answer; raise `LinkError` if the stream breaks."""
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._pending_calls[number] = future
        try:
            await self._stream.send(message.Ask(number, data))
            return await future
        finally:
            del self._pending_calls[number]

    async def _read(self) -> None:
        failure: error.SeamError = LinkError("the stream was closed")
        try:
            while True:
                item = await self._stream.receive()
                if isinstance(item, message.Failure):
                    raise unpack_failure(item)
                future = self._pending_calls.get(item.number)
                if future is not None and not future.done():
                    future.set_result(item.body)
        except error.SeamError as caught:
            failure = caught
        finally:
            self._fail_calls(failure)

    def _fail_calls(self, failure: error.SeamError) -> None:
        self.broken = True
        for future in self._pending_calls.values():
            if not future.done():
                future.set_exception(failure)

    async def close(self) -> None:
        """Close the stream; calls in progress fail."""
        self.broken = True
        self._reader.cancel()
        await self._stream.close()
        await asyncio.gather(self._reader, return_exceptions=True)


class Channel:
    """Calls one other process and opens streams to it."""

    def __init__(self, address: str, credential: tuple[str, str]):
        self.address = address
        self._metadata = (credential,)
        self._channel = grpc.aio.insecure_channel(address, options=_OPTIONS)
        self._call = self._channel.unary_unary(f"/{SERVICE}/Call")
        self._stream = self._channel.stream_stream(f"/{SERVICE}/Stream")
        self._call_stream: CallStream | None = None
        self._opening = asyncio.Lock()

    async def call(self, request: Any, timeout: float) -> Any:
        """Return the answer to a message.

        Raises the error that the other end answered with. Raises `LinkError` if
        no answer was received within `timeout` seconds; the outcome is then unknown.
        """
        data = message.REGISTRY.encode(request)
        try:
            reply = await self._call(data, timeout=timeout, metadata=self._metadata)
        except grpc.RpcError as failure:
            text = f"{self.address}: {failure.code().name.lower()}"
            raise LinkError(text) from None
        except (asyncio.CancelledError, grpc.aio.UsageError):
            # Closing a channel raises these errors in the tasks that wait for its
            # calls, although nobody cancelled those tasks.
            if is_being_cancelled():
                raise
            raise LinkError(f"{self.address}: the channel was closed") from None
        return _unpack_answer(reply)

    async def call_on_stream(self, request: Any) -> Any:
        """Do the same as `call`, over a stream that stays open and without a timeout.

        The other end answers such calls one after the other, so they are meant for
        handlers that answer immediately. If the caller cancels, the outcome is
        unknown.
        """
        data = message.REGISTRY.encode(request)
        async with self._opening:
            if self._call_stream is None or self._call_stream.broken:
                if self._call_stream is not None:
                    await self._call_stream.close()
                self._call_stream = CallStream(await self.open(message.Keep()))
        return _unpack_answer(await self._call_stream.call(data))

    async def close_call_stream(self) -> None:
        """Close the call stream; the next `call_on_stream` opens another."""
        if self._call_stream is not None:
            await self._call_stream.close()

    async def open(self, first: Any) -> Stream:
        """Open a stream and send its first message."""
        call = self._stream(metadata=self._metadata)
        stream = Stream(call.read, call.write, call.cancel)
        await stream.send(first)
        return stream

    async def close(self) -> None:
        """Close the channel with all its streams."""
        await self.close_call_stream()
        await self._channel.close()


def _unpack_answer(data: bytes) -> Any:
    """Return the decoded answer, or raise the error that it represents."""
    answer = message.REGISTRY.decode(data)
    if isinstance(answer, message.Failure):
        raise unpack_failure(answer)
    return answer
