"""Ask the limits' owner for each request, many requests in one call.

One call is under way at a time; requests that arrive meanwhile share the
next. A grant that comes back too long after its question is not used, since a
new owner may have begun to count by then.
"""

import asyncio
from typing import NamedTuple

from sapphireseam.core import error, message
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.timer import TimerService

# A grant may be used for this long after its question was sent, in seconds.
GRANT_SECONDS = 1.0
# How long an entry keeps asking before it refuses, in seconds.
PATIENCE_SECONDS = 3.0


class _Question(NamedTuple):
    customer: str
    amount: float
    answer: asyncio.Future


class RateLimitClient:
    """Debit customers' buckets at their owner."""

    def __init__(self, node: str, client: ControlClient, timer: TimerService):
        self._node = node
        self._client = client
        self._timer = timer
        self._waiting: list[_Question] = []
        self._wake = asyncio.Event()
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Begin to carry questions."""
        self._tasks.spawn(self._carry_forever())

    async def stop(self) -> None:
        """Stop; questions that wait are never answered."""
        await self._tasks.cancel()

    async def spend(self, customer: str, amount: float = 1.0) -> None:
        """Return once the amount is granted.

        Raises `CapacityError` (rate limited) with the time to come back, or
        `ControlError` if no owner can be asked.
        """
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(_Question(customer, amount, future))
        self._wake.set()
        granted, retry_after = await future
        if granted < amount:
            text = f"customer {customer} is over its rate"
            raise error.CapacityError(text, error.Kind.RATE_LIMITED, retry_after)

    async def _carry_forever(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            questions = self._waiting
            self._waiting = []
            if not questions:
                continue
            try:
                await self._carry(questions)
            except error.SeamError as failure:
                for question in questions:
                    if not question.answer.done():
                        question.answer.set_exception(failure)

    async def _carry(self, questions: list[_Question]) -> None:
        """Ask until an owner answers in time."""
        wanted = tuple((item.customer, item.amount) for item in questions)
        end = self._timer.read_clock() + PATIENCE_SECONDS
        while True:
            sent = self._timer.read_clock()
            if sent >= end:
                raise error.ControlError("no owner of the limits answered")
            try:
                request = message.Debit(self._node, wanted)
                reply = await self._client.ask(request, end - sent)
            except error.SeamError as failure:
                if failure.kind is not error.Kind.OVERLOADED:
                    raise
                await self._timer.sleep(min(failure.retry_after, end - sent))
                continue
            if self._timer.read_clock() - sent < GRANT_SECONDS:
                break
        for question, grant in zip(questions, reply.grants, strict=True):
            if not question.answer.done():
                question.answer.set_result(grant)
