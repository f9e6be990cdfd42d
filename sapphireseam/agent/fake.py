"""Fakes of the upstream client and an entry's stream for the agent's tests."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

from sapphireseam.agent import engine
from sapphireseam.core import exchange
from sapphireseam.utils import crash


class FakeExchange:
    """Simulate one request at the upstream until a test ends it."""

    def __init__(self, body: bytes):
        self.body = body
        self.closed = False
        self._inbox: asyncio.Queue[Any] = asyncio.Queue()

    def answer(self, *parts: bytes, status: int = 200) -> None:
        """Send a complete answer with these parts as its body."""
        self.begin(status)
        for part in parts:
            self._inbox.put_nowait(exchange.Data(0, part))
        self._inbox.put_nowait(None)

    def begin(self, status: int = 200) -> None:
        """Send the answer's status and headers."""
        self._inbox.put_nowait(exchange.Head(0, status, ()))

    def send(self, part: bytes) -> None:
        """Send a part of the answer's body."""
        self._inbox.put_nowait(exchange.Data(0, part))

    def fail(self, not_run: bool = False, broken: bool = False) -> None:
        """End the exchange without an answer."""
        self._inbox.put_nowait(
            engine.UpstreamError("the exchange failed", not_run, broken)
        )

    async def receive(self) -> Any:
        """Return the next part, or None at the end; raise the test's error."""
        item = await self._inbox.get()
        if isinstance(item, Exception):
            raise item
        return item


class FakeUpstreamClient:
    """Record the requests sent to it in order and let a test answer them."""

    def __init__(self, name: str = "u"):
        self.name = name
        self.healthy = True
        self.has_crashed = False
        self.served = ""
        self.is_down = True
        self.exchanges: list[FakeExchange] = []

    async def has_ended(self, run: crash.Run) -> bool:
        """Return the value that the test set."""
        return self.is_down

    @property
    def open(self) -> list[FakeExchange]:
        """Return the exchanges that are not closed."""
        return [item for item in self.exchanges if not item.closed]

    async def run(
        self,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        attempt: int = 0,
    ) -> AsyncIterator[Any]:
        """Yield the parts that the test sends."""
        exchange = FakeExchange(body)
        self.exchanges.append(exchange)
        try:
            while (item := await exchange.receive()) is not None:
                yield item._replace(attempt=attempt)
        finally:
            exchange.closed = True


class FakeStream:
    """Record the messages sent to an entry; deliver messages from a test."""

    def __init__(self):
        self.sent: list[Any] = []
        self.inbox: asyncio.Queue[Any] = asyncio.Queue()
        self.is_stuck = False

    def post(self, item: Any) -> None:
        """Record a message."""
        self.sent.append(item)

    async def send(self, item: Any) -> None:
        """Record a message."""
        self.sent.append(item)

    async def receive(self) -> Any:
        """Return the next message, or raise the error that the test queued."""
        item = await self.inbox.get()
        if isinstance(item, Exception):
            raise item
        return item

    def receive_nowait(self) -> Any:
        """Return the next message, or None without one; raise a queued error."""
        if self.inbox.empty():
            return None
        item = self.inbox.get_nowait()
        if isinstance(item, Exception):
            raise item
        return item

    async def flush(self) -> None:
        """Return at once, or never if the entry is stuck and reads nothing."""
        if self.is_stuck:
            await asyncio.get_running_loop().create_future()

    def list_sent(self, kind: type) -> list[Any]:
        """Return the messages of one type."""
        return [item for item in self.sent if isinstance(item, kind)]
