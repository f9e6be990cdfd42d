"""Track one request's answer over all of its attempts.

Nothing of an attempt goes to the caller that a later attempt couldn't
continue: a whole answer is kept back until it ends, a stream goes out in whole
events. So a second attempt either starts afresh or resumes.
"""

from typing import Protocol

from sapphireseam.core import exchange
from sapphireseam.entry import resume
from sapphireseam.entry.routedrequest import RoutedRequest

# A whole answer up to this size is kept back until it is whole.
WHOLE_BYTES = 1024 * 1024
EVENT_STREAM = "text/event-stream"
_OK = 200


class Sink(Protocol):
    """Take an answer for the caller."""

    async def begin(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Begin the answer."""

    async def write(self, data: bytes) -> None:
        """Continue the answer."""

    async def finish(self) -> None:
        """End the answer, which is whole."""


class Delivery:
    """Pass an answer on, or keep it while it can still be replaced.

    `possibly_run` says that an attempt that is over may have reached an
    upstream.
    """

    def __init__(self, ask: RoutedRequest, sink: Sink):
        self.ask = ask
        self.begun = False
        self.possibly_run = False
        self._sink = sink
        self._follower: resume.StreamTracker | None = None
        self._following = False
        self._head: exchange.Head | None = None
        self._kept = bytearray()

    def take_head(self, head: exchange.Head) -> bool:
        """Take an attempt's head; false if it can't continue what has begun."""
        events = head.status == _OK and is_event_stream(head)
        if self.begun and not (events and self._following):
            return False
        self._head = head
        self._kept.clear()
        self._following = events and self.ask.streamed
        if self._following and self._follower is None:
            self._follower = resume.StreamTracker()
        return True

    async def take_data(self, data: bytes) -> None:
        """Pass bytes on, or keep them."""
        if self._following:
            data = self._follower.feed(data)
            if data:
                await self._pass_on(data)
            return
        self._kept += data
        if self.begun or len(self._kept) > WHOLE_BYTES:
            await self._flush()

    def is_whole(self) -> bool:
        """Tell whether an event stream has had its last event."""
        return self._following and self._follower.done

    def ended_early(self) -> bool:
        """Tell whether an event stream that ended lacks its last event."""
        return self._following and not self._follower.done

    async def take_end(self) -> None:
        """End the answer."""
        await self._flush()
        await self._begin()
        await self._sink.finish()

    async def _flush(self) -> None:
        if self._kept:
            data = bytes(self._kept)
            self._kept.clear()
            await self._pass_on(data)

    async def _begin(self) -> None:
        if not self.begun:
            self.begun = True
            await self._sink.begin(self._head.status, self._head.headers)

    async def _pass_on(self, data: bytes) -> None:
        await self._begin()
        await self._sink.write(data)

    def may_continue(self) -> bool:
        """Tell whether another attempt can start afresh or resume."""
        if not self.begun:
            return True
        if not self._following or not self.ask.model:
            return False
        return self._follower.countable and resume.may_resume(self.ask.body)

    def render_body(self) -> bytes:
        """Return the body for the next attempt."""
        if self._follower is None:
            return self.ask.body
        self._follower.resume()
        if not self._follower.tokens:
            return self.ask.body
        return resume.render_resumed_body(self.ask.body, self._follower.tokens)


def is_event_stream(head: exchange.Head) -> bool:
    """Tell whether an answer is a stream of events."""
    return any(
        name.lower() == "content-type" and value.startswith(EVENT_STREAM)
        for name, value in head.headers
    )
