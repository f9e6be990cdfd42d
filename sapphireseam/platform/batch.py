"""Serves the platform's batch jobs.

A batch job is called a bulk job elsewhere in Sapphireseam, and a lot in stored data and
messages.
"""

import base64
import binascii
import re
from typing import Annotated

import msgspec
from aiohttp import web

from sapphireseam.core import command, error, jsontext, message, number
from sapphireseam.entry.authorizer import Authorization
from sapphireseam.entry.discovery import FrontContext
from sapphireseam.platform import answer, dialect

LOTS_PATH = "/lots/"
ITEMS_PATH = "/items/"
ACCEPTED_STATUS = 202
MAX_ITEMS = 200
# Copies of a batch job beside its body while it is decoded and sent.
COPIES = 3
# The most tokens that an item may declare.
MAX_TOKENS = 10**9
# Maximum time that a read waits for new results.
MAX_WAIT_SECONDS = 1.0
MAX_ID_LENGTH = 255
# What a request to a replica can hold: its target, and the names and values of headers.
_ID = re.compile(r"[!-~]+")
_TARGET = re.compile(r"/[!-~]*")
_HEADER_NAME = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~-]+")
_HEADER_VALUE = re.compile(r"[^\x00-\x08\x0a-\x1f\x7f]*")

# States of a result.
COMPLETED = "completed"
DEAD_LETTER = "dead_letter"


class Item(msgspec.Struct):
    """One item of a submission; `body` is base64."""

    id: str
    path: str
    # Tokens of the prompt plus the maximum tokens of the output.
    tokens: Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]
    headers: dict[str, str] = {}
    body: str = ""


class Submission(msgspec.Struct):
    """A batch job as a client submits it."""

    requests: tuple[Item, ...]


class Result(msgspec.Struct):
    """One result; `output` has the data of all events, one per line."""

    id: str
    state: str
    output: str


class Page(msgspec.Struct):
    """The results from a position on.

    `next` is the position after the last one. `total` counts the items of the job.
    """

    total: int
    next: int
    results: list[Result]


_decoder = msgspec.json.Decoder(Submission)
_encoder = msgspec.json.Encoder()


def is_job_path(path: str) -> bool:
    """Return whether requests to a path read or end a batch job."""
    return path.startswith((LOTS_PATH, ITEMS_PATH))


class BatchFront:
    """Serves clients' requests about batch jobs."""

    def __init__(self, context: FrontContext):
        self._context = context

    async def accept(
        self, authorization: Authorization, job_id: str, body: bytes
    ) -> web.Response:
        """Accept a batch job; status 202 promises that all of it is stored."""
        if not job_id:
            raise error.RequestError(f"the header {dialect.ATTEMPT} is missing")
        await self._context.bulk_jobs.accept(
            job_id,
            authorization.customer,
            authorization.route_name,
            authorization.route,
            read_submission(body, self._context.authorizer.bounds.header_bytes),
        )
        return web.Response(status=ACCEPTED_STATUS, headers={dialect.ATTEMPT: job_id})

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Answer a request to read or end a batch job."""
        key = dialect.read_key(request.headers)
        customer = await self._context.authorizer.identify_with_refresh(key)
        if request.path.startswith(ITEMS_PATH):
            job_id = request.path.removeprefix(ITEMS_PATH)
            item = request.query.get("id", "")
            data = await self._context.bulk_jobs.read_item(job_id, customer, item)
            return web.Response(body=data, content_type="application/octet-stream")
        job_id = request.path.removeprefix(LOTS_PATH)
        if request.method == "DELETE":
            await self._context.bulk_jobs.end(job_id, customer)
            return web.Response(status=200)
        return await self._read(request, job_id, customer)

    async def _read(
        self, request: web.BaseRequest, job_id: str, customer: str
    ) -> web.Response:
        after = _parse_count(request.query.get("after", "0"))
        wait = _parse_count(request.headers.get(dialect.WAIT, "0"))
        seconds = min(wait / dialect.MILLISECONDS_PER_SECOND, MAX_WAIT_SECONDS)
        view = await self._context.bulk_jobs.read(job_id, customer, after, seconds)
        return answer.render_json(render_page(view, after))


def read_submission(body: bytes, header_bytes: int) -> tuple[command.LotItem, ...]:
    """Return the items in a submission, or raise `RequestError`.

    An item that no replica could be sent is refused, as is one whose target and headers
    have more than `header_bytes`.
    """
    try:
        submission = jsontext.decode(body, _decoder)
        items = tuple(_read_item(item) for item in submission.requests)
    except (jsontext.JsonError, binascii.Error) as failure:
        text = f"invalid batch job: {failure}"
        raise error.RequestError(text) from None
    if not 0 < len(items) <= MAX_ITEMS:
        raise error.RequestError(f"a batch job must have 1 to {MAX_ITEMS} items")
    if len({item.id for item in items}) < len(items):
        raise error.RequestError("two items have the same id")
    for position, item in enumerate(items):
        if not _is_sendable(item, header_bytes):
            text = f"item {position} of the batch job is no request that can be sent"
            raise error.RequestError(text)
    return items


def _is_sendable(item: command.LotItem, header_bytes: int) -> bool:
    size = len(item.target) + sum(
        len(name) + len(value) for name, value in item.headers
    )
    return (
        size <= header_bytes
        and len(item.id) <= MAX_ID_LENGTH
        and _ID.fullmatch(item.id) is not None
        and _TARGET.fullmatch(item.target) is not None
        and all(
            _HEADER_NAME.fullmatch(name) and _HEADER_VALUE.fullmatch(value)
            for name, value in item.headers
        )
    )


def _read_item(item: Item) -> command.LotItem:
    body = base64.b64decode(item.body, validate=True)
    headers = dialect.strip_item(item.headers)
    return command.LotItem(item.id, item.path, headers, body, item.tokens)


def render_page(view: message.LotView, after: int) -> bytes:
    """Return a page of results as JSON."""
    results = [
        Result(
            item, DEAD_LETTER if failed else COMPLETED, output.decode(errors="replace")
        )
        for item, failed, output in view.results
    ]
    return _encoder.encode(Page(view.total, after + len(results), results))


def _parse_count(text: str) -> int:
    count = number.parse_count(text)
    if count is None:
        raise error.RequestError(f"{text[:40]!r} is not a whole number")
    return count
