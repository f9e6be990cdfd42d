"""Tracks one request's answer over all of its attempts.

A plain answer is buffered until it ends, and a stream is passed on in complete
events. So the caller gets only data that a later attempt can continue: that
attempt either starts over or resumes the stream. The exception is a plain answer
that exceeds the buffer: it is passed on and can't be retried any more.
"""

from typing import Protocol

from sapphireseam.core import exchange
from sapphireseam.entry import resume
from sapphireseam.entry.routedrequest import RoutedRequest
from sapphireseam.utils import crash, event

# A plain answer up to this size is buffered until it is complete.
MAX_BUFFERED_BYTES = 1024 * 1024
EVENT_STREAM = "text/event-stream"
_OK = 200
# The lowest status that isn't a success.
_FAILURE = 300


class Sink(Protocol):
    """Receive an answer for the caller."""

    async def begin(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Begin the answer."""

    async def write(self, data: bytes) -> None:
        """Continue the answer."""

    async def finish(self) -> None:
        """End the complete answer."""


class Delivery:
    """Pass an answer on, or buffer it while it can still be replaced.

    `possibly_run` says that an attempt which has ended may have run at an upstream.
    `version` is the model version that began the answer, empty if none has. `proof`
    follows the answers' progress.
    """

    def __init__(
        self,
        request: RoutedRequest,
        sink: Sink,
        traits: tuple[str, ...],
        proof: crash.Proof,
    ):
        self.request = request
        self.traits = traits
        self.proof = proof
        self.begun = False
        self.possibly_run = False
        self.version = ""
        self._sink = sink
        self._tracker: resume.StreamTracker | None = None
        self._is_streaming = False
        self._head: exchange.Head | None = None
        self._buffer = bytearray()

    def accept_head(self, head: exchange.Head) -> bool:
        """Accept an attempt's head; return false if it can't continue the answer."""
        has_events = head.status == _OK and is_event_stream(head)
        if self.begun and not (has_events and self._is_streaming):
            return False
        self._head = head
        self.proof.restart()
        self._buffer.clear()
        self._is_streaming = has_events and self.request.streamed
        if self._is_streaming and self._tracker is None:
            self._tracker = resume.StreamTracker()
        return True

    async def accept_data(self, data: bytes) -> None:
        """Pass bytes on, or buffer them."""
        if self._is_streaming:
            self.proof.record_events()
            data = self._tracker.feed(data)
            if data:
                await self._pass_on(data)
            return
        self._buffer += data
        if self.begun or len(self._buffer) > MAX_BUFFERED_BYTES:
            await self._flush()

    def is_complete(self) -> bool:
        """Return whether an event stream has delivered its last event."""
        return self._is_streaming and self._tracker.done

    def ended_early(self) -> bool:
        """Return whether an event stream that ended lacks its last event."""
        return self._is_streaming and not self._tracker.done

    def has_endless_event(self) -> bool:
        """Return whether an event stream has too many bytes without an event."""
        return self._is_streaming and self._tracker.pending > event.MAX_EVENT_BYTES

    def has_foreign_event(self) -> bool:
        """Return whether a resumed event stream has an event of another answer."""
        return self._is_streaming and self._tracker.has_foreign_event

    async def finish(self) -> None:
        """End the complete answer."""
        if self._head.status < _FAILURE:
            self.proof.record_success()
        await self._flush()
        await self._begin()
        await self._sink.finish()

    async def _flush(self) -> None:
        if self._buffer:
            data = bytes(self._buffer)
            self._buffer.clear()
            await self._pass_on(data)

    async def _begin(self) -> None:
        if not self.begun:
            self.begun = True
            await self._sink.begin(self._head.status, self._head.headers)

    async def _pass_on(self, data: bytes) -> None:
        await self._begin()
        await self._sink.write(data)

    def may_continue(self) -> bool:
        """Return whether another attempt can start over or resume."""
        if not self.begun:
            return True
        if not self._is_streaming or not self.request.model:
            return False
        return self._tracker.countable and resume.may_resume(self.request.body)

    def render_body(self) -> bytes:
        """Return the body for the next attempt."""
        if self._tracker is None:
            return self.request.body
        self._tracker.resume()
        if not self._tracker.tokens:
            return self.request.body
        return resume.render_resumed_body(self.request.body, self._tracker.tokens)


def is_event_stream(head: exchange.Head) -> bool:
    """Return whether an answer is a stream of events."""
    return any(
        name.lower() == "content-type" and value.startswith(EVENT_STREAM)
        for name, value in head.headers
    )
