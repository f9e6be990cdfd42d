"""Defines the calls between the system's own processes, and their answers.

The registry also contains the messages of the streams, which are defined in `notice`,
`exchange` and `placement`.
"""

from typing import NamedTuple

from sapphireseam.core import codec, exchange, notice, placement
from sapphireseam.core.evacuation import Evacuation
from sapphireseam.core.event import Event
from sapphireseam.core.key import Key


class Failure(NamedTuple):
    """An error as it is sent; `leader` is the leader's address if it is known."""

    kind: str
    message: str
    retry_after: float = 0.0
    not_run: bool = False
    leader: str = ""


class Empty(NamedTuple):
    """Answer a call that returns nothing."""


# Calls to a control VM.


class Propose(NamedTuple):
    """Ask the leader to commit a command, encoded by `command.REGISTRY`."""

    command: bytes


class Proposed(NamedTuple):
    """Return the state machine's answer, encoded by `outcome.REGISTRY`."""

    outcome: bytes


class WriteBlob(NamedTuple):
    """Send a piece of a blob to the leader.

    After the last piece, the blob is durable on that control VM.
    """

    upload: str
    offset: int
    data: bytes
    last: bool


class Written(NamedTuple):
    """Return the digest of a complete blob, or an empty one before the last piece."""

    blob: str


class ReadBlob(NamedTuple):
    """Ask for a piece of a blob."""

    blob: str
    offset: int


class Piece(NamedTuple):
    """Return a piece of a blob or an output; `last` marks the last piece."""

    data: bytes
    last: bool


class ReadOutput(NamedTuple):
    """Ask for a piece of a job's output or error lines.

    `chunk` is the index of a result chunk of the job; a piece contains the lines of
    one chunk.
    """

    customer: str
    job: str
    failed: bool
    chunk: int


class ListJobs(NamedTuple):
    """Ask for a customer's jobs, or for all jobs if `customer` is empty."""

    customer: str
    job: str = ""


class JobView(NamedTuple):
    """A job as callers and operators see it; times are in epoch seconds."""

    id: str
    customer: str
    file: str
    endpoint: str
    status: str
    count: int
    done: int
    failed: int
    created: float
    due: float
    ended: float
    metadata: dict[str, str]


class Jobs(NamedTuple):
    """Return jobs, newest first."""

    jobs: tuple[JobView, ...]


class ListFiles(NamedTuple):
    """Ask for a customer's files, or for one of them if `file` isn't empty."""

    customer: str
    file: str = ""


class FileView(NamedTuple):
    """A file as its customer sees it."""

    id: str
    name: str
    purpose: str
    blob: str
    size: int
    lines: int
    url: str
    model: str
    created: float


class Files(NamedTuple):
    """Return files, newest first."""

    files: tuple[FileView, ...]


class Debit(NamedTuple):
    """Debit several customers' rate limits; `wanted` pairs customers and amounts."""

    holder: str
    wanted: tuple[tuple[str, float], ...]


class Debited(NamedTuple):
    """Return what each customer was granted, and the seconds until a retry.

    The grants are in the order of `Debit.wanted`.
    """

    grants: tuple[tuple[float, float], ...]


class Pull(NamedTuple):
    """Ask for items for an agent that has free slots."""

    agent: str
    upstream: str
    model: str
    service: str
    count: int


class Work(NamedTuple):
    """Return leased items to an agent: each item's number and its line."""

    lease: int
    job: str
    customer: str
    endpoint: str
    idempotent: bool
    due: float
    items: tuple[tuple[int, bytes], ...]


class Heartbeat(NamedTuple):
    """Tell the leader which leases an agent holds.

    `number` rises with each heartbeat of one run of the agent, so the leader
    recognises a heartbeat that arrives after a newer one.
    """

    agent: str
    leases: tuple[int, ...]
    number: int = 0


class HeartbeatReply(NamedTuple):
    """Return the leases that the agent must drop immediately."""

    dropped: tuple[int, ...]


class CompleteChunk(NamedTuple):
    """Send output lines, and for each item its number, line index and failure flag."""

    lease: int
    lines: bytes
    results: tuple[tuple[int, int, bool], ...]


class ListOrders(NamedTuple):
    """Ask for an upstream's orders, or for all orders if `upstream` is empty."""

    upstream: str = ""


class OrderView(NamedTuple):
    """An order as operators see it; times are in epoch seconds, 0 for not yet."""

    fence: int
    upstream: str
    action: str
    argument: str
    at: float
    begun: float
    finished: float
    failure: str


class Orders(NamedTuple):
    """Return orders, newest first."""

    orders: tuple[OrderView, ...]


class PullOrder(NamedTuple):
    """Ask for an upstream's next order, or renew the grant of the order `holding`.

    `agent` names one run of an agent and differs after each restart.
    """

    agent: str
    upstream: str
    holding: int = 0


class OrderGrant(NamedTuple):
    """Grant an order for a limited time; a fence of 0 means that none is granted."""

    fence: int
    action: str = ""
    argument: str = ""


class ReadFleet(NamedTuple):
    """Ask for the configuration of a revision; 0 is the one in force."""

    revision: int = 0


class FleetView(NamedTuple):
    """Return a configuration and its revision."""

    revision: int
    document: bytes


class CheckFleet(NamedTuple):
    """Ask for every finding about a configuration without publishing it."""

    document: bytes


class Findings(NamedTuple):
    """Return findings: the source, the message and the value found."""

    findings: tuple[tuple[str, str, str], ...]


class ListHistory(NamedTuple):
    """Ask for the published revisions."""


class HistoryView(NamedTuple):
    """Return revisions, newest first, each with its number, time and note."""

    revisions: tuple[tuple[int, float, str], ...]


class ListKeys(NamedTuple):
    """Ask for all issued keys."""


class Keys(NamedTuple):
    """Return keys without their digests."""

    keys: tuple[Key, ...]


class ReadStatus(NamedTuple):
    """Ask a control VM for its status and its view of the fleet."""


class WatcherView(NamedTuple):
    """A process with a watch: its revision, and the seconds since its last message."""

    node: str
    program: str
    revision: int
    silent: float


class MemberView(NamedTuple):
    """A member, as recorded by the control VM that answers."""

    name: str
    address: str
    voter: bool
    leader: bool


class ColdView(NamedTuple):
    """A cold run of an upstream, which gets `rate` requests a second.

    It is cold for some more `seconds`, as the upstream or the list of upstreams says,
    unless that `is_presumed`.
    """

    upstream: str
    run: str
    rate: float
    seconds: float
    is_presumed: bool


class Status(NamedTuple):
    """Return a control VM's status and its view of the fleet.

    Only the leader knows `cold` upstreams.
    """

    node: str
    leader: str
    term: int
    applied: int
    revision: int
    members: tuple[MemberView, ...]
    watchers: tuple[WatcherView, ...]
    leaving: tuple[str, ...]
    evacuations: tuple[Evacuation, ...] = ()
    cold: tuple[ColdView, ...] = ()


class Keep(NamedTuple):
    """Open a stream of calls, which are answered one after another.

    It is only for calls whose handlers answer immediately, because a slow one would
    delay the calls after it.
    """


class Ask(NamedTuple):
    """Make a call on a stream opened by `Keep`; `body` is the encoded message."""

    number: int
    body: bytes


class Reply(NamedTuple):
    """Answer the call with this number; `body` is the encoded answer."""

    number: int
    body: bytes


class MemberCall(NamedTuple):
    """A message of the replicated log from one control VM to another."""

    sender: str
    body: bytes


class AddMember(NamedTuple):
    """Ask for a control VM to be added, first as a learner."""

    name: str
    address: str


class Promote(NamedTuple):
    """Ask for a learner to be made a voter, once it has caught up."""

    name: str


class RemoveMember(NamedTuple):
    """Ask for a control VM to be removed."""

    name: str


class Announce(NamedTuple):
    """Tell the leader that a control VM is running and may become a member.

    `address` is where the VM accepts calls, and is also its name as a member.
    `label` is the name that operators use for the VM, `domain` its failure domain.
    """

    address: str
    label: str
    domain: str = ""


class Announced(NamedTuple):
    """Return the members' addresses; the caller's is included if it is a member."""

    members: tuple[str, ...]


class Retire(NamedTuple):
    """Ask for the control VM with this label to be retired."""

    label: str


class ReadRetired(NamedTuple):
    """Ask whether a retired control VM is still needed."""

    label: str


class RetiredView(NamedTuple):
    """Return whether the VM is retired and whether it is no longer needed.

    The VM is no longer needed (`is_empty`) once it isn't a member and the members
    include enough voters.
    """

    is_known: bool
    is_empty: bool


class ReadLot(NamedTuple):
    """Ask for the results of a bulk job (lot) from a position on.

    If there is no such result yet, the answer is delayed until the next result, by at
    most `wait` seconds.
    """

    lot: str
    customer: str
    after: int
    wait: float


class LotView(NamedTuple):
    """Return results in order, each with the item's id, failure flag and output.

    `total` is the number of items of the bulk job.
    """

    total: int
    results: tuple[tuple[str, bool, bytes], ...]


class ReadLotItem(NamedTuple):
    """Ask for the body of an item that has no result yet."""

    lot: str
    customer: str
    item: str


class ReadEvents(NamedTuple):
    """Ask for the events that a control VM stores and that are after a clock value."""

    since: float = 0.0


class SendEvents(NamedTuple):
    """Send a process's events to a control VM."""

    node: str
    events: tuple[Event, ...]


class Events(NamedTuple):
    """Return events in the order of their clocks."""

    events: tuple[Event, ...]


MESSAGES = (
    Failure,
    Empty,
    Propose,
    Proposed,
    WriteBlob,
    Written,
    ReadBlob,
    Piece,
    ReadOutput,
    ListJobs,
    Jobs,
    ListFiles,
    Files,
    Debit,
    Debited,
    Pull,
    Work,
    Heartbeat,
    HeartbeatReply,
    CompleteChunk,
    ListOrders,
    Orders,
    PullOrder,
    OrderGrant,
    ReadFleet,
    FleetView,
    CheckFleet,
    Findings,
    ListHistory,
    HistoryView,
    ListKeys,
    Keys,
    ReadStatus,
    Status,
    Keep,
    Ask,
    Reply,
    MemberCall,
    AddMember,
    Promote,
    RemoveMember,
    Announce,
    Announced,
    Retire,
    ReadRetired,
    RetiredView,
    ReadLot,
    LotView,
    ReadLotItem,
    ReadEvents,
    SendEvents,
    Events,
)

REGISTRY = codec.Registry(
    (*MESSAGES, *notice.MESSAGES, *exchange.MESSAGES, *placement.MESSAGES)
)
