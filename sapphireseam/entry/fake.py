"""Provides fakes of agents' links and of callers for the entry's tests."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Any

from sapphireseam.core import error, exchange, fleet
from sapphireseam.entry import access, link
from sapphireseam.entry.routedrequest import RoutedRequest


class FakeLink:
    """Fake the link to an agent whose behaviour a test defines.

    `react` gets each message that the entry sends about an attempt, and a
    function that sends replies. The attempt's number is set in each reply.
    """

    def __init__(
        self,
        upstream: str,
        react: Callable[[Any, Callable[[Any], None]], None],
        numbers: itertools.count,
    ):
        self.upstream = upstream
        self.load: exchange.Load | None = exchange.Load(upstream, 0, 0, 8, False, True)
        self.load_at = 0.0
        self.in_flight_at_load = 0
        self.latency = 0.0
        self.sent: list[Any] = []
        self.attempts: dict[int, link.Attempt] = {}
        self._react = react
        self._numbers = numbers

    @property
    def in_flight(self) -> int:
        """Return how many attempts are open."""
        return len(self.attempts)

    def is_up(self) -> bool:
        """Return whether the agent can be reached."""
        return self.load is not None

    def open_attempt(self) -> link.Attempt:
        """Return a new attempt."""
        attempt = link.Attempt(next(self._numbers), self)
        self.attempts[attempt.number] = attempt
        return attempt

    def close_attempt(self, number: int, revoke: bool) -> None:
        """Close an attempt."""
        if self.attempts.pop(number, None) is not None and revoke:
            self.sent.append(exchange.Revoke(number))

    def post(self, item: Any) -> None:
        """Record a message from the entry and call `react`."""
        self.sent.append(item)
        attempt = self.attempts[item.attempt]

        def reply(answer: Any) -> None:
            attempt.enqueue(answer._replace(attempt=item.attempt))

        self._react(item, reply)

    def list_sent(self, kind: type) -> list[Any]:
        """Return the sent messages of one type."""
        return [item for item in self.sent if isinstance(item, kind)]


class FakeGate:
    """Admit every attempt unless a test sets a refusal, and record the calls."""

    def __init__(self):
        self.asked: list[tuple[tuple[str, ...], str, bool]] = []
        self.sound: list[tuple[str, ...]] = []
        self.released: list[str] = []
        self.is_trial = False
        # Calls that are still admitted before `refusal` is raised.
        self.admitted = 0
        self.refusal: error.CapacityError | None = None

    async def admit(
        self, traits: tuple[str, ...], holder: str, has_crashed: bool = False
    ) -> bool:
        """Return whether the attempt is a trial, or raise the refusal."""
        self.asked.append((traits, holder, has_crashed))
        if self.refusal is not None and len(self.asked) > self.admitted:
            raise self.refusal
        return self.is_trial

    def release(self, holder: str) -> None:
        """Record the holder."""
        self.released.append(holder)

    def record_sound(self, traits: tuple[str, ...]) -> None:
        """Record the traits."""
        self.sound.append(traits)


def make_refusal() -> error.CapacityError:
    """Return the error with which the gate refuses a request."""
    kind = error.Kind.REQUEST_QUARANTINED
    return error.CapacityError("quarantined", kind, 9.0, True)


class FakeSink:
    """Record the answer that a caller gets."""

    def __init__(self):
        self.status = 0
        self.headers: tuple[tuple[str, str], ...] = ()
        self.body = b""
        self.is_complete = False

    async def begin(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Record the head; fail on a second one."""
        if self.status:
            raise AssertionError("the answer began twice")
        self.status = status
        self.headers = headers

    async def write(self, data: bytes) -> None:
        """Append data to the body."""
        if self.is_complete:
            raise AssertionError("the answer continued after its end")
        self.body += data

    async def finish(self) -> None:
        """Record the end."""
        self.is_complete = True


def make_request(
    now: float,
    idempotent: bool = True,
    streamed: bool = False,
    body: bytes = b"{}",
    key: str = "",
    timeout: float = 30.0,
) -> RoutedRequest:
    """Return a request for a model, or for a service if it isn't idempotent."""
    service = "" if idempotent else "post"
    route = fleet.Route("/x", service, idempotent=idempotent, timeout=timeout)
    return RoutedRequest(
        "req-1",
        access.Caller("c", ""),
        route,
        "x",
        "m" if idempotent else "",
        "POST",
        "/x",
        (),
        body,
        streamed,
        now + timeout,
        1.0,
        "f",
        key,
    )


def make_future() -> asyncio.Future:
    """Return a future of the running loop."""
    return asyncio.get_running_loop().create_future()
