"""Runs a request with an idempotency key at most once in the whole fleet.

An entry commits a claim on the key before it sends the request to an upstream.
A resend through any entry therefore finds the claim, even if a VM was lost. The
answer is committed before the caller gets it, and a resend gets the same
answer. The request keeps running if its caller disconnects, since the caller
will send it again.

If the entry that holds a claim is lost, the request is never run again. A
resend gets an error: with a time to retry while the request may still be
running, and afterwards that the outcome is unknown.
"""

import asyncio
import logging
from typing import Any

import msgspec

from sapphireseam.core import command, error, outcome
from sapphireseam.entry.delivery import Sink
from sapphireseam.entry.forwarder import Forwarder, StopFuture
from sapphireseam.entry.routedrequest import RoutedRequest
from sapphireseam.utils import upload
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.timer import TimerService, wait_for

logger = logging.getLogger(__name__)

# Retry-After of a resend whose request may still be running.
BUSY_RETRY_SECONDS = 2.0
# A claimed request may still be running this long after its route's timeout.
# This includes the difference between the wall clocks of two entries.
MARGIN_SECONDS = 5.0
# Longest time that a caller waits for the commit of its answer.
STORE_SECONDS = 5.0
# The largest answer that is stored for resends.
MAX_ANSWER_BYTES = 16 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[int, tuple[tuple[str, str], ...], bytes])


class BufferSink:
    """Buffer a complete answer, to store it before the caller gets it."""

    def __init__(self):
        self.status = 0
        self.headers: tuple[tuple[str, str], ...] = ()
        self.body = bytearray()

    async def begin(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Buffer the answer's head."""
        self.status = status
        self.headers = headers

    async def write(self, data: bytes) -> None:
        """Append data to the body."""
        self.body += data
        if len(self.body) > MAX_ANSWER_BYTES:
            raise error.OutcomeError(
                f"the answer has more than {MAX_ANSWER_BYTES} bytes"
            )

    async def finish(self) -> None:
        """Do nothing: the answer is complete."""


class IdempotentForwarder:
    """Forward requests with an idempotency key, each at most once."""

    def __init__(self, client: ControlClient, timer: TimerService):
        self._client = client
        self._timer = timer
        self._tasks = TaskGroup()
        self.open_count = 0

    async def serve(
        self,
        request: RoutedRequest,
        sink: Sink,
        stopped: StopFuture,
        forwarder: Forwarder,
    ) -> None:
        """Run the request and deliver its answer, or replay the stored answer.

        Raises `SeamError` if the run fails, or if an earlier request has claimed the
        key and no answer is stored.
        """
        claimed = await self._claim(request)
        if claimed.settled:
            await self._replay(claimed, sink)
            return
        if not claimed.fresh:
            raise self._make_pending_error(claimed, request)
        self.open_count += 1
        task = self._tasks.spawn(self._run(request, stopped, forwarder))
        result = await asyncio.shield(task)
        if isinstance(result, error.SeamError):
            raise result
        await deliver(sink, result.status, result.headers, bytes(result.body))

    async def _claim(self, request: RoutedRequest) -> outcome.Claimed:
        item = command.ClaimRequest(
            request.caller.customer,
            request.idempotency_key,
            request.fingerprint,
            request.id,
            self._timer.read_wall_clock(),
        )
        try:
            return await self._client.propose(item)
        except error.SeamError as failure:
            # The claim may be committed, but the request was not sent.
            failure.not_run = True
            raise

    def _make_pending_error(
        self, claimed: outcome.Claimed, request: RoutedRequest
    ) -> error.SeamError:
        """Return the error for a resend whose claim is not completed."""
        end = claimed.at + request.route.timeout + MARGIN_SECONDS
        left = end - self._timer.read_wall_clock()
        if left <= 0:
            text = "a request with this Idempotency-Key began, but its answer is lost"
            return error.OutcomeError(text)
        text = "a request with this Idempotency-Key may still be running"
        retry_after = min(left, BUSY_RETRY_SECONDS)
        return error.SeamError(text, error.Kind.CONFLICT, retry_after, not_run=False)

    async def _run(
        self, request: RoutedRequest, stopped: StopFuture, forwarder: Forwarder
    ) -> BufferSink | error.SeamError:
        """Run the request to its end, even if its caller disconnects."""
        buffer = BufferSink()
        try:
            await forwarder.serve(request, buffer, stopped)
            await self._store(request, buffer)
            return buffer
        except error.SeamError as failure:
            if failure.not_run:
                await self._try_complete(request, True, 0, "")
            return failure
        finally:
            self.open_count -= 1

    async def _store(self, request: RoutedRequest, buffer: BufferSink) -> None:
        """Commit the answer, but wait at most `STORE_SECONDS`.

        After that the caller gets its answer without the commit. At worst, a
        resend then gets the error that the outcome is unknown. The request never
        runs twice.
        """
        task = self._tasks.spawn(self._commit(request, buffer))
        try:
            await wait_for(self._timer, asyncio.shield(task), STORE_SECONDS)
        except TimeoutError:
            logger.warning(
                "answer not committed in time", extra={"request": request.id}
            )

    async def _commit(self, request: RoutedRequest, buffer: BufferSink) -> None:
        packed = _encoder.encode((buffer.status, buffer.headers, bytes(buffer.body)))
        try:
            blob = await upload.write(self._client, packed)
        except error.SeamError as failure:
            logger.warning("answer not stored", extra={"cause": failure.message})
            return
        await self._try_complete(request, False, buffer.status, blob)

    async def _try_complete(
        self, request: RoutedRequest, not_run: bool, status: int, blob: str
    ) -> None:
        item = command.SettleClaim(
            request.caller.customer,
            request.idempotency_key,
            request.id,
            not_run,
            status,
            blob,
            self._timer.read_wall_clock(),
        )
        try:
            await self._client.propose(item)
        except error.SeamError as failure:
            logger.warning("claim not completed", extra={"cause": failure.message})

    async def _replay(self, claimed: outcome.Claimed, sink: Sink) -> None:
        try:
            packed = await upload.read(self._client, claimed.blob)
        except error.SeamError as failure:
            # The request has run; only the read of its answer failed.
            failure.not_run = False
            raise
        status, headers, body = _decoder.decode(packed)
        await deliver(sink, status, headers, body)


async def deliver(sink: Sink, status: int, headers: Any, body: bytes) -> None:
    """Write a complete answer to a sink."""
    await sink.begin(status, headers)
    await sink.write(body)
    await sink.finish()
