"""Stand in for the upstream and the entry's stream in the agent's tests."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

from sapphireseam.agent import engine
from sapphireseam.core import exchange


class FakeExchange:
    """Hold one request at the fake upstream until a test ends it."""

    def __init__(self, body: bytes):
        self.body = body
        self.cancelled = False
        self._inbox: asyncio.Queue[Any] = asyncio.Queue()

    def answer(self, *parts: bytes, status: int = 200) -> None:
        """Answer with these pieces."""
        self.begin(status)
        for part in parts:
            self._inbox.put_nowait(exchange.Data(0, part))
        self._inbox.put_nowait(None)

    def begin(self, status: int = 200) -> None:
        """Send the answer's head."""
        self._inbox.put_nowait(exchange.Head(0, status, ()))

    def send(self, part: bytes) -> None:
        """Send a piece."""
        self._inbox.put_nowait(exchange.Data(0, part))

    def fail(self, not_run: bool = False, broken: bool = False) -> None:
        """End the exchange without an answer."""
        self._inbox.put_nowait(engine.UpstreamError("it broke", not_run, broken))

    async def receive(self) -> Any:
        """Return the next part, None at the end, or raise."""
        item = await self._inbox.get()
        if isinstance(item, Exception):
            raise item
        return item


class FakeUpstreamClient:
    """Keep what is handed over, in order."""

    def __init__(self, name: str = "u"):
        self.name = name
        self.healthy = True
        self.exchanges: list[FakeExchange] = []

    @property
    def open(self) -> list[FakeExchange]:
        """Return the exchanges that run."""
        return [item for item in self.exchanges if not item.cancelled]

    async def run(
        self,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        attempt: int = 0,
    ) -> AsyncIterator[Any]:
        """Yield what the test sends."""
        exchange = FakeExchange(body)
        self.exchanges.append(exchange)
        try:
            while (item := await exchange.receive()) is not None:
                yield item._replace(attempt=attempt)
        finally:
            exchange.cancelled = True


class FakeStream:
    """Be an entry's end of the stream: keep what was sent, bring messages."""

    def __init__(self):
        self.sent: list[Any] = []
        self.inbox: asyncio.Queue[Any] = asyncio.Queue()
        self.is_stuck = False

    def post(self, item: Any) -> None:
        """Keep a message."""
        self.sent.append(item)

    async def send(self, item: Any) -> None:
        """Keep a message."""
        self.sent.append(item)

    async def receive(self) -> Any:
        """Return the next message, or raise what the test put in."""
        item = await self.inbox.get()
        if isinstance(item, Exception):
            raise item
        return item

    def take(self) -> Any:
        """Return the next message if there is one, or raise what was put in."""
        if self.inbox.empty():
            return None
        item = self.inbox.get_nowait()
        if isinstance(item, Exception):
            raise item
        return item

    async def flush(self) -> None:
        """Return, unless the other end takes nothing."""
        if self.is_stuck:
            await asyncio.get_running_loop().create_future()

    def list_sent(self, kind: type) -> list[Any]:
        """Return the messages of one type."""
        return [item for item in self.sent if isinstance(item, kind)]
