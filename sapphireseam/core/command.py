"""Defines the commands that change the replicated state.

A command contains everything that its effect depends on, including times and random
ids, so every member that applies it gets the same result. `request` makes a command
idempotent: a command with the id of an earlier one gets the answer of that one.

`Lot` in a name means a bulk job: many requests that arrive in one call and run later.
A batch job reads its requests from a customer's file.
"""

from typing import NamedTuple

from sapphireseam.core import codec


class SetOperator(NamedTuple):
    """Set the digest of the operator key; only the first one is accepted."""

    request: str
    digest: str


class Publish(NamedTuple):
    """Replace the configuration if `base` is the revision in force.

    `document` is the whole configuration as JSON. `note` is the operator's reason,
    which the history shows.
    """

    request: str
    base: int
    document: bytes
    at: float
    note: str = ""


class PublishNumbered(NamedTuple):
    """Replace the configuration if `number` is higher than the one in force.

    The operator assigns the number. If it isn't higher, the command changes nothing
    and is still answered with `Done`. `source` is the text that the operator sent and
    can read back. If it is empty, `document` is read back.
    """

    number: int
    document: bytes
    source: bytes
    at: float


class IssueKey(NamedTuple):
    """Add a caller's key, stored as its digest."""

    request: str
    id: str
    customer: str
    digest: str
    at: float


class WithdrawKey(NamedTuple):
    """Withdraw a caller's key permanently."""

    request: str
    id: str
    at: float


class CreateFile(NamedTuple):
    """Create a customer's file from a stored blob.

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
    """Delete a customer's file, unless an open job reads it."""

    customer: str
    file: str


class SubmitJob(NamedTuple):
    """Accept a batch job for an input file; `due` is in epoch seconds."""

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
    """Cancel a customer's job: it gets no new leases and no new results."""

    customer: str
    job: str
    at: float


class LeaseItems(NamedTuple):
    """Lease some of a job's items to an agent.

    The command's index in the log is the lease's fencing number. The log doesn't
    contain the expiry of the lease: the leader measures it from the last heartbeat.
    """

    job: str
    count: int
    agent: str


class StartItems(NamedTuple):
    """Record the start of non-idempotent items before they are sent upstream."""

    lease: int
    items: tuple[int, ...]


class ItemResult(NamedTuple):
    """How one item ended; `line` is the index of its output line in the blob."""

    item: int
    line: int
    failed: bool
    kind: str = ""


class CompleteItems(NamedTuple):
    """Record results; `blob` contains their output lines."""

    lease: int
    blob: str
    results: tuple[ItemResult, ...]
    at: float


class ReturnItems(NamedTuple):
    """Return leased items to their job; for those in `blamed`, count a failed try.

    Items in `not_run` provably never reached the upstream, so a recorded start of
    such an item is removed.
    """

    lease: int
    items: tuple[int, ...]
    blamed: tuple[int, ...]
    at: float
    not_run: tuple[int, ...] = ()


class ExpireLease(NamedTuple):
    """End a lease whose agent is silent or no longer holds it."""

    lease: int
    at: float


class FinishCancel(NamedTuple):
    """Mark a job as cancelled once no agent holds any of its items."""

    job: str
    at: float


class ClaimRequest(NamedTuple):
    """Claim a caller's idempotency key before its request is sent upstream."""

    customer: str
    idempotency_key: str
    fingerprint: str
    holder: str
    at: float


class SettleClaim(NamedTuple):
    """Store the answer to a claimed request, or delete its claim if it didn't run."""

    customer: str
    idempotency_key: str
    holder: str
    not_run: bool
    status: int
    blob: str
    at: float


class ReportDeath(NamedTuple):
    """Record that an upstream crashed while it ran these requests.

    `alone` says that no other request was running.
    """

    request: str
    upstream: str
    fingerprints: tuple[str, ...]
    alone: bool
    at: float


class ClearSuspects(NamedTuple):
    """Clear suspect requests that were answered while they ran alone."""

    fingerprints: tuple[str, ...]


class ReportCrash(NamedTuple):
    """Record that a run of an upstream ended while it ran these requests.

    The leader sets `at` in this command and the two after it.
    `run` is the same in all reports of one crash. `requests` holds the traits of each
    request that broke and wasn't proven sound.
    """

    request: str
    upstream: str
    run: str
    requests: tuple[tuple[str, ...], ...]
    at: float


class ReportCeiling(NamedTuple):
    """Record the requests per second that a run of an upstream takes; 0 ends it.

    The leader sets `at`.
    """

    upstream: str
    run: str
    rate: float
    at: float


class ClearTraits(NamedTuple):
    """Clear traits of requests that were proven sound."""

    traits: tuple[str, ...]
    at: float = 0.0


class ClaimTrial(NamedTuple):
    """Claim the only run of requests with these traits that are suspects.

    The answer is `Done` with the number of suspects, or `Refused` if a trait is a cause
    or another holder has its trial. A holder that claims again keeps its trial.
    """

    request: str
    traits: tuple[str, ...]
    holder: str
    at: float


class ReleaseTrial(NamedTuple):
    """End the trials of a holder that neither crashed nor was proven sound."""

    holder: str


class MarkLeaving(NamedTuple):
    """Add an upstream to the list of leaving upstreams, or remove it."""

    request: str
    upstream: str
    leaving: bool
    at: float


class IssueOrder(NamedTuple):
    """Add an order for an upstream; its index in the log is its fencing number."""

    request: str
    upstream: str
    action: str
    argument: str
    at: float


class BeginOrder(NamedTuple):
    """Grant an order to one run of the upstream's agent."""

    fence: int
    agent: str
    at: float


class FinishOrder(NamedTuple):
    """Record that an upstream carried out an order, or the `failure` if it didn't."""

    fence: int
    failure: str
    at: float


class Reserve(NamedTuple):
    """The level of a customer's bucket, and the most granted until the next record."""

    customer: str
    level: float
    reserve: float


class RecordReserves(NamedTuple):
    """Replace the reserves of these customers, unless a newer term has begun.

    The leader owns the rate limits. It begins its term with a command without
    reserves.
    """

    term: int
    reserves: tuple[Reserve, ...] = ()


class LotItem(NamedTuple):
    """One request of a bulk job.

    `tokens` is the size of the prompt plus the maximum size of the output. `headers`
    are sent to the upstream unchanged.
    """

    id: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int


class AcceptLot(NamedTuple):
    """Accept a bulk job; its items run in any order.

    `token_limit` bounds the customer's waiting tokens on the route; 0 sets no limit.
    Times are in epoch seconds. All results are due at `due`, and items may be
    abandoned from `abandon` on.
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
    """The output of an item after event `after`, up to event `last`.

    `output` is the data of the events, separated by line feeds. If `after` is -1,
    it replaces the output that was saved before. `service` and `version` are those of
    the upstream that wrote it. `lineage` names the output with this part, and
    `continues` the saved output that the part continues.
    """

    lot: str
    item: int
    after: int
    last: int
    output: bytes
    service: str = ""
    version: str = ""
    lineage: str = ""
    continues: str = ""


class KeepParts(NamedTuple):
    """Save parts of outputs, so that a new leader can resume the items after them."""

    parts: tuple[LotPart, ...]


class LotResult(NamedTuple):
    """How an item of a bulk job ended: with its complete output, or as failed.

    `output` is the part after event `after`; the part up to `after` was saved before.
    `is_rest_empty` says that no event came after `after`; otherwise an empty `output`
    can be one event without data. `continues` names the saved output.
    """

    lot: str
    item: int
    failed: bool
    output: bytes = b""
    after: int = -1
    is_rest_empty: bool = False
    continues: str = ""


class ListResults(NamedTuple):
    """Append results to their bulk jobs; an item gets at most one."""

    results: tuple[LotResult, ...]


class EndLot(NamedTuple):
    """End a customer's bulk job; items without a result are recorded as failed."""

    lot: str
    customer: str


class ForgetLots(NamedTuple):
    """Delete finished bulk jobs whose retention time is over."""

    lots: tuple[str, ...]


class SetEvacuation(NamedTuple):
    """Stop new work at all upstreams of a failure domain, or take that back.

    With a `base`, the command is refused if the evacuations have changed since the
    change with that number. The command is also refused if the domain is unknown, or if
    a service of the configuration would have no upstream left, unless it `is_forced`.
    """

    request: str
    domain: str
    is_evacuated: bool
    at: float
    base: int = -1
    is_forced: bool = False


class RetireMember(NamedTuple):
    """Retire a control VM: it is removed from the members and never added again."""

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
    ReportCrash,
    ReportCeiling,
    ClearTraits,
    ClaimTrial,
    ReleaseTrial,
    MarkLeaving,
    IssueOrder,
    BeginOrder,
    FinishOrder,
    RecordReserves,
    SetEvacuation,
)

REGISTRY = codec.Registry(COMMANDS, compresses=True)
