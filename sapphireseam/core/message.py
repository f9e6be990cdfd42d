"""List the calls between the system's own processes, and their answers.

The registry at the end knows the messages of the streams too: those of the
watch (`notice`) and those between an entry and an agent (`exchange`).
"""

from typing import NamedTuple

from sapphireseam.core import codec, exchange, notice, placement
from sapphireseam.core.event import Event
from sapphireseam.core.key import Key


class Failure(NamedTuple):
    """Carry an error over the wire; `leader` is an address where known."""

    kind: str
    message: str
    retry_after: float = 0.0
    not_run: bool = False
    leader: str = ""


class Empty(NamedTuple):
    """Answer a call that returns nothing."""


# Calls to a control VM.


class Propose(NamedTuple):
    """Ask for a command, packed by its registry, to be committed."""

    command: bytes


class Proposed(NamedTuple):
    """Return the state machine's answer, packed by its registry."""

    outcome: bytes


class WriteBlob(NamedTuple):
    """Send one piece of a blob; the last piece makes it durable here."""

    upload: str
    offset: int
    data: bytes
    last: bool


class Written(NamedTuple):
    """Return the digest of a finished blob, empty before the last piece."""

    blob: str


class ReadBlob(NamedTuple):
    """Ask for a piece of a blob."""

    blob: str
    offset: int


class Piece(NamedTuple):
    """Return a piece of a blob or an output; `last` says that it ends here."""

    data: bytes
    last: bool


class ReadOutput(NamedTuple):
    """Ask for a piece of a job's output or error lines.

    `chunk` counts the job's result chunks; a piece holds one chunk's lines.
    """

    customer: str
    job: str
    failed: bool
    chunk: int


class ListJobs(NamedTuple):
    """Ask for a customer's jobs, or for all with an empty customer."""

    customer: str
    job: str = ""


class JobView(NamedTuple):
    """Show a job as callers and operators see it; times in epoch seconds."""

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
    """Ask for a customer's files, or for one of them."""

    customer: str
    file: str = ""


class FileView(NamedTuple):
    """Show a file as its customer sees it."""

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
    """Ask the limits' owner for requests of several customers at once."""

    holder: str
    wanted: tuple[tuple[str, float], ...]


class Debited(NamedTuple):
    """Return, in the order asked, what was granted and when to come back."""

    grants: tuple[tuple[float, float], ...]


class Pull(NamedTuple):
    """Ask for items that an idle agent may run."""

    agent: str
    upstream: str
    model: str
    service: str
    count: int


class Work(NamedTuple):
    """Hand leased items to an agent: each item's number and its line."""

    lease: int
    job: str
    customer: str
    endpoint: str
    idempotent: bool
    due: float
    items: tuple[tuple[int, bytes], ...]


class Heartbeat(NamedTuple):
    """Tell the leader which leases an agent holds.

    `number` only rises within an agent's run, so that one which was overtaken
    on its way is known for it.
    """

    agent: str
    leases: tuple[int, ...]
    number: int = 0


class HeartbeatReply(NamedTuple):
    """Name the leases that the agent must drop at once."""

    dropped: tuple[int, ...]


class CompleteChunk(NamedTuple):
    """Return results: output lines, and each item's number, line and failure."""

    lease: int
    lines: bytes
    results: tuple[tuple[int, int, bool], ...]


class ListOrders(NamedTuple):
    """Ask for an upstream's orders, or for all with an empty upstream."""

    upstream: str = ""


class OrderView(NamedTuple):
    """Show an order to an operator; times in epoch seconds, 0 if not yet."""

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
    """Ask for an upstream's next order, or go on with the one in `holding`.

    `agent` names one run of an agent, another one after each restart.
    """

    agent: str
    upstream: str
    holding: int = 0


class OrderGrant(NamedTuple):
    """Grant an order for a while; a fence of 0 grants none."""

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
    """Ask for every finding about a configuration, publishing nothing."""

    document: bytes


class Findings(NamedTuple):
    """Return findings: source, message and the value found."""

    findings: tuple[tuple[str, str, str], ...]


class ListHistory(NamedTuple):
    """Ask for the published revisions."""


class HistoryView(NamedTuple):
    """Return revisions, newest first: number, time and note."""

    revisions: tuple[tuple[int, float, str], ...]


class ListKeys(NamedTuple):
    """Ask for all issued keys."""


class Keys(NamedTuple):
    """Return keys; their digests are left out."""

    keys: tuple[Key, ...]


class ReadStatus(NamedTuple):
    """Ask a control VM about itself and all that it hears of."""


class WatcherView(NamedTuple):
    """Show a process that watches: its revision, and seconds since heard."""

    node: str
    program: str
    revision: int
    silent: float


class MemberView(NamedTuple):
    """Show a control VM as the one asked sees it."""

    name: str
    address: str
    voter: bool
    leader: bool


class Status(NamedTuple):
    """Return a control VM's view of the fleet."""

    node: str
    leader: str
    term: int
    applied: int
    revision: int
    members: tuple[MemberView, ...]
    watchers: tuple[WatcherView, ...]
    leaving: tuple[str, ...]


class Keep(NamedTuple):
    """Open a stream for calls that a handler answers at once."""


class Ask(NamedTuple):
    """Make a call on such a stream; `body` is the call's message, packed."""

    number: int
    body: bytes


class Reply(NamedTuple):
    """Answer the call of that number; `body` is the answer, packed."""

    number: int
    body: bytes


class MemberCall(NamedTuple):
    """Carry a message of the replicated log between control VMs."""

    sender: str
    body: bytes


class AddMember(NamedTuple):
    """Ask for a control VM to be added, first as a learner."""

    name: str
    address: str


class Promote(NamedTuple):
    """Ask for a learner to become a voter once it has caught up."""

    name: str


class RemoveMember(NamedTuple):
    """Ask for a control VM to be removed."""

    name: str


class Announce(NamedTuple):
    """Tell the leader that a control VM is there and may become a member.

    `address` is where its calls are taken, which is also its member's name;
    `label` is the name by which operators know the VM.
    """

    address: str
    label: str


class Announced(NamedTuple):
    """Name the members' addresses, the asker's among them or not."""

    members: tuple[str, ...]


class Retire(NamedTuple):
    """Ask for the control VM with this label to be emptied."""

    label: str


class ReadRetired(NamedTuple):
    """Ask whether a VM that is to be emptied holds nothing any more."""

    label: str


class RetiredView(NamedTuple):
    """Tell whether the VM was asked to be emptied, and whether it is."""

    is_known: bool
    is_empty: bool


class ReadLot(NamedTuple):
    """Ask for a lot's results from a position on.

    The answer waits up to `wait` seconds for a first one.
    """

    lot: str
    customer: str
    after: int
    wait: float


class LotView(NamedTuple):
    """Return results in order: item id, whether it was given up, output."""

    total: int
    results: tuple[tuple[str, bool, bytes], ...]


class ReadLotItem(NamedTuple):
    """Ask for the body of an item that isn't listed yet."""

    lot: str
    customer: str
    item: str


class ReadEvents(NamedTuple):
    """Ask for the events kept here since a clock value."""

    since: float = 0.0


class SendEvents(NamedTuple):
    """Bring a process's events to a control VM."""

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
