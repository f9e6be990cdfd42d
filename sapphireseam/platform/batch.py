"""Take, read and end the platform's batch jobs; the product calls them lots."""

import base64
import binascii

import msgspec
from aiohttp import web

from sapphireseam.core import command, error, message
from sapphireseam.entry.authorizer import Authorization
from sapphireseam.entry.discovery import FrontContext
from sapphireseam.platform import answer, dialect

LOTS_PATH = "/lots/"
ITEMS_PATH = "/items/"
ACCEPTED = 202
MOST_ITEMS = 200
# The longest that a read may be kept waiting, in seconds.
LONGEST_WAIT = 1.0
COMPLETED = "completed"
GIVEN_UP = "dead_letter"


class Item(msgspec.Struct):
    """Hold one item as it is handed in; `body` is base64."""

    id: str
    path: str
    # The tokens of the prompt and the most of the output, summed.
    tokens: int
    headers: dict[str, str] = {}
    body: str = ""


class Submission(msgspec.Struct):
    """Hold a batch job as it is handed in."""

    requests: tuple[Item, ...]


class Result(msgspec.Struct):
    """Hold one result; `output` has the data of all events, one a line."""

    id: str
    state: str
    output: str


class Page(msgspec.Struct):
    """Hold results from a position on; `next` is the position behind them."""

    total: int
    next: int
    results: list[Result]


_decoder = msgspec.json.Decoder(Submission)
_encoder = msgspec.json.Encoder()


def is_about_lots(path: str) -> bool:
    """Say whether a request is about a batch job that was taken."""
    return path.startswith((LOTS_PATH, ITEMS_PATH))


class BatchFront:
    """Answer clients' calls about batch jobs."""

    def __init__(self, desk: FrontContext):
        self._desk = desk

    async def accept(
        self, admitted: Authorization, job: str, body: bytes
    ) -> web.Response:
        """Take a batch job; its answer promises that all of it is kept."""
        if not job:
            raise error.RequestError(f"the header {dialect.ATTEMPT} is missing")
        await self._desk.bulk_jobs.accept(
            job,
            admitted.customer,
            admitted.route_name,
            admitted.route,
            read_submission(body),
        )
        return web.Response(status=ACCEPTED, headers={dialect.ATTEMPT: job})

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Answer a read or an end."""
        text = dialect.read_key(request.headers)
        customer = await self._desk.authorizer.identify_with_refresh(text)
        if request.path.startswith(ITEMS_PATH):
            job = request.path.removeprefix(ITEMS_PATH)
            item = request.query.get("id", "")
            data = await self._desk.bulk_jobs.read_item(job, customer, item)
            return web.Response(body=data, content_type="application/octet-stream")
        job = request.path.removeprefix(LOTS_PATH)
        if request.method == "DELETE":
            await self._desk.bulk_jobs.end(job, customer)
            return web.Response(status=200)
        return await self._read(request, job, customer)

    async def _read(
        self, request: web.BaseRequest, job: str, customer: str
    ) -> web.Response:
        after = _read_count(request.query.get("after", "0"))
        wait = _read_count(request.headers.get(dialect.WAIT, "0"))
        seconds = min(wait / dialect.MILLISECONDS, LONGEST_WAIT)
        view = await self._desk.bulk_jobs.read(job, customer, after, seconds)
        return answer.render_json(render_page(view, after))


def read_submission(body: bytes) -> tuple[command.LotItem, ...]:
    """Return the items in a submission, or raise what is wrong with it."""
    try:
        submission = _decoder.decode(body)
        items = tuple(_read_item(item) for item in submission.requests)
    except (msgspec.MsgspecError, binascii.Error) as failure:
        text = f"the batch job can't be read: {failure}"
        raise error.RequestError(text) from None
    if not 0 < len(items) <= MOST_ITEMS:
        raise error.RequestError(f"a batch job has 1 to {MOST_ITEMS} items")
    if len({item.id for item in items}) < len(items):
        raise error.RequestError("two items have the same id")
    return items


def _read_item(item: Item) -> command.LotItem:
    body = base64.b64decode(item.body, validate=True)
    headers = dialect.strip_item(item.headers)
    return command.LotItem(item.id, item.path, headers, body, item.tokens)


def render_page(view: message.LotView, after: int) -> bytes:
    """Return a page of results as JSON."""
    results = [
        Result(item, GIVEN_UP if failed else COMPLETED, output.decode())
        for item, failed, output in view.results
    ]
    return _encoder.encode(Page(view.total, after + len(results), results))


def _read_count(text: str) -> int:
    if not text.isdigit():
        raise error.RequestError(f"{text[:40]!r} is no whole number")
    return int(text)
