"""Cut a body of server-sent events into whole events and read their ids.

Only whole events are ever passed on, so that an answer can be resumed behind
the last one. The format is the one that browsers know as `text/event-stream`.
"""

import re
from typing import NamedTuple

CONTENT_TYPE = "text/event-stream"
_END = re.compile(rb"\r?\n\r?\n")
_LINE = re.compile(rb"\r?\n")


class Event(NamedTuple):
    """Hold one event: its bytes with the blank line, its id and its data.

    `number` is -1 where the event has no whole number as its id.
    """

    raw: bytes
    number: int
    data: bytes


class Splitter:
    """Collect bytes and return the events that they complete."""

    def __init__(self):
        self._rest = b""

    @property
    def has_rest(self) -> bool:
        """Say whether an event has begun and isn't whole."""
        return bool(self._rest.strip())

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that end in these bytes."""
        buffer = self._rest + data
        events = []
        start = 0
        for match in _END.finditer(buffer):
            events.append(_parse(buffer[start : match.end()]))
            start = match.end()
        self._rest = buffer[start:]
        return events


def _parse(raw: bytes) -> Event:
    number = -1
    data = []
    for line in _LINE.split(raw):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id" and value.isdigit():
            number = int(value)
        elif name == b"data":
            data.append(value)
    return Event(raw, number, b"\n".join(data))
