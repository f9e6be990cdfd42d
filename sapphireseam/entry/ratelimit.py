"""Debits customers' token buckets at their owner, many requests in one call.

The owner is the control VM that leads. One call is sent at a time, and requests
that arrive during the call share the next one. A grant that arrives later than
`GRANT_SECONDS` after its call was sent is not used, since a new owner may have
started to count by then.
"""

import asyncio
from typing import NamedTuple

from sapphireseam.core import error, message
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.timer import TimerService

# How long a grant may be used after its call was sent.
GRANT_SECONDS = 1.0
# Longest retry delay that is reported to a customer. The owner names none for a
# customer that it doesn't know.
MAX_RETRY_AFTER_SECONDS = 60.0
# How long an entry retries a debit before it refuses the requests.
DEBIT_TIMEOUT_SECONDS = 3.0


class _PendingDebit(NamedTuple):
    customer: str
    amount: float
    future: asyncio.Future


class RateLimitClient:
    """Debit customers' token buckets at the owner of the rate limits."""

    def __init__(self, node: str, client: ControlClient, timer: TimerService):
        self._node = node
        self._client = client
        self._timer = timer
        self._pending: list[_PendingDebit] = []
        self._wake = asyncio.Event()
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Start to send debits."""
        self._tasks.keep(self._send_forever)

    async def stop(self) -> None:
        """Stop sending; pending debits are never answered."""
        await self._tasks.cancel()

    async def debit(self, customer: str, amount: float = 1.0) -> None:
        """Return once the amount is granted.

        Raises `CapacityError` (rate limited) with the time to retry, or
        `ControlError` if the owner can't be reached or doesn't answer in time.
        """
        future = asyncio.get_running_loop().create_future()
        self._pending.append(_PendingDebit(customer, amount, future))
        self._wake.set()
        granted, retry_after = await future
        if granted < amount:
            text = f"customer {customer} is over its rate limit"
            wait = min(retry_after, MAX_RETRY_AFTER_SECONDS)
            raise error.CapacityError(text, error.Kind.RATE_LIMITED, wait)

    async def _send_forever(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            debits = self._pending
            self._pending = []
            if not debits:
                continue
            try:
                await self._send(debits)
            except error.SeamError as failure:
                _fail(debits, failure)
            except Exception as failure:
                _fail(debits, error.ControlError(f"the debit failed: {failure!r}"))
                raise

    async def _send(self, debits: list[_PendingDebit]) -> None:
        """Send the debits until the owner answers in time."""
        wanted = tuple((pending.customer, pending.amount) for pending in debits)
        end = self._timer.read_clock() + DEBIT_TIMEOUT_SECONDS
        while True:
            sent = self._timer.read_clock()
            if sent >= end:
                raise error.ControlError(
                    "the owner of the rate limits did not answer in time"
                )
            try:
                request = message.Debit(self._node, wanted)
                reply = await self._client.call_on_stream(request, end - sent)
            except error.SeamError as failure:
                if failure.kind is not error.Kind.OVERLOADED:
                    raise
                await self._timer.sleep(min(failure.retry_after, end - sent))
                continue
            if self._timer.read_clock() - sent < GRANT_SECONDS:
                break
        for debit, grant in zip(debits, reply.grants, strict=True):
            if not debit.future.done():
                debit.future.set_result(grant)


def _fail(debits: list[_PendingDebit], failure: error.SeamError) -> None:
    for debit in debits:
        if not debit.future.done():
            debit.future.set_exception(failure)
