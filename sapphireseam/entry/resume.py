"""Tracks a streamed answer event by event, so that it can be resumed.

Only complete events are passed to the caller. If the upstream is lost during
the stream, `seam_resume_from` tells another replica how many tokens the caller
has, and that replica continues the answer from there. Its events get the id of
the first replica's answer. An event without a token, such as the one with the
finish reason or the usage, is passed on once, even if the answer is resumed
several times.

An answer can be resumed only if its tokens can be counted: it must have a
single choice that contains only text. For the same reason each further event of a
resumed answer must be a part of one, and it must not end before its finish reason.
"""

import json
import re
from typing import Any

from sapphireseam.core import jsontext

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_DATA = b"data: "
_DONE = b"data: [DONE]"
_COMMENT = b":"

RESUME_FIELD = "seam_resume_from"
# Fields of a delta that don't prevent its tokens from being counted.
_COUNTED_FIELDS = frozenset({"role", "content", "refusal"})


class StreamTracker:
    """Split a streamed body into events and count their tokens."""

    def __init__(self):
        self.tokens = 0
        self.done = False
        self.countable = True
        # Whether an event of a resumed answer doesn't belong to it.
        self.has_foreign_event = False
        # Bytes received since the last complete event.
        self.pending = 0
        self._partial_event = b""
        self._id: str | None = None
        self._resumed = False
        self._sent_kinds: set[str] = set()

    def feed(self, data: bytes) -> bytes:
        """Add bytes from the upstream; return complete events for the caller.

        Nothing is returned from the first foreign event on.
        """
        *events, self._partial_event = _EVENT_END.split(self._partial_event + data)
        self.pending += len(data)
        if any(events):
            self.pending = len(self._partial_event)
        processed = [self._process(event) for event in events]
        return b"".join(event + b"\n\n" for event in processed if event)

    def resume(self) -> None:
        """Drop an incomplete event; further bytes come from another replica."""
        self._partial_event = b""
        self.pending = 0
        self._resumed = True
        self.has_foreign_event = False

    def _process(self, event: bytes) -> bytes:
        """Return the event for the caller, or empty bytes if it must be left out."""
        is_continued = self._resumed and bool(self._sent_kinds)
        if self.has_foreign_event:
            return b""
        if is_comment(event):
            return b"" if is_continued else event
        if event.startswith(_DONE):
            self.has_foreign_event = is_continued and "finish" not in self._sent_kinds
            self.done = not self.has_foreign_event
            return event if self.done else b""
        document = parse_part(event)
        if document is None:
            self.countable = self.countable and is_continued
            self.has_foreign_event = is_continued
            return b"" if is_continued else event
        if not is_countable(document):
            self.countable = False
        tokens = count_tokens(document)
        self.tokens += tokens
        kind = classify(document)
        if not tokens and self._resumed and kind in self._sent_kinds:
            return b""
        self._sent_kinds.add(kind)
        return self._replace_id(event, document)

    def _replace_id(self, event: bytes, document: dict[str, Any]) -> bytes:
        if self._id is None:
            self._id = document.get("id")
        if not self._resumed or document.get("id") == self._id:
            return event
        document["id"] = self._id
        return _DATA + json.dumps(document).encode()


def is_comment(event: bytes) -> bool:
    """Return whether an event has only comments or empty lines."""
    return all(line.startswith(_COMMENT) for line in event.splitlines() if line)


def parse_part(event: bytes) -> dict[str, Any] | None:
    """Return the document of an event that is a part of an answer, else None."""
    if not event.startswith(_DATA):
        return None
    try:
        document = jsontext.parse(event[len(_DATA) :])
    except jsontext.JsonError:
        return None
    return document if _is_part(document) else None


def _is_part(document: Any) -> bool:
    choices = document.get("choices") if isinstance(document, dict) else None
    return isinstance(choices, list) and all(
        isinstance(choice, dict) and isinstance(choice.get("delta"), dict | None)
        for choice in choices
    )


def classify(document: dict[str, Any]) -> str:
    """Return an event's type: "finish", "usage", or "part" for any other event."""
    choices = document.get("choices") or []
    if any(choice.get("finish_reason") for choice in choices):
        return "finish"
    return "part" if choices else "usage"


def count_tokens(document: dict[str, Any]) -> int:
    """Return the number of tokens in an event: one for each choice with text."""
    choices = document.get("choices") or []
    return sum(
        1
        for choice in choices
        if choice.get("text") or (choice.get("delta") or {}).get("content")
    )


def is_countable(document: dict[str, Any]) -> bool:
    """Return whether an event contains only the text of a single choice."""
    choices = document.get("choices") or []
    for choice in choices:
        delta = choice.get("delta") or {}
        extra = [name for name in delta if name not in _COUNTED_FIELDS and delta[name]]
        if choice.get("index") or extra:
            return False
    return len(choices) <= 1


def may_resume(body: bytes) -> bool:
    """Return whether a request's parameters allow its answer to be resumed."""
    document = jsontext.parse(body)
    return document.get("n") in (None, 1) and not document.get("echo")


def render_resumed_body(body: bytes, tokens: int) -> bytes:
    """Return a request body that asks to continue after a number of tokens."""
    document = jsontext.parse(body)
    document[RESUME_FIELD] = tokens
    return json.dumps(document).encode()
