"""Follow a streamed answer event by event, so that it can be resumed.

Only whole events go on to the caller. If the upstream is lost midway, another
replica is asked to go on from the number of tokens that the caller has, with
`seam_resume_from`; its events continue the same answer under the first id.
"""

import json
from typing import Any

_EVENT_END = b"\n\n"
_DATA = b"data: "
_DONE = b"data: [DONE]"

RESUME_FIELD = "seam_resume_from"


class EventFollower:
    """Cut a body into events and count the tokens that they carry."""

    def __init__(self):
        self.tokens = 0
        self.done = False
        self._rest = b""
        self._id: str | None = None
        self._resumed = False

    def feed(self, data: bytes) -> bytes:
        """Take bytes from upstream; return the whole events for the caller."""
        *events, self._rest = (self._rest + data).split(_EVENT_END)
        return b"".join(self._follow(event) + _EVENT_END for event in events)

    def resume(self) -> None:
        """Drop a cut event; what comes next is another replica's."""
        self._rest = b""
        self._resumed = True

    def _follow(self, event: bytes) -> bytes:
        if event.startswith(_DONE):
            self.done = True
            return event
        if not event.startswith(_DATA):
            return event
        try:
            document = json.loads(event[len(_DATA) :])
        except ValueError:
            return event
        self.tokens += count_tokens(document)
        return self._keep_id(event, document)

    def _keep_id(self, event: bytes, document: Any) -> bytes:
        if self._id is None:
            self._id = document.get("id")
        if not self._resumed or document.get("id") == self._id:
            return event
        document["id"] = self._id
        return _DATA + json.dumps(document).encode()


def count_tokens(document: Any) -> int:
    """Return how many tokens an event carries: one for each choice with text."""
    if not isinstance(document, dict):
        return 0
    choices = document.get("choices") or []
    return sum(
        1
        for choice in choices
        if choice.get("text") or (choice.get("delta") or {}).get("content")
    )


def render_resumed_body(body: bytes, tokens: int) -> bytes:
    """Return a request's body that asks for the answer after some tokens."""
    document = json.loads(body)
    document[RESUME_FIELD] = tokens
    return json.dumps(document).encode()
