"""Defines the messages between members and the entries of the log.

Every request names its sender, and all except IdentifyRequest name the cluster.
Requests that can change a member's term, vote or log also name the data folder
that they are meant for, and their replies name the folder that answered. A vote
or an acknowledgement counts only from the folder that the member list records.
"""

from typing import NamedTuple

NOOP = 0
COMMAND = 1
MEMBERS = 2


class Member(NamedTuple):
    """Describe one member. Learners receive the log but count towards no quorum.

    `folder` is the id of the member's data folder, empty until the leader first
    reached the member. `returning` marks a learner that was a voter before it
    lost its folder; the leader promotes it without an operator.
    """

    name: str
    address: str = ""
    voter: bool = True
    folder: str = ""
    returning: bool = False


class Entry(NamedTuple):
    """One log entry; `kind` is NOOP, COMMAND or MEMBERS."""

    index: int
    term: int
    kind: int
    data: bytes = b""


class IdentifyRequest(NamedTuple):
    """Ask a member for its folder id and whether the folder is fresh."""

    sender: str


class IdentifyReply(NamedTuple):
    """Report the folder, cluster (empty for a fresh folder) and bootstrap names."""

    folder: str
    cluster: str
    names: tuple[str, ...]


class FormRequest(NamedTuple):
    """Send a fresh member the cluster's id and first members."""

    sender: str
    cluster: str
    members: tuple[Member, ...]


class FormReply(NamedTuple):
    """Report which folder answered and which cluster it now belongs to."""

    folder: str
    cluster: str


class VoteRequest(NamedTuple):
    """Ask for a vote; with `pre`, only ask whether it would be granted.

    `transfer` says that the leader asked the candidate to start the election;
    then the leader's lease is no reason to refuse the vote.
    """

    cluster: str
    sender: str
    target: str
    term: int
    last_index: int
    last_term: int
    pre: bool
    transfer: bool


class VoteReply(NamedTuple):
    """Grant or refuse a vote."""

    folder: str
    term: int
    granted: bool


class HeartbeatRequest(NamedTuple):
    """Report that the leader is running, and its commit index."""

    cluster: str
    sender: str
    target: str
    term: int
    commit: int


class HeartbeatReply(NamedTuple):
    """Accept the sender as leader of `term`, or report a higher term.

    The log is known to match the leader's up to `match`. This is 0 in a new term
    and after a restart, until the leader sends entries or a snapshot.
    """

    folder: str
    term: int
    accepted: bool
    match: int


class AppendRequest(NamedTuple):
    """Send the entries that follow the one at `prev_index`."""

    cluster: str
    sender: str
    target: str
    term: int
    prev_index: int
    prev_term: int
    commit: int
    entries: tuple[Entry, ...]


class AppendReply(NamedTuple):
    """Acknowledge that entries up to `match` are synced, or reject the request.

    When `accepted` is false, `match` is zero and `next_index` is the first entry
    that the follower requests.
    """

    folder: str
    term: int
    accepted: bool
    match: int
    next_index: int


class SnapshotRequest(NamedTuple):
    """Send the chunk `data` at `offset` of a snapshot of `total` bytes."""

    cluster: str
    sender: str
    target: str
    term: int
    index: int
    index_term: int
    members: tuple[Member, ...]
    offset: int
    total: int
    data: bytes


class SnapshotReply(NamedTuple):
    """Report the next offset; `match` is set once the snapshot is installed."""

    folder: str
    term: int
    accepted: bool
    offset: int
    match: int


class ReadIndexRequest(NamedTuple):
    """Ask the leader for the index that must be applied before a read."""

    cluster: str
    sender: str


class ReadIndexReply(NamedTuple):
    """Report the index; if not `confirmed`, `leader` may name the leader."""

    confirmed: bool
    index: int
    leader: str


class CampaignRequest(NamedTuple):
    """Ask a voter to start an election at once; the sender then steps down."""

    cluster: str
    sender: str
    target: str
    term: int


class CampaignReply(NamedTuple):
    """Report whether the member will start an election."""

    folder: str
    accepted: bool


MESSAGES = (
    IdentifyRequest,
    IdentifyReply,
    FormRequest,
    FormReply,
    VoteRequest,
    VoteReply,
    HeartbeatRequest,
    HeartbeatReply,
    AppendRequest,
    AppendReply,
    SnapshotRequest,
    SnapshotReply,
    ReadIndexRequest,
    ReadIndexReply,
    CampaignRequest,
    CampaignReply,
)
