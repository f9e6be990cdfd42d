"""Run a request with an idempotency key at most once over the whole fleet.

The claim is committed before the request is handed over, so a resend through
any entry finds it, whichever VM was lost. The answer is committed before the
caller gets it, and a resend gets the same answer. The run goes on when its
caller goes away, since the caller will ask again.

A claim whose holder was lost is never run again. While its request may still
run, a resend is told when to come back; after that, that the outcome isn't
known.
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

# A resend of a request that may still run is told to come back after this.
BUSY_RETRY_SECONDS = 2.0
# How much longer than its route's timeout a claimed request may be under way,
# the differences between the wall clocks of two entries included.
MARGIN_SECONDS = 5.0
# How long a caller waits for its answer to be committed.
STORE_SECONDS = 5.0
# The largest answer that is kept for resends, in bytes.
ANSWER_BYTES = 16 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[int, tuple[tuple[str, str], ...], bytes])


class BufferSink:
    """Keep an answer whole, to store it before the caller gets it."""

    def __init__(self):
        self.status = 0
        self.headers: tuple[tuple[str, str], ...] = ()
        self.body = bytearray()

    async def begin(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Keep the answer's head."""
        self.status = status
        self.headers = headers

    async def write(self, data: bytes) -> None:
        """Keep a piece of the body."""
        self.body += data
        if len(self.body) > ANSWER_BYTES:
            raise error.OutcomeError(f"the answer has more than {ANSWER_BYTES} bytes")

    async def finish(self) -> None:
        """Do nothing: the answer is whole now."""


class IdempotentForwarder:
    """Claim, forward and settle requests with an idempotency key."""

    def __init__(self, client: ControlClient, timer: TimerService):
        self._client = client
        self._timer = timer
        self._tasks = TaskGroup()
        self.open_count = 0

    async def serve(
        self, ask: RoutedRequest, sink: Sink, stopped: StopFuture, forwarder: Forwarder
    ) -> None:
        """Deliver the first answer, whether this resend makes it or not."""
        claimed = await self._claim(ask)
        if claimed.settled:
            await self._replay(claimed, sink)
            return
        if not claimed.fresh:
            raise self._explain_open(claimed, ask)
        self.open_count += 1
        task = self._tasks.spawn(self._run(ask, stopped, forwarder))
        result = await asyncio.shield(task)
        if isinstance(result, error.SeamError):
            raise result
        await deliver(sink, result.status, result.headers, bytes(result.body))

    async def _claim(self, ask: RoutedRequest) -> outcome.Claimed:
        item = command.ClaimRequest(
            ask.caller.customer,
            ask.idempotency_key,
            ask.fingerprint,
            ask.id,
            self._timer.read_wall_clock(),
        )
        try:
            return await self._client.propose(item)
        except error.SeamError as failure:
            # Claimed or not, the request itself was not handed over.
            failure.not_run = True
            raise

    def _explain_open(
        self, claimed: outcome.Claimed, ask: RoutedRequest
    ) -> error.SeamError:
        """Return what a resend is told about a claim that isn't settled."""
        end = claimed.at + ask.route.timeout + MARGIN_SECONDS
        left = end - self._timer.read_wall_clock()
        if left <= 0:
            text = "a request with this Idempotency-Key was begun and its answer lost"
            return error.OutcomeError(text)
        text = "a request with this Idempotency-Key may still run"
        retry_after = min(left, BUSY_RETRY_SECONDS)
        return error.SeamError(text, error.Kind.CONFLICT, retry_after, not_run=False)

    async def _run(
        self, ask: RoutedRequest, stopped: StopFuture, forwarder: Forwarder
    ) -> BufferSink | error.SeamError:
        """Run the request to its end, whether its caller waits or not."""
        kept = BufferSink()
        try:
            await forwarder.serve(ask, kept, stopped)
            await self._store(ask, kept)
            return kept
        except error.SeamError as failure:
            if failure.not_run:
                await self._try_settle(ask, True, 0, "")
            return failure
        finally:
            self.open_count -= 1

    async def _store(self, ask: RoutedRequest, kept: BufferSink) -> None:
        """Commit the answer; after a while the caller gets it all the same.

        It is the caller's own answer, and a resend is told at worst that the
        outcome isn't known; nothing of that makes the request run twice.
        """
        task = self._tasks.spawn(self._commit(ask, kept))
        try:
            await wait_for(self._timer, asyncio.shield(task), STORE_SECONDS)
        except TimeoutError:
            logger.warning("an answer isn't committed yet", extra={"request": ask.id})

    async def _commit(self, ask: RoutedRequest, kept: BufferSink) -> None:
        packed = _encoder.encode((kept.status, kept.headers, bytes(kept.body)))
        try:
            blob = await upload.write(self._client, packed)
        except error.SeamError as failure:
            logger.warning("answer not kept", extra={"cause": failure.message})
            return
        await self._try_settle(ask, False, kept.status, blob)

    async def _try_settle(
        self, ask: RoutedRequest, not_run: bool, status: int, blob: str
    ) -> None:
        item = command.SettleClaim(
            ask.caller.customer,
            ask.idempotency_key,
            ask.id,
            not_run,
            status,
            blob,
            self._timer.read_wall_clock(),
        )
        try:
            await self._client.propose(item)
        except error.SeamError as failure:
            logger.warning("claim not settled", extra={"cause": failure.message})

    async def _replay(self, claimed: outcome.Claimed, sink: Sink) -> None:
        try:
            packed = await upload.read(self._client, claimed.blob)
        except error.SeamError as failure:
            # The request has run, whatever kept its answer from being read.
            failure.not_run = False
            raise
        status, headers, body = _decoder.decode(packed)
        await deliver(sink, status, headers, body)


async def deliver(sink: Sink, status: int, headers: Any, body: bytes) -> None:
    """Write a whole answer to a sink."""
    await sink.begin(status, headers)
    await sink.write(body)
    await sink.finish()
