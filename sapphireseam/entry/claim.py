"""Run a request with an idempotency key at most once over the whole fleet.

The claim is committed before the request is handed over, so a resend through
any entry finds it, whichever VM was lost. The answer is committed before the
caller gets it, and a resend gets the same answer.
"""

import asyncio
from typing import Any

import msgspec

from sapphireseam.core import command, error, outcome
from sapphireseam.entry.ask import Ask
from sapphireseam.entry.forward import Forwarder, Sink
from sapphireseam.utils import upload
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.timer import TimerService

# A resend of a request that may still run is told to come back after this.
BUSY_RETRY_SECONDS = 2.0

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[int, tuple[tuple[str, str], ...], bytes])


class KeepingSink:
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

    async def finish(self) -> None:
        """Do nothing: the answer is whole now."""


class ClaimKeeper:
    """Claim, forward and settle requests with an idempotency key."""

    def __init__(self, client: ControlClient, timer: TimerService):
        self._client = client
        self._timer = timer

    async def serve(
        self,
        ask: Ask,
        sink: Sink,
        stopped: asyncio.Future[error.SeamError],
        forwarder: Forwarder,
    ) -> None:
        """Deliver the first answer, whether this resend makes it or not."""
        claimed = await self._claim(ask)
        if claimed.settled:
            await self._replay(claimed, sink)
            return
        if not claimed.fresh:
            text = "a request with this Idempotency-Key may still run"
            raise error.SeamError(
                text, error.Kind.CONFLICT, BUSY_RETRY_SECONDS, not_run=False
            )
        kept = KeepingSink()
        try:
            await forwarder.serve(ask, kept, stopped)
        except error.SeamError as failure:
            if failure.not_run:
                await self._settle(ask, True, 0, "")
            raise
        packed = _encoder.encode((kept.status, kept.headers, bytes(kept.body)))
        blob = await upload.write(self._client, packed)
        await self._settle(ask, False, kept.status, blob)
        await deliver(sink, kept.status, kept.headers, bytes(kept.body))

    async def _claim(self, ask: Ask) -> outcome.Claimed:
        item = command.ClaimRequest(
            ask.caller.customer,
            ask.idempotency_key,
            ask.fingerprint,
            ask.id,
            self._timer.read_wall_clock(),
        )
        return await self._client.propose(item)

    async def _settle(self, ask: Ask, not_run: bool, status: int, blob: str) -> None:
        item = command.SettleClaim(
            ask.caller.customer,
            ask.idempotency_key,
            ask.id,
            not_run,
            status,
            blob,
            self._timer.read_wall_clock(),
        )
        await self._client.propose(item)

    async def _replay(self, claimed: outcome.Claimed, sink: Sink) -> None:
        packed = await upload.read(self._client, claimed.blob)
        status, headers, body = _decoder.decode(packed)
        await deliver(sink, status, headers, body)


async def deliver(sink: Sink, status: int, headers: Any, body: bytes) -> None:
    """Write a whole answer to a sink."""
    await sink.begin(status, headers)
    await sink.write(body)
    await sink.finish()
