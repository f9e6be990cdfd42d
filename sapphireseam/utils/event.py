"""Splits a stream of server-sent events and parses the id and data of each event.

Only complete events are forwarded, so that an answer can be resumed after the last
complete one. The format is `text/event-stream` as browsers read it.
"""

import re
from typing import NamedTuple

from sapphireseam.core.number import parse_count

CONTENT_TYPE = "text/event-stream"
# The largest event of a stream, in bytes.
MAX_EVENT_BYTES = 1024 * 1024
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_MAX_END_BYTES = 4
_LINE_BREAK = re.compile(rb"\r?\n")


class Event(NamedTuple):
    """One event: its bytes including the blank line, its id and its data.

    `number` is -1 if the id is missing or isn't a non-negative integer.
    """

    raw: bytes
    number: int
    data: bytes

    @property
    def is_comment(self) -> bool:
        """Whether it has only comments, which callers don't take for an event."""
        lines = self.raw.splitlines()
        return all(line.startswith(b":") for line in lines if line)


class Splitter:
    """Buffer the bytes of a stream and return each event once it is complete.

    Further blank lines after an event are dropped.
    """

    def __init__(self):
        self._incomplete = b""

    @property
    def has_incomplete_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._incomplete.strip())

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete."""
        # An event's end may have begun in the earlier bytes.
        searched = max(len(self._incomplete) - _MAX_END_BYTES + 1, 0)
        buffer = self._incomplete + data
        events = []
        start = 0
        for match in _EVENT_END.finditer(buffer, searched):
            raw = buffer[start : match.end()]
            if raw.strip(b"\r\n"):
                events.append(_parse(raw))
            start = match.end()
        self._incomplete = buffer[start:]
        return events


def _parse(raw: bytes) -> Event:
    number = -1
    data = []
    for line in _LINE_BREAK.split(raw):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id" and (count := parse_count(value)) is not None:
            number = count
        elif name == b"data":
            data.append(value)
    return Event(raw, number, b"\n".join(data))
