"""Follow a streamed answer event by event, so that it can be resumed.

Only whole events go on to the caller. If the upstream is lost midway, another
replica is asked to go on from the number of tokens that the caller has, with
`seam_resume_from`; its events continue the same answer under the first id. An
event that carries no token, such as the one with the finish reason or the
usage, goes on once however often the answer is resumed.

An answer can only be resumed while its tokens can be counted: one choice, and
nothing but text in it.
"""

import json
import re
from typing import Any

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_DATA = b"data: "
_DONE = b"data: [DONE]"

RESUME_FIELD = "seam_resume_from"
# The parts of a choice's delta that need no counting.
_COUNTED = frozenset({"role", "content", "refusal"})


class StreamTracker:
    """Cut a body into events and count the tokens that they carry."""

    def __init__(self):
        self.tokens = 0
        self.done = False
        self.countable = True
        self._rest = b""
        self._id: str | None = None
        self._resumed = False
        self._passed: set[str] = set()

    def feed(self, data: bytes) -> bytes:
        """Take bytes from upstream; return the whole events for the caller."""
        *events, self._rest = _EVENT_END.split(self._rest + data)
        followed = [self._follow(event) for event in events]
        return b"".join(event + b"\n\n" for event in followed if event)

    def resume(self) -> None:
        """Drop a cut event; what comes next is another replica's."""
        self._rest = b""
        self._resumed = True

    def _follow(self, event: bytes) -> bytes:
        """Return the event as it goes on, empty if it doesn't."""
        if event.startswith(_DONE):
            self.done = True
            return event
        if not event.startswith(_DATA):
            return event
        try:
            document = json.loads(event[len(_DATA) :])
        except ValueError:
            return event
        if not isinstance(document, dict):
            return event
        if not is_countable(document):
            self.countable = False
        tokens = count_tokens(document)
        self.tokens += tokens
        kind = describe(document)
        if not tokens and self._resumed and kind in self._passed:
            return b""
        self._passed.add(kind)
        return self._keep_id(event, document)

    def _keep_id(self, event: bytes, document: dict[str, Any]) -> bytes:
        if self._id is None:
            self._id = document.get("id")
        if not self._resumed or document.get("id") == self._id:
            return event
        document["id"] = self._id
        return _DATA + json.dumps(document).encode()


def describe(document: dict[str, Any]) -> str:
    """Return what an event ends: the text, the usage, or nothing yet."""
    choices = document.get("choices") or []
    if any(choice.get("finish_reason") for choice in choices):
        return "finish"
    return "part" if choices else "usage"


def count_tokens(document: dict[str, Any]) -> int:
    """Return how many tokens an event carries: one for each choice with text."""
    choices = document.get("choices") or []
    return sum(
        1
        for choice in choices
        if choice.get("text") or (choice.get("delta") or {}).get("content")
    )


def is_countable(document: dict[str, Any]) -> bool:
    """Tell whether an event carries only one choice's text."""
    choices = document.get("choices") or []
    for choice in choices:
        delta = choice.get("delta") or {}
        extra = [name for name in delta if name not in _COUNTED and delta[name]]
        if choice.get("index") or extra:
            return False
    return len(choices) <= 1


def may_resume(body: bytes) -> bool:
    """Tell whether a request asks for an answer that can be resumed."""
    document = json.loads(body)
    return document.get("n") in (None, 1) and not document.get("echo")


def render_resumed_body(body: bytes, tokens: int) -> bytes:
    """Return a request's body that asks for the answer after some tokens."""
    document = json.loads(body)
    document[RESUME_FIELD] = tokens
    return json.dumps(document).encode()
