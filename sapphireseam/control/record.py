"""Defines the replicated state of the control VMs as plain data.

The state changes only when a log entry is applied. It is one tuple of dictionaries,
which the snapshot codec encodes without conversion. The dictionaries preserve their
insertion order, which is the same on every member.
"""

import functools
from typing import Any, NamedTuple

from sapphireseam.core import fleet, jsontext
from sapphireseam.core.ceiling import Ceiling
from sapphireseam.core.command import LotItem
from sapphireseam.core.evacuation import Evacuated, Evacuation
from sapphireseam.core.key import Key
from sapphireseam.core.verdict import Verdict
from sapphireseam.policy.blame import Cause, Crash, Trial
from sapphireseam.policy.limit import Reserve

# Values of an item's byte in the marks of its job.
PENDING = 0
DONE = 1
FAILED = 2
STARTED = 3

IN_PROGRESS = "in_progress"
COMPLETED = "completed"
CANCELLING = "cancelling"
CANCELLED = "cancelled"


class Revision(NamedTuple):
    """One published configuration in the history.

    `source` is the text that the operator sent, if it differs from the document.
    """

    number: int
    document: bytes
    at: float
    note: str
    request: str
    source: bytes = b""


class File(NamedTuple):
    """A customer's file: a blob with a name."""

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
    """A batch job and its progress."""

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
    """A blob of output lines, and the results of the items that they answer.

    A chunk without a blob holds items that ended without an answer.
    """

    blob: str
    results: tuple[tuple[int, int, bool, str], ...]


class Lease(NamedTuple):
    """The items that an agent may run; its key in the state is the fencing number."""

    job: str
    agent: str
    items: tuple[int, ...]


class Claim(NamedTuple):
    """The claim of a caller's idempotency key, and the answer to its request."""

    fingerprint: str
    holder: str
    at: float
    settled: bool = False
    status: int = 0
    blob: str = ""


class Order(NamedTuple):
    """An order to an upstream; its key in the state is the fencing number."""

    upstream: str
    action: str
    argument: str
    at: float
    finished: float = 0.0
    failure: str = ""
    begun: float = 0.0
    agent: str = ""


class Stored(NamedTuple):
    """The encoded answer to a command; its key in the state is the request id."""

    answer: bytes


class Result(NamedTuple):
    """How an item of a bulk job ended; its index in `results` is its position."""

    item: int
    failed: bool
    output: bytes


class Partial(NamedTuple):
    """The output of an unfinished item up to event `last`.

    `service` and `version` are those of the upstream that wrote it. The events of two
    runs may have the same numbers, so `lineage` names the output.
    """

    last: int
    output: bytes
    service: str = ""
    version: str = ""
    lineage: str = ""


class Lot(NamedTuple):
    """A bulk job: requests that were submitted together and run later.

    `results` is in the order in which the results were listed. When the result of
    an item is listed, its body and its partial output are dropped. `is_ended` is
    true once the customer has ended the job.
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
        """Return whether more results are expected."""
        return not self.is_ended and len(self.results) < len(self.items)


class State(NamedTuple):
    """The whole replicated state.

    The fields with defaults are missing from older snapshots; see `complete`. The keys
    of `crashes` are the runs that ended, those of `ceilings` all runs that name one,
    those of `evacuations` failure domains, and those of the other fields traits.
    """

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
    crashes: dict[str, Crash] = {}
    causes: dict[str, Cause] = {}
    verdicts: dict[str, Verdict] = {}
    trials: dict[str, Trial] = {}
    proofs: dict[str, float] = {}
    ceilings: dict[str, Ceiling] = {}
    evacuations: dict[str, Evacuation] = {}


def create() -> State:
    """Return the state before the first command."""
    return State({"revision": 0}, {}, *({} for _ in range(24)))


def complete(state: State) -> State:
    """Return a decoded state with its own dictionaries for the missing fields."""
    return state._replace(
        crashes=dict(state.crashes),
        causes=dict(state.causes),
        verdicts=dict(state.verdicts),
        trials=dict(state.trials),
        proofs=dict(state.proofs),
        ceilings=dict(state.ceilings),
        evacuations=dict(state.evacuations),
    )


def read_revision(state: State) -> int:
    """Return the revision in force; 0 before the first publish."""
    return state.numbers["revision"]


def read_evacuated(state: State) -> Evacuated:
    """Return the evacuated failure domains with the number of the last change."""
    number = state.numbers.get("evacuation", 0)
    return Evacuated(number, tuple(state.evacuations))


def read_document(state: State) -> bytes:
    """Return the configuration in force as JSON."""
    revision = state.history.get(read_revision(state))
    return revision.document if revision else b"{}"


@functools.lru_cache(maxsize=4)
def decode_document(document: bytes) -> dict[str, Any]:
    """Return a published configuration as JSON objects, which must not be changed."""
    return jsontext.parse(document)


def read_fleet(state: State) -> fleet.Fleet:
    """Return the configuration in force.

    Its values have their types, while a document may have, for example, "2" for 2.
    """
    return _decode_fleet(read_document(state))


@functools.lru_cache(maxsize=4)
def _decode_fleet(document: bytes) -> fleet.Fleet:
    found, _ = fleet.parse(decode_document(document))
    return found or fleet.Fleet()
