"""List the commands that change the replicated state.

A command says all that its effect depends on, times and random ids included,
so that every member applies it to the same result. `request` makes a command
idempotent: the same id again gets the first answer again.
"""

from typing import NamedTuple

from sapphireseam.core import codec


class SetOperator(NamedTuple):
    """Set the operator key's digest, once."""

    request: str
    digest: str


class Publish(NamedTuple):
    """Replace the configuration, if `base` is the revision in force.

    `document` is the whole set as JSON; `note` says why, for the history.
    """

    request: str
    base: int
    document: bytes
    at: float
    note: str = ""


class PublishNumbered(NamedTuple):
    """Replace the configuration if `number` is higher than the one in force.

    The operator numbers such configurations. One that isn't higher is answered
    like one that was taken, and changes nothing. `source` is what the operator
    sent, kept to be read back, where it isn't `document` itself.
    """

    number: int
    document: bytes
    source: bytes
    at: float


class IssueKey(NamedTuple):
    """Add a caller's key by its digest."""

    request: str
    id: str
    customer: str
    digest: str
    at: float


class WithdrawKey(NamedTuple):
    """End a caller's key for good."""

    request: str
    id: str
    at: float


class CreateFile(NamedTuple):
    """Name a stored blob as a customer's file.

    `url` and `model` are those of every line of a batch input file.
    """

    request: str
    file: str
    customer: str
    name: str
    purpose: str
    blob: str
    size: int
    lines: int
    url: str
    model: str
    at: float


class RemoveFile(NamedTuple):
    """Drop a customer's file that no job needs."""

    customer: str
    file: str


class SubmitJob(NamedTuple):
    """Accept a batch job over an input file; `due` is in epoch seconds."""

    request: str
    job: str
    customer: str
    key: str
    file: str
    endpoint: str
    due: float
    at: float
    metadata: dict[str, str] = {}


class CancelJob(NamedTuple):
    """Stop a customer's job: no new leases, no new results."""

    customer: str
    job: str
    at: float


class LeaseItems(NamedTuple):
    """Lease some of a job's items to an agent.

    The command's index in the log is the lease's fencing number. How long the
    lease lasts isn't logged: the leader counts it from what it hears.
    """

    job: str
    count: int
    agent: str


class StartItems(NamedTuple):
    """Mark non-idempotent items as handed over, before they are."""

    lease: int
    items: tuple[int, ...]


class ItemResult(NamedTuple):
    """Say how one item ended; `line` is its place among the blob's lines."""

    item: int
    line: int
    failed: bool
    kind: str = ""


class CompleteItems(NamedTuple):
    """Record results, whose output lines stand in `blob`."""

    lease: int
    blob: str
    results: tuple[ItemResult, ...]
    at: float


class ReturnItems(NamedTuple):
    """Give leased items back; `blamed` ones count as a failed try.

    Those in `not_run` provably never reached the upstream, so even a started
    mark on them is taken back.
    """

    lease: int
    items: tuple[int, ...]
    blamed: tuple[int, ...]
    at: float
    not_run: tuple[int, ...] = ()


class ExpireLease(NamedTuple):
    """End a lease whose agent fell silent or no longer holds it."""

    lease: int
    at: float


class FinishCancel(NamedTuple):
    """Close a cancelled job once no agent holds any of its items."""

    job: str
    at: float


class ClaimRequest(NamedTuple):
    """Claim a caller's idempotency key before its request is handed over."""

    customer: str
    idempotency_key: str
    fingerprint: str
    holder: str
    at: float


class SettleClaim(NamedTuple):
    """Store the answer to a claimed request, or free the claim if not run."""

    customer: str
    idempotency_key: str
    holder: str
    not_run: bool
    status: int
    blob: str
    at: float


class ReportDeath(NamedTuple):
    """Count a death of an upstream against what it was running.

    `alone` says that a single request ran, and nothing beside it.
    """

    request: str
    upstream: str
    fingerprints: tuple[str, ...]
    alone: bool
    at: float


class ClearSuspects(NamedTuple):
    """Clear requests that were answered while they ran alone."""

    fingerprints: tuple[str, ...]


class MarkLeaving(NamedTuple):
    """Put an upstream on the list of leaving ones, or take it off."""

    request: str
    upstream: str
    leaving: bool
    at: float


class IssueOrder(NamedTuple):
    """Number an order to an upstream: the log's index is its fence."""

    request: str
    upstream: str
    action: str
    argument: str
    at: float


class BeginOrder(NamedTuple):
    """Give an order to one run of the agent beside its upstream."""

    fence: int
    agent: str
    at: float


class FinishOrder(NamedTuple):
    """Record that an upstream has carried an order out, or failed to."""

    fence: int
    failure: str
    at: float


class Reserve(NamedTuple):
    """Say what a customer's bucket held, and what its owner grants of it."""

    customer: str
    level: float
    reserve: float


class RecordReserves(NamedTuple):
    """Replace customers' reserves, unless an owner of a newer term has begun.

    An owner of the limits begins its term with an empty one.
    """

    term: int
    reserves: tuple[Reserve, ...] = ()


class LotItem(NamedTuple):
    """Describe one request of a lot; `tokens` are those in and out at most.

    `headers` go to the upstream as they are.
    """

    id: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int


class AcceptLot(NamedTuple):
    """Take a lot: requests that came at once and run later, in any order.

    `token_limit` bounds the customer's waiting tokens on the route, 0 for none.
    Times are in epoch seconds: `due` for all results, `abandon` from when an
    item may be given up.
    """

    lot: str
    customer: str
    route: str
    items: tuple[LotItem, ...]
    token_limit: int
    at: float
    due: float
    abandon: float


class LotPart(NamedTuple):
    """Keep what an item has put out behind event `after`, up to `last`.

    `output` holds the events' data, separated by line feeds. With `after` -1 it
    replaces what was kept before.
    """

    lot: str
    item: int
    after: int
    last: int
    output: bytes


class KeepParts(NamedTuple):
    """Keep parts of outputs, so that the next leader goes on behind them."""

    parts: tuple[LotPart, ...]


class LotResult(NamedTuple):
    """Say how an item of a lot ended: with its whole output, or given up.

    `output` is what came behind event `after`; what came up to it was kept.
    `is_rest_empty` says that nothing came.
    """

    lot: str
    item: int
    failed: bool
    output: bytes = b""
    after: int = -1
    is_rest_empty: bool = False


class ListResults(NamedTuple):
    """Give results their positions in their lots; an item has one at most."""

    results: tuple[LotResult, ...]


class EndLot(NamedTuple):
    """Stop a customer's lot: what isn't listed yet is given up."""

    lot: str
    customer: str


class ForgetLots(NamedTuple):
    """Drop lots that are finished and whose results were kept long enough."""

    lots: tuple[str, ...]


class RetireMember(NamedTuple):
    """Have a control VM emptied: it is to leave the members for good."""

    address: str
    label: str


COMMANDS = (
    PublishNumbered,
    AcceptLot,
    KeepParts,
    ListResults,
    EndLot,
    ForgetLots,
    RetireMember,
    SetOperator,
    Publish,
    IssueKey,
    WithdrawKey,
    CreateFile,
    RemoveFile,
    SubmitJob,
    CancelJob,
    LeaseItems,
    StartItems,
    CompleteItems,
    ReturnItems,
    ExpireLease,
    FinishCancel,
    ClaimRequest,
    SettleClaim,
    ReportDeath,
    ClearSuspects,
    MarkLeaving,
    IssueOrder,
    BeginOrder,
    FinishOrder,
    RecordReserves,
)

REGISTRY = codec.Registry(COMMANDS)
