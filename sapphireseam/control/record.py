"""Hold the replicated state as plain data.

Everything here is the result of applying the log; nothing else writes to it.
The whole is one tuple of dictionaries, which the snapshot codec packs as it
stands. Dictionaries keep insertion order, on every member the same.
"""

import functools
import json
from typing import Any, NamedTuple

from sapphireseam.core.command import LotItem
from sapphireseam.core.key import Key
from sapphireseam.policy.limit import Reserve

# An item's mark in its job's byte string.
PENDING = 0
DONE = 1
FAILED = 2
STARTED = 3

IN_PROGRESS = "in_progress"
COMPLETED = "completed"
CANCELLING = "cancelling"
CANCELLED = "cancelled"


class Revision(NamedTuple):
    """Record one published configuration for the history.

    `source` is what the operator sent, where it isn't the document itself.
    """

    number: int
    document: bytes
    at: float
    note: str
    request: str
    source: bytes = b""


class File(NamedTuple):
    """Record a customer's file: a blob with a name."""

    id: str
    customer: str
    name: str
    purpose: str
    blob: str
    size: int
    lines: int
    url: str
    model: str
    created: float


class Job(NamedTuple):
    """Record a batch job and how far it has come."""

    id: str
    customer: str
    key: str
    file: str
    blob: str
    endpoint: str
    model: str
    service: str
    idempotent: bool
    count: int
    status: str
    created: float
    due: float
    next_item: int = 0
    done: int = 0
    failed: int = 0
    ended: float = 0.0
    metadata: dict[str, str] = {}
    request: str = ""


class Chunk(NamedTuple):
    """Record a blob of output lines and the items that they answer.

    A chunk without a blob holds items that ended without an answer.
    """

    blob: str
    results: tuple[tuple[int, int, bool, str], ...]


class Lease(NamedTuple):
    """Record which items an agent holds; the key in the state is the fence."""

    job: str
    agent: str
    items: tuple[int, ...]


class Claim(NamedTuple):
    """Record the claim of a caller's idempotency key, and its answer."""

    fingerprint: str
    holder: str
    at: float
    settled: bool = False
    status: int = 0
    blob: str = ""


class Order(NamedTuple):
    """Record an order to an upstream; the key in the state is the fence."""

    upstream: str
    action: str
    argument: str
    at: float
    finished: float = 0.0
    failure: str = ""
    begun: float = 0.0
    agent: str = ""


class Stored(NamedTuple):
    """Keep the answer that a request id got."""

    answer: bytes


class Result(NamedTuple):
    """Record how an item of a lot ended; its place is its position."""

    item: int
    failed: bool
    output: bytes


class Partial(NamedTuple):
    """Record what an item has put out up to event `last`."""

    last: int
    output: bytes


class Lot(NamedTuple):
    """Record requests that came at once and run later.

    `results` stand in the order in which they were listed. The body of an item
    and what was kept of its output are dropped with its listing. `is_ended`
    marks a lot that its customer ended.
    """

    id: str
    customer: str
    route: str
    items: list[LotItem]
    at: float
    due: float
    abandon: float
    results: list[Result]
    listed: set[int]
    partials: dict[int, Partial]
    is_ended: bool = False

    @property
    def is_open(self) -> bool:
        """Say whether results are still to come."""
        return not self.is_ended and len(self.results) < len(self.items)


class State(NamedTuple):
    """Hold all replicated state."""

    numbers: dict[str, int]
    texts: dict[str, str]
    history: dict[int, Revision]
    keys: dict[str, Key]
    files: dict[str, File]
    jobs: dict[str, Job]
    marks: dict[str, bytearray]
    returned: dict[str, list[int]]
    tries: dict[str, dict[int, int]]
    chunks: dict[str, list[Chunk]]
    leases: dict[int, Lease]
    claims: dict[str, Claim]
    deaths: dict[str, int]
    leaving: dict[str, float]
    orders: dict[int, Order]
    answers: dict[str, Stored]
    reserves: dict[str, Reserve]
    lots: dict[str, Lot]
    retired: dict[str, str]


def create() -> State:
    """Return the state before the first command."""
    return State({"revision": 0}, {}, *({} for _ in range(17)))


def read_revision(state: State) -> int:
    """Return the revision in force; 0 before the first publish."""
    return state.numbers["revision"]


def read_document(state: State) -> bytes:
    """Return the configuration in force as JSON."""
    revision = state.history.get(read_revision(state))
    return revision.document if revision else b"{}"


@functools.lru_cache(maxsize=4)
def decode_document(document: bytes) -> dict[str, Any]:
    """Return a published configuration as JSON objects, not to be changed."""
    return json.loads(document)
