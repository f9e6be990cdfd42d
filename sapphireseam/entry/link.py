"""Keeps an entry's stream to one agent and the attempts that are open on it.

One task for each agent connects, passes every message to its attempt and
reconnects when the stream breaks. A message for an attempt that isn't open is
dropped, so a late answer cannot reach another request.
"""

import asyncio
import itertools
import logging
import secrets
from typing import Any, NamedTuple

from sapphireseam.core import error, exchange, message
from sapphireseam.utils import rpc
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.timer import TimerService, wait_for

logger = logging.getLogger(__name__)

# An agent that sends nothing for this long is treated as lost. Agents send their
# load more often, see the agent's server.
SILENCE_SECONDS = 2.0
RECONNECT_SECONDS = 0.2


class LinkLost(NamedTuple):
    """Report that the link broke while the attempt was open."""

    attempt: int


class AttemptStopped(NamedTuple):
    """Report that the entry itself ends the attempt; `failure` is the error."""

    attempt: int
    failure: error.SeamError


class Attempt:
    """Exchange messages with an agent about one attempt."""

    def __init__(self, number: int, link: "AgentLink"):
        self.number = number
        self._link = link
        self._queue: asyncio.Queue[Any] = asyncio.Queue()

    def enqueue(self, item: Any) -> None:
        """Add a message for `receive`."""
        self._queue.put_nowait(item)

    async def receive(self) -> Any:
        """Return the next message about this attempt."""
        return await self._queue.get()

    def send(self, item: Any) -> None:
        """Send the agent a message about this attempt."""
        self._link.post(item)

    def close(self, revoke: bool) -> None:
        """Close the attempt; with `revoke` also tell the agent to end it."""
        self._link.close_attempt(self.number, revoke)


class AgentLink:
    """Keep the stream to one upstream's agent."""

    def __init__(
        self,
        entry: str,
        upstream: str,
        address: str,
        credential: tuple[str, str],
        timer: TimerService,
    ):
        self.upstream = upstream
        self.address = address
        self.load: exchange.Load | None = None
        self.load_at = 0.0
        self.in_flight_at_load = 0
        self.latency = 0.0
        self._entry = entry
        self._timer = timer
        self._channel = rpc.Channel(address, credential)
        self._stream: rpc.Stream | None = None
        self._attempts: dict[int, Attempt] = {}
        # Each process starts at a random number, so that it doesn't reuse the
        # numbers of an earlier process.
        self._numbers = itertools.count(secrets.randbits(48))
        self._tasks = TaskGroup()

    @property
    def in_flight(self) -> int:
        """Return how many attempts are open."""
        return len(self._attempts)

    def is_up(self) -> bool:
        """Return whether the agent is connected and has sent its load recently."""
        if self._stream is None or self.load is None:
            return False
        return self._timer.read_clock() - self.load_at < SILENCE_SECONDS

    async def start(self) -> None:
        """Start connecting."""
        self._tasks.keep(self._connect_forever)

    async def stop(self) -> None:
        """Close the link; open attempts are lost."""
        await self._tasks.cancel()
        self._disconnect()
        await self._channel.close()

    def open_attempt(self) -> Attempt:
        """Return a new attempt; raise `CapacityError` if the link is down."""
        if not self.is_up():
            text = f"upstream {self.upstream} can't be reached"
            raise error.CapacityError(text, error.Kind.NO_UPSTREAM)
        attempt = Attempt(next(self._numbers), self)
        self._attempts[attempt.number] = attempt
        return attempt

    def close_attempt(self, number: int, revoke: bool) -> None:
        """Remove an attempt; later messages for it are dropped."""
        if self._attempts.pop(number, None) is not None and revoke:
            self.post(exchange.Revoke(number))

    def post(self, item: Any) -> None:
        """Send the agent a message, if the link is up."""
        if self._stream is not None:
            self._stream.post(item)

    def list_attempts(self) -> list[Attempt]:
        """Return the open attempts."""
        return list(self._attempts.values())

    def _disconnect(self) -> None:
        self._stream = None
        self.load = None
        for number, attempt in list(self._attempts.items()):
            attempt.enqueue(LinkLost(number))

    async def _connect_forever(self) -> None:
        while True:
            try:
                await self._read_messages()
            except (error.SeamError, TimeoutError) as failure:
                detail = {"upstream": self.upstream, "cause": str(failure)}
                logger.debug("agent link ended", extra=detail)
            finally:
                self._disconnect()
            await self._timer.sleep(RECONNECT_SECONDS)

    async def _read_messages(self) -> None:
        stream = await self._channel.open(exchange.Connect(self._entry))
        self._stream = stream
        try:
            while True:
                item = await wait_for(self._timer, stream.receive(), SILENCE_SECONDS)
                # Messages that arrived with this one are read without a deadline.
                while item is not None:
                    self._dispatch(item)
                    item = stream.receive_nowait()
        finally:
            await stream.close()

    def _dispatch(self, item: Any) -> None:
        if isinstance(item, exchange.Load):
            self.load = item
            self.load_at = self._timer.read_clock()
            self.in_flight_at_load = self.in_flight
            return
        if isinstance(item, message.Failure):
            raise rpc.unpack_failure(item)
        attempt = self._attempts.get(item.attempt)
        if attempt is not None:
            attempt.enqueue(item)
