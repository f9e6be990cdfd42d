"""Defines a caller's request with its route, and reads its parts from HTTP."""

import json
from typing import Any, NamedTuple

from aiohttp import web

from sapphireseam.core import error, fleet, jsontext, trait
from sapphireseam.entry import access

# Characters per token in the estimate of a request's cost.
CHARACTERS_PER_TOKEN = 4
# Estimated tokens of an answer if the request sets no limit.
DEFAULT_ANSWER_TOKENS = 128
# The largest line of a request's head that is read at all.
MAX_HEAD_BYTES = 1024 * 1024
# The largest cost that counts for an answer, in tokens.
MAX_ANSWER_TOKENS = 1_000_000


class RoutedRequest(NamedTuple):
    """An authorized request for an upstream that has an agent.

    `deadline` is on the entry's monotonic clock, `cost` is in tokens. `parts` are the
    parts of the prompt.
    """

    id: str
    caller: access.Caller
    route: fleet.Route
    route_name: str
    model: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    streamed: bool
    deadline: float
    cost: float
    fingerprint: str
    idempotency_key: str
    parts: tuple[str, ...] = ()

    def make_traits(self) -> tuple[str, ...]:
        """Return the traits by which requests that crash upstreams are recognised.

        The fingerprint is the first.
        """
        return self.fingerprint, *trait.make_part_traits(self.model, self.parts)


def find_route(
    current: fleet.Fleet, path: str, host: str = ""
) -> tuple[str, fleet.Route]:
    """Return the name and route whose path is the longest prefix of this path.

    A route with a host matches only requests for that host, and wins over one without
    a host whose path is as long.
    """
    matching = [
        (name, route)
        for name, route in current.routes.items()
        if route.host in ("", host) and fleet.path_matches(route.path, path)
    ]
    if not matching:
        raise error.RequestError(f"no route for {path}", error.Kind.ROUTE_UNKNOWN)
    return max(matching, key=lambda pair: fleet.weigh_route(*pair))


def check_head(request: web.BaseRequest, limit: int) -> None:
    """Raise `RequestError` if the path or a header is larger than the limit in force.

    The limit may change while a connection is open.
    """
    fields = (len(name) + len(value) for name, value in request.raw_headers)
    if max(len(request.raw_path), *fields) > limit:
        text = f"the path and each header may have at most {limit} bytes"
        raise error.RequestError(text)


def check_text(request: web.BaseRequest, headers: tuple[str, ...]) -> None:
    """Raise `RequestError` if the path or one of some headers isn't UTF-8.

    Such text can't be sent to another process.
    """
    values = (request.headers.get(name, "") for name in headers)
    for text in (request.raw_path, *values):
        try:
            text.encode()
        except UnicodeEncodeError:
            raise error.RequestError("the path, the key or an id isn't UTF-8") from None


def parse_body(body: bytes) -> dict[str, Any]:
    """Return a body as a JSON object, or raise with the position of the error."""
    try:
        document = jsontext.parse(body)
    except jsontext.JsonError as failure:
        raise error.RequestError(f"the body isn't JSON: {failure}") from None
    if not isinstance(document, dict):
        raise error.RequestError("the body must be a JSON object")
    return document


def check_model(current: fleet.Fleet, name: Any, customer: str) -> str:
    """Return a model's name, or raise if this customer may not use it."""
    if not isinstance(name, str) or not name:
        raise error.RequestError("'model' must name a model")
    model = current.models.get(name)
    if model is None or (model.customers and customer not in model.customers):
        raise error.RequestError(
            f"no model {name[:80]!r} that you may use", error.Kind.MODEL_UNKNOWN
        )
    return name


def list_parts(document: dict[str, Any]) -> tuple[str, ...]:
    """Return the parts of a chat's prompt: each message, in one form of its JSON.

    Other bodies have no parts.
    """
    messages = document.get("messages")
    if not isinstance(messages, list):
        return ()
    return tuple(json.dumps(message, sort_keys=True) for message in messages)


def estimate_cost(document: dict[str, Any], size: int) -> float:
    """Return a request's estimated cost in tokens; `size` is its body's bytes."""
    limit = document.get("max_completion_tokens") or document.get("max_tokens")
    is_limit = isinstance(limit, int) and limit > 0
    answer = min(limit, MAX_ANSWER_TOKENS) if is_limit else DEFAULT_ANSWER_TOKENS
    return size / CHARACTERS_PER_TOKEN + answer


async def read_body(request: web.Request, limit: int) -> bytes:
    """Return a request's body, or raise if it is larger than the limit."""
    text = f"the body may have at most {limit} bytes"
    if (request.content_length or 0) > limit:
        raise error.RequestError(text, error.Kind.BODY_TOO_LARGE)
    body = bytearray()
    try:
        async for data in request.content.iter_chunked(16 * 1024):
            body += data
            if len(body) > limit:
                raise error.RequestError(text, error.Kind.BODY_TOO_LARGE)
        return bytes(body)
    finally:
        # The traceback of an error would keep the body alive.
        body.clear()
